//! The marigoldway load balancer as a process: command line, settings, logs,
//! counters, operator endpoints, and the wiring of the other crates.
//!
//! Start with [`settings`], which lists all that a process is told.

pub mod agent;
pub mod entry;
pub mod errors;
pub mod logging;
pub mod metrics;
pub mod operator;
pub mod scope;
pub mod settings;
pub mod shutdown;
