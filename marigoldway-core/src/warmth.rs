//! The share of new flows that a target can take, from what its agent sees.

use crate::roster::FULL_WEIGHT;

/// Share of new flows of a target that can't be reached. It is not zero, so
/// that a wrong signal at every agent can't empty a service.
pub const DOWN_WEIGHT: u16 = 1;

/// Share of new flows that a cold target begins with, and gains at each look.
pub const WARM_STEP: u16 = 20;

/// Looks in succession that a target has to pass after it was down, so that
/// one that comes and goes doesn't change its record each time.
pub const STEADY_LOOKS: u32 = 3;

/// `Warmth` follows one target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Warmth {
    weight: u16,
    passed: u32,
}

impl Default for Warmth {
    /// A target that is up and cold.
    fn default() -> Warmth {
        Warmth {
            weight: WARM_STEP,
            passed: STEADY_LOOKS,
        }
    }
}

impl Warmth {
    /// The share of new flows, [`FULL_WEIGHT`] for a warm target.
    pub fn weight(&self) -> u16 {
        self.weight
    }

    /// Takes in one look at the target: whether it accepted a connection.
    pub fn look(&mut self, up: bool) {
        if !up {
            self.weight = DOWN_WEIGHT;
            self.passed = 0;
            return;
        }
        self.passed = self.passed.saturating_add(1);
        if self.passed >= STEADY_LOOKS {
            let base = if self.weight == DOWN_WEIGHT {
                0
            } else {
                self.weight
            };
            self.weight = (base + WARM_STEP).min(FULL_WEIGHT);
        }
    }
}
