//! Placement of new flows by weighted rendezvous hashing.
//!
//! Entries are the processes that forward packets to agents; an agent stands beside
//! each target. The roster is the table of all these processes. All entries with the
//! same roster select the same two candidates, which are agents, for a flow.
//!
//! An agent that joins or leaves moves only the flows that it gains or loses
//! (Thaler and Ravishankar 1998; weights after Schindelhauer and Schomaker
//! 2005). The costs by which agents are compared use only basic floating-point
//! operations, so they are equal on every machine.

use crate::ids::InstanceId;

/// Bits of a ranked cost that hold the index of the member: the lowest 16.
const INDEX_MASK: u64 = 0xffff;

/// Maximum number of members in a table: 65,535.
const MAX_MEMBERS: usize = INDEX_MASK as usize;

/// Agents that may receive a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Candidates {
    /// The agent that receives the flow first.
    pub first: InstanceId,
    /// The agent to which the first one may pass the flow, once.
    pub second: Option<InstanceId>,
}

/// Agent of a placement table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    /// ID of the agent.
    pub id: InstanceId,
    /// Share of new flows relative to the other members. Zero receives none.
    pub weight: u16,
}

/// Agents of one service, with the precomputed values from which their costs for a
/// flow are computed.
///
/// A choice takes a few nanoseconds per member.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacementTable {
    members: Vec<WeightedMember>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct WeightedMember {
    id: InstanceId,
    seed: u64,
    inverse_weight: f64,
}

impl PlacementTable {
    /// Creates a table. The order of the members has no effect. Members of weight
    /// zero are left out. Of more than 65,535 other members, those with the highest
    /// IDs are left out too.
    pub fn new(members: impl IntoIterator<Item = Member>) -> PlacementTable {
        let mut members: Vec<WeightedMember> = members
            .into_iter()
            .filter(|member| member.weight > 0)
            .map(|member| WeightedMember {
                id: member.id,
                seed: mix(member.id.to_u64()),
                inverse_weight: f64::from(member.weight).recip(),
            })
            .collect();
        members.sort_by_key(|member| member.id);
        members.truncate(MAX_MEMBERS);
        PlacementTable { members }
    }

    /// Chooses the candidates for `key`, the hash that identifies a flow. There is no
    /// second candidate if the table has one member. Returns `None` if the table is
    /// empty.
    pub fn choose(&self, key: u64) -> Option<Candidates> {
        let (mut first, mut second) = (u64::MAX, u64::MAX);
        for (index, member) in (0..).zip(&self.members) {
            // Positive floats sort in the order of their bits. With the index
            // in the lowest bits, the two lowest costs are found without a
            // branch, which a processor would mispredict half of the time.
            let ranked = (member.cost(key).to_bits() & !INDEX_MASK) | index;
            second = second.min(first.max(ranked));
            first = first.min(ranked);
        }
        Some(Candidates {
            first: self.member(first)?,
            second: self.member(second),
        })
    }

    /// Returns the member whose index is in `ranked`, or `None` for `u64::MAX`, which
    /// no ranked cost equals.
    fn member(&self, ranked: u64) -> Option<InstanceId> {
        if ranked == u64::MAX {
            return None;
        }
        let index = (ranked & INDEX_MASK) as usize;
        self.members.get(index).map(|member| member.id)
    }

    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Reports whether the table has no members.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}

impl WeightedMember {
    /// Returns the cost of this member for `key`. Costs are exponentially distributed,
    /// and their rate is proportional to the weight. The member with the lowest cost
    /// is the first candidate. A member is thus the first candidate with a probability
    /// in proportion to its weight.
    fn cost(&self, key: u64) -> f64 {
        negative_log2(mix(key ^ self.seed)) * self.inverse_weight
    }
}

/// Ranks `members` for `key` by rendezvous hashing with equal weights. Returns the
/// best `count` of them, or all if there are fewer, best first.
pub fn rank(
    key: u64,
    members: impl IntoIterator<Item = InstanceId>,
    count: usize,
) -> Vec<InstanceId> {
    let mut best: Vec<(u64, InstanceId)> = Vec::with_capacity(count + 1);
    for id in members {
        let ranked = (mix(key ^ mix(id.to_u64())), id);
        if best.len() == count && best.last().is_none_or(|last| ranked >= *last) {
            continue;
        }
        let position = best.partition_point(|other| *other < ranked);
        best.insert(position, ranked);
        best.truncate(count);
    }
    best.into_iter().map(|(_, id)| id).collect()
}

/// The 64-bit finalizer of SplitMix64: every input bit changes every output bit
/// with a probability of about one half.
pub fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Returns the negative binary logarithm of `hash / 2^64`, accurate to 1e-5.
///
/// It uses only basic operations, because the logarithm of the C library may
/// differ in its last bit between machines.
fn negative_log2(hash: u64) -> f64 {
    let zeros = hash.leading_zeros().min(63);
    // The highest set bit is the implicit one of a float between 1 and 2.
    let fraction = ((hash << zeros) >> 11) & MANTISSA_MASK;
    let mantissa = f64::from_bits(ONE_BITS | fraction);
    f64::from(zeros) + 1.0 - mantissa_log2(mantissa)
}

/// Bits of the fraction of a 64-bit float.
const MANTISSA_MASK: u64 = (1 << 52) - 1;

/// Bits of the 64-bit float 1.0.
const ONE_BITS: u64 = 1023 << 52;

/// Returns the binary logarithm of `x` in [1, 2]. The result is exact at both ends,
/// so [`negative_log2`] is continuous. The polynomial is the Chebyshev interpolant of
/// degree four of `(log2(x) - t) / (t * (1 - t))`.
fn mantissa_log2(x: f64) -> f64 {
    let t = x - 1.0;
    let low = 0.442_654_072 - 0.276_569_503 * t;
    let high = 0.184_100_829 + (-0.097_201_834 + 0.025_691_263 * t) * t;
    t + t * (1.0 - t) * (low + high * (t * t))
}
