//! The share of new flows that a target can take, from what its agent sees.

use crate::roster::FULL_WEIGHT;

/// Share of new flows of a target that can't be reached. It is not zero, so
/// that a wrong signal at every agent can't empty a service.
pub const DOWN_WEIGHT: u16 = 1;

/// Share of new flows that a cold target begins with, and gains at each look.
pub const WEIGHT_STEP: u16 = 20;

/// Looks in succession that a target has to pass after it was down, so that
/// one that comes and goes doesn't change its record each time.
pub const RECOVERY_CHECKS: u32 = 3;

/// Most of the share of new flows that a target gets while its health endpoint
/// says that it is unwell. The endpoint lags or misleads, so it is a hint that
/// costs a target a part of its share and never its place.
pub const UNHEALTHY_WEIGHT: u16 = FULL_WEIGHT / 2;

/// `HealthCheck` is what the agent saw of its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthCheck {
    /// It accepted a connection and says that it is well.
    Healthy,
    /// It accepted a connection and says that it is unwell, or nothing.
    Unhealthy,
    /// It accepted no connection.
    Down,
}

/// `SlowStart` follows one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowStart {
    weight: u16,
    passed: u32,
}

impl Default for SlowStart {
    /// A target that is up and cold.
    fn default() -> SlowStart {
        SlowStart {
            weight: WEIGHT_STEP,
            passed: RECOVERY_CHECKS,
        }
    }
}

impl SlowStart {
    /// The share of new flows, [`FULL_WEIGHT`] for a warm target.
    pub fn weight(&self) -> u16 {
        self.weight
    }

    /// Takes in one look at the target.
    pub fn on_check(&mut self, look: HealthCheck) {
        let most = match look {
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
        let base = match self.weight {
            DOWN_WEIGHT => 0,
            weight => weight,
        };
        self.weight = (base + WEIGHT_STEP).min(most);
    }
}
