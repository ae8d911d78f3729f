//! Sockets, codecs and protocols of the marigoldway load balancer.

pub mod clock;
pub mod control;
pub mod counters;
pub mod envelope;
pub mod errors;
pub mod filter;
pub mod forward;
pub mod overflow;
pub mod platform;
pub mod quic;
pub mod udp;
pub mod wire;
