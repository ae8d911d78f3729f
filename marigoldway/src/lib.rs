//! The marigoldway binary: command line, settings, logs, counters, operator endpoints, and the
//! assembly of the other crates into a process.
//!
//! Start with [`settings`], which defines the configuration of a process, then read [`process`],
//! which starts the two roles [`entry`] and [`agent`].

pub mod agent;
pub mod check;
pub mod cli;
pub mod entry;
pub mod errors;
pub mod explain;
mod fetch;
pub mod keys;
pub mod lists;
pub mod logging;
pub mod membership;
pub mod metrics;
pub mod operator;
pub mod packets;
pub mod platform;
pub mod process;
pub mod roster_status;
pub mod scope;
pub mod settings;
pub mod shares;
pub mod shutdown;
mod sockets;
pub mod status;
