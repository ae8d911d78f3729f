//! Validated sections of a settings file.

use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use log::LevelFilter;

use marigoldway_core::ids::DomainId;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::ids::RegionId;
use marigoldway_core::ids::ServiceId;

use crate::settings::document::Section;
use crate::settings::faults::Expected;
use crate::settings::keys::KeySource;
use crate::settings::values;
use crate::settings::values::Subnet;

/// Default address of the operator endpoints, reachable from the same machine only.
pub const DEFAULT_OPERATOR: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9001);

/// Default log level.
pub const DEFAULT_LEVEL: LevelFilter = LevelFilter::Info;

/// Default time limit for a process to leave, from the first signal on.
pub const DEFAULT_DRAIN_LIMIT: Duration = Duration::from_secs(30);

/// Default timeout of a call to the platform.
pub const DEFAULT_PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// Default path of the health endpoint of a target.
pub const DEFAULT_HEALTH: &str = "/health";

/// Maximum number of slots of a target: requests that it processes concurrently.
const MAX_SLOTS: u32 = 4096;

/// Maximum number of concurrent connections to a target.
const MAX_CONNECTIONS: u32 = 1_000_000;

/// Section `[process]`.
#[derive(Clone, Debug)]
pub struct ProcessSettings {
    /// Failure domain of the instance.
    pub domain: DomainId,
    /// Region of the instance.
    pub region: RegionId,
    /// Log level, [`DEFAULT_LEVEL`] by default.
    pub log_level: LevelFilter,
    /// Source of the fleet keys.
    pub keys: KeySource,
    /// TCP address of the operator endpoints, [`DEFAULT_OPERATOR`] by default.
    pub operator: SocketAddrV4,
    /// UDP address of the StatsD server. `None`, the default, sends no counters.
    pub statsd: Option<SocketAddrV4>,
    /// Maximum time between the first signal and the end of the process, [`DEFAULT_DRAIN_LIMIT`] by
    /// default.
    pub drain_limit: Duration,
}

impl ProcessSettings {
    /// Reads the section. The source of the keys is returned separately, so that the keys are
    /// validated even if another value is invalid.
    pub(crate) fn read(section: &mut Section<'_>) -> (Option<ProcessSettings>, Option<KeySource>) {
        let id = |text: &str| values::number(text, 0..=u32::from(u8::MAX)).map(|id| id as u8);
        let domain = section.required("domain", id);
        let region = section.required("region", id);
        let log_level = section.optional("log-level", values::level);
        let keys = section.required("keys", |text| KeySource::try_from(text));
        let operator = section.optional("operator", values::address);
        let statsd = section.optional("statsd", values::address);
        let drain_limit = section.optional("drain-limit", values::duration);

        let settings = || {
            Some(ProcessSettings {
                domain: DomainId(domain?),
                region: RegionId(region?),
                log_level: log_level?.unwrap_or(DEFAULT_LEVEL),
                keys: keys.clone()?,
                operator: operator?.unwrap_or(DEFAULT_OPERATOR),
                statsd: statsd?,
                drain_limit: drain_limit?.unwrap_or(DEFAULT_DRAIN_LIMIT),
            })
        };
        (settings(), keys)
    }
}

/// Section `[network]`.
#[derive(Clone, Debug)]
pub struct NetworkSettings {
    /// UDP address for packets between processes.
    pub data: InstanceId,
    /// TCP address of the control channel.
    pub control: SocketAddrV4,
    /// Control addresses of the entries that a joining process contacts first.
    pub contacts: Vec<SocketAddrV4>,
    /// Networks of agents. An entry may send routed packets to an address in them even if its
    /// roster, the list of known processes, doesn't contain the agent. Empty in the settings of an
    /// agent.
    pub agent_networks: Vec<Subnet>,
}

impl NetworkSettings {
    pub(crate) fn read_entry(section: &mut Section<'_>) -> Option<NetworkSettings> {
        let network = NetworkSettings::read_agent(section);
        let subnets = |text: &str| values::list(text, |item| Subnet::try_from(item));
        let agent_networks = section.required("agent-networks", subnets);

        Some(NetworkSettings {
            agent_networks: agent_networks?,
            ..network?
        })
    }

    pub(crate) fn read_agent(section: &mut Section<'_>) -> Option<NetworkSettings> {
        let data = section.required("data", values::address);
        let control = section.required("control", values::address);
        let contacts = section.required("contacts", |text| values::list(text, values::address));

        Some(NetworkSettings {
            data: InstanceId(data?),
            control: control?,
            contacts: contacts?,
            agent_networks: Vec::new(),
        })
    }
}

/// Section `[platform]`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// TCP address of the key-value service.
    pub address: SocketAddrV4,
    /// Timeout of a call, [`DEFAULT_PLATFORM_TIMEOUT`] by default.
    pub timeout: Duration,
}

impl PlatformSettings {
    pub(crate) fn read(section: &mut Section<'_>) -> Option<PlatformSettings> {
        let address = section.required("address", values::address);
        let timeout = section.optional("timeout", values::duration);

        Some(PlatformSettings {
            address: address?,
            timeout: timeout?.unwrap_or(DEFAULT_PLATFORM_TIMEOUT),
        })
    }
}

/// Section `[service NAME]` of an entry.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// Name of the service.
    pub name: String,
    /// Number of the service.
    pub id: ServiceId,
    /// UDP address at which callers reach the service.
    pub listen: SocketAddrV4,
}

impl ServiceSettings {
    pub(crate) fn read(section: &mut Section<'_>, name: &str) -> Option<ServiceSettings> {
        let id = section.required("id", service_id);
        let listen = section.required("listen", values::address);

        Some(ServiceSettings {
            name: name.to_owned(),
            id: id?,
            listen: listen?,
        })
    }
}

/// Section `[target]` of an agent.
#[derive(Clone, Debug)]
pub struct TargetSettings {
    /// Number of the service that the target belongs to.
    pub service: ServiceId,
    /// Name of the service that the target belongs to.
    pub name: String,
    /// TCP address of the target.
    pub address: SocketAddrV4,
    /// Maximum number of requests that the target processes concurrently.
    pub slots: u32,
    /// Maximum number of concurrent connections to the target.
    pub connections: u32,
    /// URL path of the health endpoint of the target, [`DEFAULT_HEALTH`] by default.
    pub health: String,
}

impl TargetSettings {
    pub(crate) fn read(section: &mut Section<'_>) -> Option<TargetSettings> {
        let service = section.required("service", service_id);
        let name = section.required("name", values::name);
        let address = section.required("address", values::address);
        let slots = section.required("slots", |text| values::number(text, 1..=MAX_SLOTS));
        let connections = |text: &str| values::number(text, 1..=MAX_CONNECTIONS);
        let connections = section.required("connections", connections);
        let health = section.optional("health", values::url_path);

        Some(TargetSettings {
            service: service?,
            name: name?,
            address: address?,
            slots: slots?,
            connections: connections?,
            health: health?.unwrap_or_else(|| DEFAULT_HEALTH.to_owned()),
        })
    }
}

/// Section `[tls]` of an agent.
#[derive(Clone, Debug)]
pub struct TlsSettings {
    /// Path of the certificate chain in PEM format.
    pub certificate: PathBuf,
    /// Path of the private key in PEM format.
    pub key: PathBuf,
}

impl TlsSettings {
    pub(crate) fn read(section: &mut Section<'_>) -> Option<TlsSettings> {
        let dir = section.dir();
        let path = |text: &str| readable_file(&dir, text);
        let certificate = section.required("certificate", path);
        let key = section.required("key", path);

        Some(TlsSettings {
            certificate: certificate?,
            key: key?,
        })
    }
}

/// Resolves a path relative to `dir` and checks that the process can open the file.
fn readable_file(dir: &Path, text: &str) -> Result<PathBuf, Expected> {
    let expected = "the path of a readable PEM file";
    if text.is_empty() {
        return Err(Expected::new(expected));
    }
    let path = dir.join(text);
    match File::open(&path) {
        Ok(_) => Ok(path),
        Err(err) => Err(Expected::new(format!(
            "{expected} ({}: {err})",
            path.display()
        ))),
    }
}

fn service_id(text: &str) -> Result<ServiceId, Expected> {
    values::number(text, 1..=u32::from(u16::MAX)).map(|id| ServiceId(id as u16))
}
