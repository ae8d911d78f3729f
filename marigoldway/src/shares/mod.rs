//! Enforcement of the customers' allowances across agents: the tasks that run the
//! core's state machines.
//!
//! An allowance limits the request rate, the connections and the bulk requests of a
//! customer across all agents. Agents, the processes beside the targets, admit requests.
//! Entries, the load balancers, lend parts of the allowances, called shares, to agents.
//! An agent reports its demand for a customer to the customer's lender, one of the
//! entries, which answers with a grant of a share.
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

/// Time between two ticks of each state machine, the lender's and the agent's.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
