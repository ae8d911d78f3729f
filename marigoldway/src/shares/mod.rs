//! Enforcement of the customers' allowances across agents: the tasks that run the
//! core's state machines.
//!
//! [`lend`] runs in an entry, [`CustomerLimiter`] in an agent.

mod connections;
mod lending;
mod limiter;

use std::time::Duration;

pub use crate::shares::connections::ConnectionPermits;
pub use crate::shares::lending::lend;
pub use crate::shares::limiter::CustomerLimiter;
pub use crate::shares::limiter::PermitGuard;

/// Time between two ticks of the state machines.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
