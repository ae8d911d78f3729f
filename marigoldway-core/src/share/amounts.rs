//! Quantities of the three things that an allowance limits.

use serde::Deserialize;
use serde::Serialize;

use crate::lists::allowances::Allowance;

/// Thousandths of a request in a request.
pub const MILLI: u64 = 1_000;

/// `Amounts` is a quantity of each thing that an allowance limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Amounts {
    /// Thousandths of a request a second.
    pub rate: u64,
    /// Connections open at a time.
    pub connections: u64,
    /// Pieces of bulk work at a time.
    pub bulk: u64,
}

impl Amounts {
    /// Joins two quantities, thing by thing.
    pub fn zip(self, other: Amounts, join: impl Fn(u64, u64) -> u64) -> Amounts {
        Amounts {
            rate: join(self.rate, other.rate),
            connections: join(self.connections, other.connections),
            bulk: join(self.bulk, other.bulk),
        }
    }

    /// The larger of each thing.
    pub fn max(self, other: Amounts) -> Amounts {
        self.zip(other, u64::max)
    }

    /// The smaller of each thing.
    pub fn min(self, other: Amounts) -> Amounts {
        self.zip(other, u64::min)
    }

    /// The sum of each thing.
    pub fn plus(self, other: Amounts) -> Amounts {
        self.zip(other, u64::saturating_add)
    }

    /// The difference of each thing, at least zero.
    pub fn minus(self, other: Amounts) -> Amounts {
        self.zip(other, u64::saturating_sub)
    }

    /// The part `numerator / denominator`, rounded down.
    pub fn part(self, numerator: u64, denominator: u64) -> Amounts {
        let denominator = denominator.max(1);
        let part = |n: u64| n.saturating_mul(numerator) / denominator;
        Amounts {
            rate: part(self.rate),
            connections: part(self.connections),
            bulk: part(self.bulk),
        }
    }

    /// Tells whether no thing is more than in `other`.
    pub fn fits(self, other: Amounts) -> bool {
        self.min(other) == self
    }

    /// The part of the whole that is never lent.
    pub fn floor(self, percent: u64) -> Amounts {
        self.part(percent, 100)
    }
}

impl From<&Allowance> for Amounts {
    fn from(allowance: &Allowance) -> Amounts {
        Amounts {
            rate: u64::from(allowance.rate) * MILLI,
            connections: u64::from(allowance.connections),
            bulk: u64::from(allowance.bulk),
        }
    }
}

/// Divides `total` by max-min fairness: nobody gets more than it wants while
/// another that wants more has less. Half of what nobody wants is divided
/// evenly too; the other half stays, so that a sudden demand finds it at once.
pub fn divide(total: u64, wants: &[u64]) -> Vec<u64> {
    let mut order: Vec<usize> = (0..wants.len()).collect();
    order.sort_by_key(|n| wants[*n]);

    let mut parts = vec![0; wants.len()];
    let mut left = total;
    for (done, n) in order.iter().enumerate() {
        let claims = (wants.len() - done) as u64;
        let part = wants[*n].min(left / claims);
        parts[*n] = part;
        left -= part;
    }
    let spare = left / 2 / (wants.len() as u64).max(1);
    parts.iter().map(|part| part + spare).collect()
}
