//! Integration tests, one module per topic.

mod commands;
mod drivers;
mod failover;
mod failures;
mod processes;
mod records;
mod settings_file;
mod soak;
mod traces;
mod util;
