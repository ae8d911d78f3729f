//! Sockets, codecs and protocols of the marigoldway load balancer.

pub mod clock;
pub mod control;
pub mod envelope;
pub mod errors;
pub mod udp;
pub mod wire;
