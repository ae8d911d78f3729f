//! Fixed layouts of the messages about flows, and their conversion from and to core types.

mod header;

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use zerocopy::FromBytes;
use zerocopy::Immutable;
use zerocopy::IntoBytes;
use zerocopy::KnownLayout;
use zerocopy::Unaligned;
use zerocopy::big_endian::U16;
use zerocopy::big_endian::U32;
use zerocopy::big_endian::U64;

use marigoldway_core::flow::key::FlowKey;
use marigoldway_core::flow::key::NameKey;
use marigoldway_core::flow::message::AgentRecord;
use marigoldway_core::flow::message::FlowReport;
use marigoldway_core::flow::message::Hello;
use marigoldway_core::flow::message::Load;
use marigoldway_core::flow::message::Reach;
use marigoldway_core::flow::message::RefuseReason;
use marigoldway_core::flow::message::Verdict;
use marigoldway_core::flow::routes::WorkClass;
use marigoldway_core::ids::InstanceId;

pub(super) use crate::wire::flows::layout::header::WireHeader;
use crate::wire::flows::load::WireLoad;

/// `InvalidValue` is the error for a received number that stands for no enum variant.
pub(super) struct InvalidValue;

#[derive(Clone, Copy, FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
pub(super) struct WireAddr {
    pub(super) ip: U32,
    pub(super) port: U16,
}

#[derive(Clone, Copy, FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
pub(super) struct WireFlow {
    pub(super) client: WireAddr,
    pub(super) server: WireAddr,
}

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
pub(super) struct WireFlowReport {
    pub(super) verdict: u8,
    pub(super) flow: WireFlow,
    pub(super) load: WireLoad,
    pub(super) version: U64,
}

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
pub(super) struct WireDirectoryUpdate {
    pub(super) service: U64,
    pub(super) owner: WireAddr,
}

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
pub(super) struct WireDirectoryEntry {
    pub(super) flow: WireFlow,
    pub(super) origin: U32,
}

/// `WireHello` is the layout of a [`Hello`]. The state and slots of the agent's record are
/// those of `load`.
#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
pub(super) struct WireHello {
    pub(super) id: WireAddr,
    pub(super) incarnation: U64,
    pub(super) number: U64,
    pub(super) service: U64,
    pub(super) domain: U64,
    /// 1 if the agent's table contains every flow that its target holds.
    pub(super) complete: u8,
    /// The agent's reach: 0 for its window, 1 for its wide window, 2 for any flow.
    pub(super) reach: u8,
    /// 1 if the agent is known to have no target.
    pub(super) vacant: u8,
    /// Start time of the target in Unix milliseconds, or 0 if it isn't known.
    pub(super) started_at: U64,
    /// Time since which the agent is listed without interruption in Unix milliseconds, or 0.
    pub(super) listed_at: U64,
    /// Time before which the target received no flow in Unix milliseconds, or 0.
    pub(super) held_at: U64,
    pub(super) load: WireLoad,
    pub(super) version: U64,
}

impl From<SocketAddrV4> for WireAddr {
    fn from(addr: SocketAddrV4) -> WireAddr {
        WireAddr {
            ip: addr.ip().to_bits().into(),
            port: addr.port().into(),
        }
    }
}

impl From<WireAddr> for SocketAddrV4 {
    fn from(wire: WireAddr) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::from_bits(wire.ip.get()), wire.port.get())
    }
}

impl From<&FlowKey> for WireFlow {
    fn from(flow: &FlowKey) -> WireFlow {
        WireFlow {
            client: flow.client.into(),
            server: flow.server.into(),
        }
    }
}

impl From<WireFlow> for FlowKey {
    fn from(wire: WireFlow) -> FlowKey {
        FlowKey {
            client: wire.client.into(),
            server: wire.server.into(),
        }
    }
}

impl From<&FlowReport> for WireFlowReport {
    fn from(report: &FlowReport) -> WireFlowReport {
        WireFlowReport {
            verdict: match report.verdict {
                Verdict::Holds => 0,
                Verdict::Refused(RefuseReason::Service) => 2,
                Verdict::Refused(RefuseReason::Version) => 3,
                Verdict::Refused(RefuseReason::Draining) => 4,
                Verdict::Refused(RefuseReason::Absent) => 5,
                Verdict::Refused(RefuseReason::Bounced) => 6,
                Verdict::Refused(RefuseReason::Silent) => 7,
                Verdict::Refused(RefuseReason::Overloaded) => 11,
                Verdict::PassedOn => 1,
                Verdict::Unknown => 8,
                Verdict::NotHeld => 9,
                Verdict::Refused(RefuseReason::Drained) => 10,
            },
            flow: WireFlow::from(&report.flow),
            load: WireLoad::from(&report.load),
            version: report.version.into(),
        }
    }
}

impl TryFrom<&WireFlowReport> for FlowReport {
    type Error = InvalidValue;

    fn try_from(wire: &WireFlowReport) -> Result<FlowReport, InvalidValue> {
        Ok(FlowReport {
            flow: FlowKey::from(wire.flow),
            verdict: match wire.verdict {
                0 => Verdict::Holds,
                2 => Verdict::Refused(RefuseReason::Service),
                3 => Verdict::Refused(RefuseReason::Version),
                4 => Verdict::Refused(RefuseReason::Draining),
                5 => Verdict::Refused(RefuseReason::Absent),
                6 => Verdict::Refused(RefuseReason::Bounced),
                7 => Verdict::Refused(RefuseReason::Silent),
                11 => Verdict::Refused(RefuseReason::Overloaded),
                1 => Verdict::PassedOn,
                8 => Verdict::Unknown,
                9 => Verdict::NotHeld,
                10 => Verdict::Refused(RefuseReason::Drained),
                _ => return Err(InvalidValue),
            },
            load: Load::try_from(wire.load)?,
            version: wire.version.get(),
        })
    }
}

impl From<&Hello> for WireHello {
    fn from(hello: &Hello) -> WireHello {
        WireHello {
            id: hello.record.id.0.into(),
            incarnation: hello.record.incarnation.into(),
            number: hello.record.number.into(),
            service: hello.record.service.0.into(),
            domain: hello.record.domain.0.into(),
            complete: u8::from(hello.record.complete),
            reach: match hello.record.reach {
                Reach::Window => 0,
                Reach::Wide => 1,
                Reach::Any => 2,
            },
            vacant: u8::from(hello.record.vacant),
            started_at: hello.record.started_at.unwrap_or(0).into(),
            listed_at: hello.record.listed_at.unwrap_or(0).into(),
            held_at: hello.record.held_at.unwrap_or(0).into(),
            load: WireLoad::from(&hello.load),
            version: hello.version.into(),
        }
    }
}

impl TryFrom<&WireHello> for Hello {
    type Error = InvalidValue;

    fn try_from(wire: &WireHello) -> Result<Hello, InvalidValue> {
        let load = Load::try_from(wire.load)?;
        Ok(Hello {
            record: AgentRecord {
                id: InstanceId(wire.id.into()),
                incarnation: wire.incarnation.get(),
                number: wire.number.get(),
                service: NameKey(wire.service.get()),
                domain: NameKey(wire.domain.get()),
                state: load.state,
                slots: load.slots,
                complete: wire.complete == 1,
                reach: match wire.reach {
                    0 => Reach::Window,
                    1 => Reach::Wide,
                    2 => Reach::Any,
                    _ => return Err(InvalidValue),
                },
                vacant: wire.vacant == 1,
                started_at: Some(wire.started_at.get()).filter(|it| *it > 0),
                listed_at: Some(wire.listed_at.get()).filter(|it| *it > 0),
                held_at: Some(wire.held_at.get()).filter(|it| *it > 0),
            },
            load,
            version: wire.version.get(),
        })
    }
}

pub(super) fn class_code(class: WorkClass) -> u8 {
    match class {
        WorkClass::Safe => 0,
        WorkClass::Unsafe => 1,
        WorkClass::Upload => 2,
        WorkClass::Download => 3,
    }
}

pub(super) fn decode_class(code: u8) -> Result<WorkClass, InvalidValue> {
    match code {
        0 => Ok(WorkClass::Safe),
        1 => Ok(WorkClass::Unsafe),
        2 => Ok(WorkClass::Upload),
        3 => Ok(WorkClass::Download),
        _ => Err(InvalidValue),
    }
}

/// Returns a duration in milliseconds. A longer one becomes [`u32::MAX`].
pub(super) fn millis(span: Duration) -> U32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX).into()
}

pub(super) fn duration(millis: U32) -> Duration {
    Duration::from_millis(u64::from(millis.get()))
}
