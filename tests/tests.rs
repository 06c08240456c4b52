//! Integration tests by topic.

mod commands;
mod drivers;
mod failover;
mod failures;
mod processes;
mod records;
mod soak;
mod traces;
mod util;
