//! Decision logic of the marigoldway load balancer, without input or output.
//!
//! Nothing in this crate opens a socket, reads a file, reads a clock or uses
//! ambient randomness. Time is passed in as a [`time::Timestamp`], randomness as
//! a seeded generator, and every action is returned as a value. Each decision
//! module is a state machine, so tests and benchmarks run it without sockets.
//!
//! A caller opens a flow, a QUIC connection, to a service. Routers hand each packet
//! of the flow to any entry. The entry forwards the packet to an agent, the process
//! beside a target, which admits requests to that target.
//!
//! Start with [`ids`] and [`time`], the types that all modules share, then read
//! [`route`], which explains how a packet reaches its target.

pub mod acceptance;
pub mod admission;
pub mod digest;
pub mod duplicates;
pub mod errors;
pub mod flow;
pub mod forward;
pub mod gossip;
pub mod idempotency;
pub mod ids;
pub mod lists;
pub mod liveness;
pub mod membership;
pub mod message;
pub mod monitor;
pub mod packet;
pub mod placement;
pub mod relay;
pub mod replica;
pub mod reply;
pub mod request;
pub mod reset;
pub mod retry;
pub mod roster;
pub mod route;
pub mod share;
pub mod slow_start;
pub mod time;
