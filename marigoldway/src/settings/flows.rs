//! Settings of the roles that forward flows of packets.

use std::net::SocketAddrV4;
use std::path::Path;
use std::time::Duration;

use log::LevelFilter;

use marigoldway_core::ids::InstanceId;

use crate::settings::document::Document;
use crate::settings::document::Reader;
use crate::settings::document::Section;
use crate::settings::faults::Expected;
use crate::settings::faults::Faults;
use crate::settings::sections::DEFAULT_LEVEL;
use crate::settings::sections::PlatformSettings;
use crate::settings::values;

/// Name of the section that makes a process forward flows of packets.
pub const FLOWS_SECTION: &str = "flows";

/// Most megabytes of memory that a process may be given.
const MEMORY_MAX: u32 = 1 << 20;

/// `FlowSettings` holds all that an entry for packets is told, and what an
/// agent is told beside its own values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FlowSettings {
    /// Name of the instance in logs.
    pub name: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// UDP and TCP address for other processes of the system.
    pub data: InstanceId,
    /// UDP address at which an entry takes packets from routers. Clients and
    /// agents use the same port.
    pub listen: SocketAddrV4,
    /// TCP address at which readiness is asked for.
    pub ready: SocketAddrV4,
    /// TCP address for heartbeats of targets.
    pub control: Option<SocketAddrV4>,
    /// TCP address of the metrics.
    pub metrics: Option<SocketAddrV4>,
    /// Instances that a newcomer asks first, at the port of `data`.
    pub contacts: Vec<SocketAddrV4>,
    /// Time between two heartbeats of a target.
    pub heartbeat: Duration,
    /// Longest life of a flow.
    pub lifetime: Duration,
    /// Time between the signal to leave and the end.
    pub grace: Duration,
    /// Memory of the process in megabytes.
    pub memory: u32,
    /// Level of the logs.
    pub log_level: LevelFilter,
    /// Where the platform is.
    pub platform: PlatformSettings,
}

/// `FlowAgentSettings` holds all that an agent for packets is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FlowAgentSettings {
    /// What an entry is told too.
    pub shared: FlowSettings,
    /// UDP address at which the target hands over packets.
    pub outbound: SocketAddrV4,
    /// UDP address of the target.
    pub target: SocketAddrV4,
    /// Name of the target's service.
    pub service: String,
}

impl FlowSettings {
    /// Reads and checks an entry's settings file.
    pub fn load(file: &Path) -> Result<FlowSettings, Faults> {
        let document = Document::load(file)?;
        read(&document, |shared, _| shared)
    }
}

impl FlowAgentSettings {
    /// Reads and checks a settings file.
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

/// Whether a settings file is for flows of packets. A file that can't be read
/// is refused by whoever loads it.
pub fn has_flows_section(file: &Path) -> bool {
    Document::load(file).is_ok_and(|document| document.has_section(FLOWS_SECTION))
}

fn read<T>(
    document: &Document,
    role: impl FnOnce(Option<FlowSettings>, &mut Section<'_>) -> Option<T>,
) -> Result<T, Faults> {
    let mut reader = Reader::new(document);
    let platform = reader.section("platform", PlatformSettings::read);
    let settings = reader.section(FLOWS_SECTION, |section| {
        let shared = FlowSettings::read(section, platform);
        role(shared, section)
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
        let memory = section.required("memory-mb", |text| values::number(text, 1..=MEMORY_MAX));
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
            memory: memory?,
            log_level: log_level?.unwrap_or(DEFAULT_LEVEL),
            platform: platform?,
        })
    }
}

/// A list of addresses that may be empty.
fn addresses(text: &str) -> Result<Vec<SocketAddrV4>, Expected> {
    if text.trim().is_empty() {
        return Ok(Vec::new());
    }
    values::list(text, values::address)
}
