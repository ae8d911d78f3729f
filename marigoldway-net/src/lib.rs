//! Sockets, codecs and protocols of the marigoldway load balancer.
