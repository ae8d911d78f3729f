//! Amounts of the three resources that an allowance limits.

use serde::Deserialize;
use serde::Serialize;

use crate::lists::allowances::Allowance;

/// Number of thousandths in one request.
pub const MILLI: u64 = 1_000;

/// An amount of each resource that an allowance limits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Amounts {
    /// Request rate in thousandths of a request per second.
    pub rate: u64,
    /// Number of concurrent connections.
    pub connections: u64,
    /// Number of concurrent bulk requests.
    pub bulk: u64,
}

impl Amounts {
    /// Combines the amounts of each resource with `combine`.
    pub fn zip(self, other: Amounts, combine: impl Fn(u64, u64) -> u64) -> Amounts {
        Amounts {
            rate: combine(self.rate, other.rate),
            connections: combine(self.connections, other.connections),
            bulk: combine(self.bulk, other.bulk),
        }
    }

    /// Larger amount of each resource.
    pub fn max(self, other: Amounts) -> Amounts {
        self.zip(other, u64::max)
    }

    /// Smaller amount of each resource.
    pub fn min(self, other: Amounts) -> Amounts {
        self.zip(other, u64::min)
    }

    /// Saturating sum of each resource.
    pub fn plus(self, other: Amounts) -> Amounts {
        self.zip(other, u64::saturating_add)
    }

    /// Difference of each resource, not below zero.
    pub fn minus(self, other: Amounts) -> Amounts {
        self.zip(other, u64::saturating_sub)
    }

    /// Fraction `numerator / denominator` of each resource, rounded down. A
    /// denominator of 0 counts as 1.
    pub fn part(self, numerator: u64, denominator: u64) -> Amounts {
        let denominator = denominator.max(1);
        let part = |n: u64| n.saturating_mul(numerator) / denominator;
        Amounts {
            rate: part(self.rate),
            connections: part(self.connections),
            bulk: part(self.bulk),
        }
    }

    /// Returns whether no amount exceeds that in `other`.
    pub fn fits(self, other: Amounts) -> bool {
        self.min(other) == self
    }

    /// Part of this allowance that is never lent: `percent` of each resource.
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

/// Divides `total` by max-min fairness: no participant receives more than its
/// demand while another participant with a larger demand receives less. Half of
/// what remains is divided evenly as well. The other half is kept back, so that it
/// is available at once to a sudden demand.
pub fn divide(total: u64, demands: &[u64]) -> Vec<u64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by_key(|n| demands[*n]);

    let mut parts = vec![0; demands.len()];
    let mut remaining = total;
    for (done, n) in order.iter().enumerate() {
        let claimants = (demands.len() - done) as u64;
        let part = demands[*n].min(remaining / claimants);
        parts[*n] = part;
        remaining -= part;
    }
    let extra = remaining / 2 / (demands.len() as u64).max(1);
    parts.iter().map(|part| part + extra).collect()
}
