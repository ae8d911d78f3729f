//! Wire format of the membership protocol.
//!
//! The protocol distributes the roster, which holds one record for each instance. Records are
//! arrays without field names, since they make up most of the traffic.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use serde::Deserialize;
use serde::Serialize;

use marigoldway_core::ids::DomainId;
use marigoldway_core::ids::Incarnation;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::ids::RegionId;
use marigoldway_core::ids::ServiceId;
use marigoldway_core::message::Ack;
use marigoldway_core::message::Delta;
use marigoldway_core::message::Digest;
use marigoldway_core::message::DomainCounter;
use marigoldway_core::message::Heartbeat;
use marigoldway_core::message::Load;
use marigoldway_core::message::Message;
use marigoldway_core::message::RecordSummary;
use marigoldway_core::message::Scope;
use marigoldway_core::roster::Record;
use marigoldway_core::roster::Role;
use marigoldway_core::roster::State;

use crate::errors::Error;
use crate::errors::Result;

/// `MembershipWire` is the wire form of a [`Message`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MembershipWire {
    /// Report of an instance to a monitor that it is alive. Fields: ID, incarnation, version of
    /// its own record, checksum over its records, revision of its lists.
    #[serde(rename = "h")]
    Heartbeat(u64, u32, u32, Option<u32>, u64),
    /// Answer of a monitor to a heartbeat or an inquiry. Fields: incarnation, version and state
    /// of the record that the monitor holds, or `None`; number of the inquiry, or 0 for a
    /// heartbeat; lost failure domains; revision of the monitor's lists.
    #[serde(rename = "a")]
    Ack(Option<(u32, u32, u8)>, u32, Vec<u8>, u64),
    /// Request for a heartbeat.
    #[serde(rename = "p")]
    Probe,
    /// Question of an instance about its own record. Fields: ID of that instance, number of
    /// the inquiry.
    #[serde(rename = "i")]
    Inquiry(u64, u32),
    /// Changes to merge into the roster. Fields: records, counters of failure domains.
    #[serde(rename = "d")]
    Delta(Vec<RecordWire>, Vec<(u8, u64)>),
    /// Checksums over the roster, by which two processes find records that differ. Fields:
    /// service of the scope, or `None` for all records; number of records; checksums; whether
    /// the digest is a reply to another one.
    #[serde(rename = "g")]
    Digest(Option<u16>, u32, Vec<u32>, bool),
    /// Load of an agent. Fields: ID, number of flows.
    #[serde(rename = "l")]
    Load(u64, u32),
}

/// `RecordWire` is the wire form of a [`Record`]. Fields: ID, incarnation, role, service,
/// domain, region, control address, state, version, weight. The ID and the control address
/// contain the IPv4 address in the upper 32 of 48 bits and the port in the lower 16.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RecordWire(u64, u32, u8, Option<u16>, u8, u8, u64, u8, u32, u16);

impl From<&Record> for RecordWire {
    fn from(record: &Record) -> RecordWire {
        RecordWire(
            record.id.to_u64(),
            record.incarnation.0,
            role_to_wire(record.role),
            record.service.map(|service| service.0),
            record.domain.0,
            record.region.0,
            InstanceId(record.control).to_u64(),
            state_to_wire(record.state),
            record.version,
            record.weight,
        )
    }
}

impl TryFrom<RecordWire> for Record {
    type Error = Error;

    fn try_from(wire: RecordWire) -> Result<Record> {
        let record = Record {
            id: InstanceId(addr_from_wire(wire.0)?),
            incarnation: Incarnation(wire.1),
            role: role_from_wire(wire.2)?,
            service: wire.3.map(ServiceId),
            domain: DomainId(wire.4),
            region: RegionId(wire.5),
            control: addr_from_wire(wire.6)?,
            state: state_from_wire(wire.7)?,
            version: wire.8,
            weight: wire.9,
        };
        if (record.role == Role::Agent) != record.service.is_some() {
            return Err(Error::malformed(
                "only an agent's record has a service, and it must have one",
            ));
        }
        Ok(record)
    }
}

impl From<&Message> for MembershipWire {
    fn from(message: &Message) -> MembershipWire {
        match message {
            Message::Heartbeat(it) => MembershipWire::Heartbeat(
                it.id.to_u64(),
                it.incarnation.0,
                it.version,
                it.sum,
                it.revision,
            ),
            Message::Ack(ack) => ack_to_wire(ack),
            Message::Probe => MembershipWire::Probe,
            Message::Inquiry { id, number } => MembershipWire::Inquiry(id.to_u64(), *number),
            Message::Delta(delta) => delta_to_wire(delta),
            Message::Digest(digest) => digest_to_wire(digest),
            Message::Load(load) => MembershipWire::Load(load.id.to_u64(), load.flows),
        }
    }
}

impl TryFrom<MembershipWire> for Message {
    type Error = Error;

    fn try_from(wire: MembershipWire) -> Result<Message> {
        let message = match wire {
            MembershipWire::Heartbeat(id, incarnation, version, sum, revision) => {
                Message::Heartbeat(Heartbeat {
                    id: InstanceId(addr_from_wire(id)?),
                    incarnation: Incarnation(incarnation),
                    version,
                    sum,
                    revision,
                })
            }
            MembershipWire::Ack(summary, number, lost, revision) => Message::Ack(Ack {
                number,
                record: summary.map(summary_from_wire).transpose()?,
                lost: lost.into_iter().map(DomainId).collect(),
                revision,
            }),
            MembershipWire::Probe => Message::Probe,
            MembershipWire::Inquiry(id, number) => Message::Inquiry {
                number,
                id: InstanceId(addr_from_wire(id)?),
            },
            MembershipWire::Delta(records, counters) => {
                Message::Delta(delta_from_wire(records, counters)?)
            }
            MembershipWire::Digest(service, count, sums, reply) => {
                Message::Digest(digest_from_wire(service, count, sums, reply)?)
            }
            MembershipWire::Load(id, flows) => Message::Load(Load {
                id: InstanceId(addr_from_wire(id)?),
                flows,
            }),
        };
        Ok(message)
    }
}

fn ack_to_wire(ack: &Ack) -> MembershipWire {
    let summary = ack
        .record
        .map(|it| (it.incarnation.0, it.version, state_to_wire(it.state)));
    let lost = ack.lost.iter().map(|domain| domain.0).collect();
    MembershipWire::Ack(summary, ack.number, lost, ack.revision)
}

fn summary_from_wire((incarnation, version, state): (u32, u32, u8)) -> Result<RecordSummary> {
    Ok(RecordSummary {
        incarnation: Incarnation(incarnation),
        version,
        state: state_from_wire(state)?,
    })
}

fn delta_to_wire(delta: &Delta) -> MembershipWire {
    let records = delta.records.iter().map(RecordWire::from).collect();
    let counters = delta.counters.iter().map(|it| (it.domain.0, it.count));
    MembershipWire::Delta(records, counters.collect())
}

fn delta_from_wire(records: Vec<RecordWire>, counters: Vec<(u8, u64)>) -> Result<Delta> {
    let records = records
        .into_iter()
        .map(Record::try_from)
        .collect::<Result<_>>()?;
    let counters = counters
        .into_iter()
        .map(|(domain, count)| DomainCounter {
            domain: DomainId(domain),
            count,
        })
        .collect();
    Ok(Delta { records, counters })
}

fn digest_to_wire(digest: &Digest) -> MembershipWire {
    let service = match digest.scope {
        Scope::All => None,
        Scope::Service(service) => Some(service.0),
    };
    MembershipWire::Digest(service, digest.count, digest.sums.clone(), digest.reply)
}

fn digest_from_wire(
    service: Option<u16>,
    count: u32,
    sums: Vec<u32>,
    reply: bool,
) -> Result<Digest> {
    if !sums.len().is_power_of_two() {
        return Err(Error::malformed(
            "number of digest buckets is not a power of two",
        ));
    }
    let scope = service.map_or(Scope::All, |it| Scope::Service(ServiceId(it)));
    Ok(Digest {
        scope,
        count,
        sums,
        reply,
    })
}

fn addr_from_wire(bits: u64) -> Result<SocketAddrV4> {
    let ip = u32::try_from(bits >> 16)
        .map_err(|_| Error::malformed("address is longer than 48 bits"))?;
    let port = (bits & u64::from(u16::MAX)) as u16;
    Ok(SocketAddrV4::new(Ipv4Addr::from_bits(ip), port))
}

fn role_to_wire(role: Role) -> u8 {
    match role {
        Role::Entry => 0,
        Role::Agent => 1,
    }
}

fn role_from_wire(role: u8) -> Result<Role> {
    match role {
        0 => Ok(Role::Entry),
        1 => Ok(Role::Agent),
        _ => Err(Error::malformed(format!("role {role}, expected 0 or 1"))),
    }
}

fn state_to_wire(state: State) -> u8 {
    match state {
        State::Starting => 0,
        State::Serving => 1,
        State::Leaving => 2,
        State::Suspect => 3,
        State::Down => 4,
    }
}

fn state_from_wire(state: u8) -> Result<State> {
    match state {
        0 => Ok(State::Starting),
        1 => Ok(State::Serving),
        2 => Ok(State::Leaving),
        3 => Ok(State::Suspect),
        4 => Ok(State::Down),
        _ => Err(Error::malformed(format!("state {state}, expected 0 to 4"))),
    }
}
