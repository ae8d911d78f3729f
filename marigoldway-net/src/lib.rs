//! Sockets, codecs and protocols of the marigoldway load balancer.

pub mod errors;
pub mod wire;
