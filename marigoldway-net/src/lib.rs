//! Sockets, codecs and protocols of the marigoldway load balancer.

pub mod clock;
pub mod envelope;
pub mod platform;
pub mod udp;
