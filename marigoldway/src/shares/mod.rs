//! Allowances kept across agents: the tasks around the core's state machines.
//!
//! [`lend`] runs at an entry, [`CustomerLimiter`] at an agent.

mod connections;
mod lending;
mod limiter;

use std::time::Duration;

pub use crate::shares::connections::ConnectionPermits;
pub use crate::shares::lending::lend;
pub use crate::shares::limiter::CustomerLimiter;
pub use crate::shares::limiter::PermitGuard;

/// Time between two ticks of the state machines.
const TICK: Duration = Duration::from_millis(50);
