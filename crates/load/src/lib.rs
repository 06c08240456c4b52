//! Open-loop load generator for the callers' ports, with a ledger of write outcomes.
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
//! Arrival times are generated from a seed before the run and do not depend on
//! answers, so a slow system is offered the same load as a fast one. Latencies
//! are measured from the scheduled arrival, not from the moment of sending.

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
