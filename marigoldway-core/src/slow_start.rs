//! Slow start raises the weight of a target for new flows at each health check that
//! the target passes.
//!
//! A flow is the QUIC connection of a caller. An agent, the process beside a target,
//! checks the target and publishes its weight. A target receives new flows in
//! proportion to its weight, which is [`FULL_WEIGHT`] after slow start.

use crate::roster::FULL_WEIGHT;

/// Weight of a target that can't be reached. It is not zero, so that a wrong
/// signal at every agent can't leave a service without targets.
pub const DOWN_WEIGHT: u16 = 1;

/// Initial weight of a started target, and the increase at each check that it
/// passes.
pub const WEIGHT_STEP: u16 = 20;

/// Number of successive checks that a target has to pass after it was down, before its
/// weight rises. A flapping target therefore doesn't change its record, which all
/// processes receive, each time. A target passes a check if it accepts a connection.
pub const RECOVERY_CHECKS: u32 = 3;

/// Maximum weight of a target whose health endpoint reports it as unhealthy. The
/// endpoint may lag or be wrong, so it is a hint that reduces the weight of a
/// target but never removes the target.
pub const UNHEALTHY_WEIGHT: u16 = FULL_WEIGHT / 2;

/// Result of one health check of the target by its agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthCheck {
    /// The target accepted a connection and reports that it is healthy.
    Healthy,
    /// The target accepted a connection and reports that it is unhealthy, or gives
    /// no report.
    Unhealthy,
    /// The target accepted no connection.
    Down,
}

/// Weight of one target over its successive health checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowStart {
    weight: u16,
    /// Number of successive checks that the target has passed.
    passed: u32,
}

impl Default for SlowStart {
    /// The state of a target that has just started: its weight is [`WEIGHT_STEP`], and
    /// rises from the first check that it passes.
    fn default() -> SlowStart {
        SlowStart {
            weight: WEIGHT_STEP,
            passed: RECOVERY_CHECKS,
        }
    }
}

impl SlowStart {
    /// Returns the weight for new flows, from [`DOWN_WEIGHT`] to [`FULL_WEIGHT`].
    pub fn weight(&self) -> u16 {
        self.weight
    }

    /// Updates the weight by the result of one health check.
    pub fn on_check(&mut self, check: HealthCheck) {
        let max_weight = match check {
            HealthCheck::Healthy => FULL_WEIGHT,
            HealthCheck::Unhealthy => UNHEALTHY_WEIGHT,
            HealthCheck::Down => {
                self.weight = DOWN_WEIGHT;
                self.passed = 0;
                return;
            }
        };
        self.passed = self.passed.saturating_add(1);
        if self.passed < RECOVERY_CHECKS {
            return;
        }
        // The first step after a failure leads to `WEIGHT_STEP` itself.
        let base = match self.weight {
            DOWN_WEIGHT => 0,
            weight => weight,
        };
        self.weight = (base + WEIGHT_STEP).min(max_weight);
    }
}
