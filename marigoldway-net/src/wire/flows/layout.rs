//! Fixed layouts of the messages about flows, and their conversion from and to core types.

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
use marigoldway_core::flow::message::Header;
use marigoldway_core::flow::message::Hello;
use marigoldway_core::flow::message::Intent;
use marigoldway_core::flow::message::Load;
use marigoldway_core::flow::message::LoadLevel;
use marigoldway_core::flow::message::PlacementHint;
use marigoldway_core::flow::message::RefuseReason;
use marigoldway_core::flow::message::TargetState;
use marigoldway_core::flow::message::Verdict;
use marigoldway_core::flow::routes::Work;
use marigoldway_core::flow::routes::WorkClass;
use marigoldway_core::ids::InstanceId;

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
pub(super) struct WireHeader {
    pub(super) intent: u8,
    pub(super) hops: u8,
    pub(super) class: u8,
    /// 1 if directory agents search for the flow.
    pub(super) search: u8,
    pub(super) priority: u8,
    pub(super) service: U64,
    pub(super) version: U64,
    pub(super) entry: WireAddr,
    /// Another agent, which [`Header::other`] describes; port 0 means none.
    pub(super) other: WireAddr,
    pub(super) objective_ms: U32,
    pub(super) timeout_ms: U32,
    pub(super) threshold: U16,
    /// Least loaded agent that forwarded the flow; port 0 means none.
    pub(super) best: WireAddr,
    pub(super) best_load: U16,
    /// Service that the flow overflows from; 0 means none.
    pub(super) home: U64,
}

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
    /// 1 if the target may hold flows that other processes don't look for at the agent.
    pub(super) strays: u8,
    /// 1 if the agent is known to have no target.
    pub(super) vacant: u8,
    /// Start time of the target in Unix milliseconds, or 0 if it isn't known.
    pub(super) started_at: U64,
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

impl From<&Header> for WireHeader {
    fn from(header: &Header) -> WireHeader {
        let none = SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0);
        let best = header.placement_hint.best;
        let best = best.map_or((none, LoadLevel::default()), |(id, load)| (id.0, load));
        WireHeader {
            intent: match header.intent {
                Intent::Open => 0,
                Intent::Owned => 1,
                Intent::Locate => 2,
                Intent::Search => 3,
            },
            hops: header.hops,
            class: class_code(header.work.class),
            search: u8::from(header.search),
            priority: header.work.priority,
            service: header.service.0.into(),
            version: header.version.into(),
            entry: header.entry.0.into(),
            other: header.other.map_or(none, |other| other.0).into(),
            objective_ms: millis(header.work.objective),
            timeout_ms: millis(header.work.timeout),
            threshold: header.placement_hint.threshold.0.into(),
            best: best.0.into(),
            best_load: best.1.0.into(),
            home: header.placement_hint.home.map_or(0, |home| home.0).into(),
        }
    }
}

impl TryFrom<&WireHeader> for Header {
    type Error = InvalidValue;

    fn try_from(wire: &WireHeader) -> Result<Header, InvalidValue> {
        let other = SocketAddrV4::from(wire.other);
        let best = SocketAddrV4::from(wire.best);
        let best_load = LoadLevel(wire.best_load.get());
        Ok(Header {
            intent: match wire.intent {
                0 => Intent::Open,
                1 => Intent::Owned,
                2 => Intent::Locate,
                3 => Intent::Search,
                _ => return Err(InvalidValue),
            },
            hops: wire.hops,
            service: NameKey(wire.service.get()),
            version: wire.version.get(),
            entry: InstanceId(wire.entry.into()),
            other: (other.port() > 0).then_some(InstanceId(other)),
            search: wire.search == 1,
            work: Work {
                class: decode_class(wire.class)?,
                priority: wire.priority,
                objective: duration(wire.objective_ms),
                timeout: duration(wire.timeout_ms),
            },
            placement_hint: PlacementHint {
                threshold: LoadLevel(wire.threshold.get()),
                best: (best.port() > 0).then_some((InstanceId(best), best_load)),
                home: (wire.home.get() > 0).then_some(NameKey(wire.home.get())),
            },
        })
    }
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
        })
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
            strays: u8::from(hello.record.strays),
            vacant: u8::from(hello.record.vacant),
            started_at: hello.record.started_at.unwrap_or(0).into(),
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
                strays: wire.strays == 1,
                vacant: wire.vacant == 1,
                started_at: Some(wire.started_at.get()).filter(|it| *it > 0),
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
fn millis(span: Duration) -> U32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX).into()
}

fn duration(millis: U32) -> Duration {
    Duration::from_millis(u64::from(millis.get()))
}
