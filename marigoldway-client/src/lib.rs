//! Caller library of the marigoldway load balancer.
