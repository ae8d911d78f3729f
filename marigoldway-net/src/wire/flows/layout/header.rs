//! Layout of the header that precedes a forwarded packet of a client.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::num::NonZeroU32;

use zerocopy::FromBytes;
use zerocopy::Immutable;
use zerocopy::IntoBytes;
use zerocopy::KnownLayout;
use zerocopy::Unaligned;
use zerocopy::big_endian::U16;
use zerocopy::big_endian::U32;
use zerocopy::big_endian::U64;

use marigoldway_core::flow::capacity::LogTime;
use marigoldway_core::flow::key::NameKey;
use marigoldway_core::flow::message::Header;
use marigoldway_core::flow::message::Intent;
use marigoldway_core::flow::message::LoadLevel;
use marigoldway_core::flow::message::PlacementHint;
use marigoldway_core::flow::routes::Work;
use marigoldway_core::ids::InstanceId;

use crate::wire::flows::layout::InvalidValue;
use crate::wire::flows::layout::WireAddr;
use crate::wire::flows::layout::class_code;
use crate::wire::flows::layout::decode_class;
use crate::wire::flows::layout::duration;
use crate::wire::flows::layout::millis;

#[derive(FromBytes, IntoBytes, Immutable, KnownLayout, Unaligned)]
#[repr(C)]
pub(in crate::wire::flows) struct WireHeader {
    pub(in crate::wire::flows) intent: u8,
    pub(in crate::wire::flows) hops: u8,
    pub(in crate::wire::flows) class: u8,
    /// 1 if directory agents search for the flow.
    pub(in crate::wire::flows) search: u8,
    pub(in crate::wire::flows) priority: u8,
    pub(in crate::wire::flows) service: U64,
    pub(in crate::wire::flows) version: U64,
    pub(in crate::wire::flows) entry: WireAddr,
    /// Another agent, which [`Header::other`] describes; port 0 means none.
    pub(in crate::wire::flows) other: WireAddr,
    pub(in crate::wire::flows) objective_ms: U32,
    pub(in crate::wire::flows) timeout_ms: U32,
    pub(in crate::wire::flows) threshold: U16,
    /// Least loaded agent that forwarded the flow; port 0 means none.
    pub(in crate::wire::flows) best: WireAddr,
    pub(in crate::wire::flows) best_load: U16,
    /// Mean service time of the candidates, or 0 if it isn't known.
    pub(in crate::wire::flows) reference: U16,
    /// Rate limit of a target in slow start; 0 means none.
    pub(in crate::wire::flows) ramp: U32,
    pub(in crate::wire::flows) waited_ms: U32,
    /// Service that the flow overflows from; 0 means none.
    pub(in crate::wire::flows) home: U64,
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
            reference: header.placement_hint.reference.0.into(),
            ramp: header.ramp.map_or(0, NonZeroU32::get).into(),
            waited_ms: millis(header.waited),
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
                reference: LogTime(wire.reference.get()),
                home: (wire.home.get() > 0).then_some(NameKey(wire.home.get())),
            },
            ramp: NonZeroU32::new(wire.ramp.get()),
            waited: duration(wire.waited_ms),
        })
    }
}
