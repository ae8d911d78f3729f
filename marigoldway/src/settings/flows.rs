//! Settings of entries and agents that forward flows of packets instead of serving QUIC services.

use std::net::SocketAddrV4;
use std::path::Path;
use std::time::Duration;

use log::LevelFilter;

use marigoldway_core::flow::capacity::CapacityPolicy;
use marigoldway_core::flow::capacity::DEFAULT_FLOOR;
use marigoldway_core::ids::InstanceId;

use crate::settings::document::Document;
use crate::settings::document::Reader;
use crate::settings::document::Section;
use crate::settings::faults::Expected;
use crate::settings::faults::Faults;
use crate::settings::sections::DEFAULT_LEVEL;
use crate::settings::sections::PlatformSettings;
use crate::settings::values;

/// Name of the section whose presence makes a process forward flows of packets.
pub const FLOWS_SECTION: &str = "flows";

/// Default of `apply-limit`.
pub const DEFAULT_APPLY_LIMIT: Duration = Duration::from_secs(3);

/// Minimum value of `capacity-floor`. A lower one would let an estimate keep a target from nearly all
/// requests.
const MIN_CAPACITY_FLOOR: f64 = 0.05;

/// Maximum value of `memory-mb`, in megabytes.
const MAX_MEMORY_MB: u32 = 1 << 20;

/// Settings of an entry that forwards packets, and the common part of an agent's settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FlowSettings {
    /// Name of the instance in logs.
    pub name: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// UDP and TCP address at which other processes of the system reach this one.
    pub data: InstanceId,
    /// UDP address at which an entry receives packets from routers. Entries and agents send packets
    /// for a client to the same port of the client's IP address.
    pub listen: SocketAddrV4,
    /// TCP address of the readiness endpoint.
    pub ready: SocketAddrV4,
    /// TCP address that receives the heartbeats of targets; unset by default.
    pub control: Option<SocketAddrV4>,
    /// TCP address of the metrics endpoint; unset by default.
    pub metrics: Option<SocketAddrV4>,
    /// Instances that a starting instance contacts first; empty by default. Only their IP addresses
    /// are used, with the port of `data`.
    pub contacts: Vec<SocketAddrV4>,
    /// Interval between the heartbeats that a target sends.
    pub heartbeat: Duration,
    /// Time without packets after which a flow may be removed. An entry keeps the flow longer if
    /// the idle timeout of its route is longer.
    pub lifetime: Duration,
    /// Time between the signal to leave and the end of the process. A leaving entry forwards packets
    /// for up to four fifths of it.
    pub grace: Duration,
    /// Time within which a change in the platform's store takes effect at every process,
    /// [`DEFAULT_APPLY_LIMIT`] by default. It determines how old the confirmation of what a process
    /// has read may be.
    pub apply_limit: Duration,
    /// Whether an entry sends new flows of a saturated service to another service of their route
    /// that has spare capacity; true by default.
    pub overflow: bool,
    /// Whether estimates of the targets' capacity affect decisions, and the lowest capacity assumed of
    /// a target; [`CapacityPolicy::default`] by default.
    pub capacity: CapacityPolicy,
    /// Memory of the process in megabytes. It determines the maximum number of flows.
    pub memory: u32,
    /// Log level, [`DEFAULT_LEVEL`] by default.
    pub log_level: LevelFilter,
    /// Connection to the platform.
    pub platform: PlatformSettings,
}

/// Settings of an agent that forwards packets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FlowAgentSettings {
    /// Settings that entries and agents have in common.
    pub shared: FlowSettings,
    /// UDP address at which the agent receives packets from the target.
    pub outbound: SocketAddrV4,
    /// UDP address of the target.
    pub target: SocketAddrV4,
    /// Name of the service of the target.
    pub service: String,
}

impl FlowSettings {
    /// Reads and validates the settings file of an entry.
    pub fn load(file: &Path) -> Result<FlowSettings, Faults> {
        let document = Document::load(file)?;
        read(&document, |shared, _| shared)
    }
}

impl FlowAgentSettings {
    /// Reads and validates the settings file of an agent.
    pub fn load(file: &Path) -> Result<FlowAgentSettings, Faults> {
        let document = Document::load(file)?;
        read(&document, |shared, section| {
            let outbound = section.required("outbound", values::address);
            let target = section.required("target", values::address);
            let service = section.required("service", values::text);
            Some(FlowAgentSettings {
                shared: shared?,
                outbound: outbound?,
                target: target?,
                service: service?,
            })
        })
    }
}

/// Returns whether a settings file has a `[flows]` section. Returns false for a file that can't be
/// read or parsed; loading the settings reports its fault.
pub fn has_flows_section(file: &Path) -> bool {
    Document::load(file).is_ok_and(|document| document.has_section(FLOWS_SECTION))
}

/// Reads the sections of a file. `read_role` receives the common settings, `None` after a fault,
/// and reads the remaining values of `[flows]`.
fn read<T>(
    document: &Document,
    read_role: impl FnOnce(Option<FlowSettings>, &mut Section<'_>) -> Option<T>,
) -> Result<T, Faults> {
    let mut reader = Reader::new(document);
    let platform = reader.section("platform", PlatformSettings::read);
    let settings = reader.section(FLOWS_SECTION, |section| {
        let shared = FlowSettings::read(section, platform);
        read_role(shared, section)
    });
    reader.finish(settings, "one of [flows], [platform]")
}

impl FlowSettings {
    fn read(section: &mut Section<'_>, platform: Option<PlatformSettings>) -> Option<FlowSettings> {
        let name = section.required("name", values::text);
        let domain = section.required("domain", values::text);
        let data = section.required("data", values::address);
        let listen = section.required("listen", values::address);
        let ready = section.required("ready", values::address);
        let control = section.optional("control", values::address);
        let metrics = section.optional("metrics", values::address);
        let contacts = section.optional("contacts", addresses);
        let heartbeat = section.required("heartbeat", values::duration);
        let lifetime = section.required("lifetime", values::duration);
        let grace = section.required("grace", values::duration);
        let apply_limit = section.optional("apply-limit", values::duration);
        let overflow = section.optional("overflow", values::switch);
        let adaptive = section.optional("capacity", capacity_mode);
        let floor = section.optional("capacity-floor", capacity_floor);
        let memory = section.required("memory-mb", |text| values::number(text, 1..=MAX_MEMORY_MB));
        let log_level = section.optional("log-level", values::level);

        Some(FlowSettings {
            name: name?,
            domain: domain?,
            data: InstanceId(data?),
            listen: listen?,
            ready: ready?,
            control: control?,
            metrics: metrics?,
            contacts: contacts?.unwrap_or_default(),
            heartbeat: heartbeat?,
            lifetime: lifetime?,
            grace: grace?,
            apply_limit: apply_limit?.unwrap_or(DEFAULT_APPLY_LIMIT),
            overflow: overflow?.unwrap_or(true),
            capacity: CapacityPolicy {
                adaptive: adaptive?.unwrap_or(true),
                floor: floor?.unwrap_or(DEFAULT_FLOOR),
            },
            memory: memory?,
            log_level: log_level?.unwrap_or(DEFAULT_LEVEL),
            platform: platform?,
        })
    }
}

/// Parses the value of `capacity`: whether estimates affect decisions.
fn capacity_mode(text: &str) -> Result<bool, Expected> {
    match text {
        "adaptive" => Ok(true),
        "fixed" => Ok(false),
        _ => Err(Expected::new("adaptive or fixed")),
    }
}

/// Parses the value of `capacity-floor`, a fraction, and returns it in per cent.
fn capacity_floor(text: &str) -> Result<u8, Expected> {
    let fraction: Option<f64> = text.parse().ok();
    fraction
        .filter(|it| (MIN_CAPACITY_FLOOR..=1.0).contains(it))
        .map(|it| (it * 100.0).round() as u8)
        .ok_or_else(|| Expected::new(format!("a number from {MIN_CAPACITY_FLOOR} to 1")))
}

/// Parses a comma-separated list of addresses, which may be empty.
fn addresses(text: &str) -> Result<Vec<SocketAddrV4>, Expected> {
    if text.trim().is_empty() {
        return Ok(Vec::new());
    }
    values::list(text, values::address)
}
