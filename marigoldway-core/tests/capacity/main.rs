//! The capacity estimate of targets: its parts, and placement by it in a simulated service.

mod estimate;
mod outcome;
mod sim;
mod speeds;
mod target;
