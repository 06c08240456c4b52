//! Open-loop load on callers' ports, with a ledger of what was promised.
//!
//! ```no_run
//! use std::time::Duration;
//! use fulmarrill_load::{LoadKind, LoadPlan, LoadStream, run_load};
//!
//! let plan = LoadPlan::new("registry-1", vec!["127.0.0.1:6432".into()], 7)
//!     .with_time(Duration::from_secs(5))
//!     .with_stream(LoadStream::new("renewals", LoadKind::KeyedWrite, 50.0));
//! let report = smol::block_on(run_load(&plan));
//! println!("{}", report.show_table());
//! ```
//!
//! Arrivals are drawn from a seed before the run and do not wait for answers,
//! so that a slow system meets the same work as a fast one. Times count from
//! the arrival, not from the moment of sending.

mod arrivals;
mod caller;
mod ledger;
mod report;
mod run;

pub use crate::arrivals::draw_arrivals;
pub use crate::caller::{CallerPool, RequestOutcome};
pub use crate::ledger::{LedgerFault, WriteLedger};
pub use crate::report::{LoadReport, StreamReport};
pub use crate::run::{LoadKind, LoadPlan, LoadStream, run_load};
