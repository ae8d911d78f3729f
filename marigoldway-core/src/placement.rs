//! Placement of new flows by weighted rendezvous hashing.
//!
//! Every entry that holds the same roster names the same two candidates for a
//! flow. A member that joins or leaves moves only the flows that it wins or
//! had won (Thaler and Ravishankar 1998; weights after Schindelhauer and
//! Schomaker 2005). The scores use basic floating point operations alone, so
//! they are equal on every machine.

use crate::ids::InstanceId;

/// Bits of a ranked cost that hold the index of its member.
const INDEX_MASK: u64 = 0xffff;

/// Most members of a table.
const MEMBERS_MAX: usize = INDEX_MASK as usize;

/// `Candidates` names the agents that a new flow may go to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Candidates {
    /// The agent that gets the flow first.
    pub first: InstanceId,
    /// The agent to which the first may pass the flow once.
    pub second: Option<InstanceId>,
}

/// `Member` is an agent that takes part in a placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    /// Name of the agent.
    pub id: InstanceId,
    /// Share of new flows relative to the other members. Zero takes none.
    pub weight: u16,
}

/// `PlacementTable` holds the members of one service, prepared for choosing.
///
/// A choice costs a few nanoseconds a member.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacementTable {
    slots: Vec<Slot>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Slot {
    id: InstanceId,
    seed: u64,
    inverse: f64,
}

impl PlacementTable {
    /// Makes a table. The order of the members doesn't matter. Of more than
    /// 65,535 members those with the highest ids are left out.
    pub fn new(members: impl IntoIterator<Item = Member>) -> PlacementTable {
        let mut slots: Vec<Slot> = members
            .into_iter()
            .filter(|member| member.weight > 0)
            .map(|member| Slot {
                id: member.id,
                seed: mix(member.id.to_u64()),
                inverse: f64::from(member.weight).recip(),
            })
            .collect();
        slots.sort_by_key(|slot| slot.id);
        slots.truncate(MEMBERS_MAX);
        PlacementTable { slots }
    }

    /// Chooses two candidates for `key`, or `None` if the table is empty.
    pub fn choose(&self, key: u64) -> Option<Candidates> {
        let (mut first, mut second) = (u64::MAX, u64::MAX);
        for (index, slot) in (0..).zip(&self.slots) {
            // Positive floats are ordered like their bits. With the index in
            // the lowest ones the two least costs are found without a branch,
            // which a processor would mispredict half of the time.
            let ranked = (slot.cost(key).to_bits() & !INDEX_MASK) | index;
            second = second.min(first.max(ranked));
            first = first.min(ranked);
        }
        Some(Candidates {
            first: self.member(first)?,
            second: self.member(second),
        })
    }

    fn member(&self, ranked: u64) -> Option<InstanceId> {
        if ranked == u64::MAX {
            return None;
        }
        let index = (ranked & INDEX_MASK) as usize;
        self.slots.get(index).map(|slot| slot.id)
    }

    /// Number of members.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Tells whether the table has no member.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }
}

impl Slot {
    /// An exponentially distributed cost whose rate is the weight. The member
    /// with the least cost wins, with a chance in proportion to its weight.
    fn cost(&self, key: u64) -> f64 {
        negative_log2(mix(key ^ self.seed)) * self.inverse
    }
}

/// Ranks `members` by rendezvous hashing with equal weights and gives the best
/// `count` of them, best first.
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
        let place = best.partition_point(|other| *other < ranked);
        best.insert(place, ranked);
        best.truncate(count);
    }
    best.into_iter().map(|(_, id)| id).collect()
}

/// A 64-bit finalizer (the one of SplitMix64): every input bit changes every
/// output bit with a chance of about one half.
pub fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// The negative binary logarithm of `hash / 2^64`, to 1e-5.
///
/// It is computed with basic operations, since the logarithm of the C library
/// may differ in its last bit between machines.
fn negative_log2(hash: u64) -> f64 {
    let zeros = hash.leading_zeros().min(63);
    // The highest bit set is the implicit one of a float between 1 and 2.
    let fraction = ((hash << zeros) >> 11) & MANTISSA_MASK;
    let mantissa = f64::from_bits(ONE_BITS | fraction);
    f64::from(zeros) + 1.0 - mantissa_log2(mantissa)
}

/// Bits of the fraction of a 64-bit float.
const MANTISSA_MASK: u64 = (1 << 52) - 1;

/// Bits of the 64-bit float 1.0.
const ONE_BITS: u64 = 1023 << 52;

/// The binary logarithm of `x` in [1, 2], exact at both ends, which keeps
/// [`negative_log2`] continuous. The polynomial is the Chebyshev interpolant
/// of degree four of what remains when the ends are taken out.
fn mantissa_log2(x: f64) -> f64 {
    let t = x - 1.0;
    let low = 0.442_654_072 - 0.276_569_503 * t;
    let high = 0.184_100_829 + (-0.097_201_834 + 0.025_691_263 * t) * t;
    t + t * (1.0 - t) * (low + high * (t * t))
}
