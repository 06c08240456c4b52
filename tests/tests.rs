//! Integration tests by topic.

mod commands;
mod drivers;
mod failover;
mod processes;
mod traces;
mod util;
