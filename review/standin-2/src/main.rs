//! Runs one script of the second review: starts a store, a database and hosts, sends
//! requests, causes the disruption and checks the rule.
//!
//! Usage: `review-standin-2 CASE FOLDER`. Exits with 1 if the rule was broken, with 0 if
//! it held, and with 2 if the case could not run. With `TROUBLE=0` in the environment
//! the disruption is left out.

mod callers;
mod cases;
mod gate;
mod link;
mod record;
mod site;

use std::process::ExitCode;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-standin-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let with_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    match cases::run(&case, folder.as_ref(), with_trouble) {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
