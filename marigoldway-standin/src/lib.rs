//! Stand-ins for the fabric, the platform and the targets; never shipped.

pub mod platform;
