//! Fixed layout of the load of a target, which flow reports and hellos carry.

use zerocopy::FromBytes;
use zerocopy::Immutable;
use zerocopy::IntoBytes;
use zerocopy::KnownLayout;
use zerocopy::Unaligned;
use zerocopy::big_endian::U16;
use zerocopy::big_endian::U32;

use marigoldway_core::flow::capacity::CLASSES;
use marigoldway_core::flow::capacity::Capacity;
use marigoldway_core::flow::capacity::LogTime;
use marigoldway_core::flow::capacity::ServiceTime;
use marigoldway_core::flow::message::Load;
use marigoldway_core::flow::message::TargetState;

use crate::wire::flows::layout::InvalidValue;
use crate::wire::flows::layout::duration;
use crate::wire::flows::layout::millis;

#[derive(Clone, Copy, FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
pub(super) struct WireLoad {
    pub(super) state: u8,
    pub(super) slots: U16,
    pub(super) running: U16,
    pub(super) waiting: U16,
    pub(super) opening: U16,
    pub(super) flows: U32,
    /// Percentage of the latest requests that failed, 0 to 100.
    pub(super) failing: u8,
    pub(super) slow_start_ms: U32,
    /// Number of requests that the target runs well, or 0 for all slots.
    pub(super) limit: U16,
    /// Service times by work class; 0 for an unknown one.
    pub(super) times: [U16; CLASSES],
    /// Confidence in each of `times`, 0 to 100.
    pub(super) trusts: [u8; CLASSES],
}

impl From<&Load> for WireLoad {
    fn from(load: &Load) -> WireLoad {
        WireLoad {
            state: match load.state {
                TargetState::Serving => 0,
                TargetState::Draining => 1,
                TargetState::Absent => 2,
            },
            slots: load.slots.into(),
            running: load.running.into(),
            waiting: load.waiting.into(),
            opening: load.opening.into(),
            flows: load.flows.into(),
            failing: load.failing,
            slow_start_ms: millis(load.slow_start),
            limit: load.capacity.limit.into(),
            times: load.capacity.times.map(|it| it.time.0.into()),
            trusts: load.capacity.times.map(|it| it.trust),
        }
    }
}

impl TryFrom<WireLoad> for Load {
    type Error = InvalidValue;

    fn try_from(wire: WireLoad) -> Result<Load, InvalidValue> {
        Ok(Load {
            state: match wire.state {
                0 => TargetState::Serving,
                1 => TargetState::Draining,
                2 => TargetState::Absent,
                _ => return Err(InvalidValue),
            },
            slots: wire.slots.get(),
            running: wire.running.get(),
            waiting: wire.waiting.get(),
            opening: wire.opening.get(),
            flows: wire.flows.get(),
            failing: wire.failing,
            slow_start: duration(wire.slow_start_ms),
            capacity: decode_capacity(&wire),
        })
    }
}

fn decode_capacity(wire: &WireLoad) -> Capacity {
    let mut times = [ServiceTime::default(); CLASSES];
    for (index, it) in times.iter_mut().enumerate() {
        it.time = LogTime(wire.times[index].get());
        it.trust = wire.trusts[index];
    }
    Capacity {
        limit: wire.limit.get(),
        times,
    }
}
