//! The marigoldway binary: command line, settings, logs, counters, operator endpoints, and the
//! assembly of the other crates into a process.
//!
//! A process has one of two roles. An [`entry`] is a load balancer that receives packets from
//! routers and forwards them to agents. An [`agent`] stands beside a target and admits requests to
//! it. Start with [`settings`], which defines the configuration of a process. Then read
//! [`process`], which starts either role. The module [`packets`] holds both roles for processes
//! that forward flows of packets.

pub mod agent;
pub mod check;
pub mod check_config;
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
