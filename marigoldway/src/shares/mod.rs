//! Allowances kept across agents: the tasks around the core's state machines.
//!
//! [`lend`] runs at an entry, [`Gatekeeper`] at an agent.

mod gatekeeper;
mod lending;
mod seats;

use std::time::Duration;

pub use crate::shares::gatekeeper::Admitted;
pub use crate::shares::gatekeeper::Gatekeeper;
pub use crate::shares::lending::lend;
pub use crate::shares::seats::Seats;

/// Time between two ticks of the state machines.
const TICK: Duration = Duration::from_millis(50);
