//! Settings of a process: an INI file, validated completely before the process starts.
//!
//! [`EntrySettings::load`] and [`AgentSettings::load`] read a file and the files that it refers to,
//! and return all faults together as [`Faults`]. Relative paths refer to the directory of the
//! settings file.

mod document;
mod faults;
mod flows;
mod keys;
mod sections;
pub(crate) mod values;

use std::path::Path;

pub use crate::settings::document::Document;
pub use crate::settings::faults::Expected;
pub use crate::settings::faults::Fault;
pub use crate::settings::faults::Faults;
pub use crate::settings::flows::DEFAULT_APPLY_LIMIT;
pub use crate::settings::flows::FLOWS_SECTION;
pub use crate::settings::flows::FlowAgentSettings;
pub use crate::settings::flows::FlowSettings;
pub use crate::settings::flows::has_flows_section;
pub use crate::settings::keys::FleetKeys;
pub use crate::settings::keys::KeySource;
pub use crate::settings::keys::MAX_EPOCH;
pub use crate::settings::keys::ROUTE_KEY_LEN;
pub use crate::settings::keys::SECRET_LEN;
pub use crate::settings::keys::Secret;
pub use crate::settings::sections::DEFAULT_DRAIN_LIMIT;
pub use crate::settings::sections::DEFAULT_HEALTH;
pub use crate::settings::sections::DEFAULT_LEVEL;
pub use crate::settings::sections::DEFAULT_OPERATOR;
pub use crate::settings::sections::DEFAULT_PLATFORM_TIMEOUT;
pub use crate::settings::sections::NetworkSettings;
pub use crate::settings::sections::PlatformSettings;
pub use crate::settings::sections::ProcessSettings;
pub use crate::settings::sections::ServiceSettings;
pub use crate::settings::sections::TargetSettings;
pub use crate::settings::sections::TlsSettings;
pub use crate::settings::values::Subnet;

use crate::settings::document::Reader;

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Settings that all processes have.
    pub process: ProcessSettings,
    /// Addresses of the process and of the entries that it contacts first.
    pub network: NetworkSettings,
    /// Connection to the platform.
    pub platform: PlatformSettings,
    /// Services, at least one, with unique numbers and addresses.
    pub services: Vec<ServiceSettings>,
    /// Keys that all processes of the deployment share.
    pub keys: FleetKeys,
}

impl EntrySettings {
    /// Reads and validates the settings file of an entry.
    pub fn load(file: &Path) -> Result<EntrySettings, Faults> {
        EntrySettings::try_from(&Document::load(file)?)
    }
}

impl TryFrom<&Document> for EntrySettings {
    type Error = Faults;

    fn try_from(document: &Document) -> Result<EntrySettings, Faults> {
        const SECTIONS: &str = "one of [process], [network], [platform], [service NAME]";

        let mut reader = Reader::new(document);
        let (process, source) = reader.section("process", ProcessSettings::read);
        let network = reader.section("network", NetworkSettings::read_entry);
        let platform = reader.section("platform", PlatformSettings::read);
        let services = read_services(&mut reader);
        let keys = load_keys(&mut reader, source);

        let settings = || {
            Some(EntrySettings {
                process: process?,
                network: network?,
                platform: platform?,
                services,
                keys: keys?,
            })
        };
        reader.finish(settings(), SECTIONS)
    }
}

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Settings that all processes have.
    pub process: ProcessSettings,
    /// Addresses of the process and of the entries that it contacts first.
    pub network: NetworkSettings,
    /// Connection to the platform.
    pub platform: PlatformSettings,
    /// Target that the agent serves.
    pub target: TargetSettings,
    /// Certificate that the agent presents to callers.
    pub tls: TlsSettings,
    /// Keys that all processes of the deployment share.
    pub keys: FleetKeys,
}

impl AgentSettings {
    /// Reads and validates the settings file of an agent.
    pub fn load(file: &Path) -> Result<AgentSettings, Faults> {
        AgentSettings::try_from(&Document::load(file)?)
    }
}

impl TryFrom<&Document> for AgentSettings {
    type Error = Faults;

    fn try_from(document: &Document) -> Result<AgentSettings, Faults> {
        const SECTIONS: &str = "one of [process], [network], [platform], [target], [tls]";

        let mut reader = Reader::new(document);
        let (process, source) = reader.section("process", ProcessSettings::read);
        let network = reader.section("network", NetworkSettings::read_agent);
        let platform = reader.section("platform", PlatformSettings::read);
        let target = reader.section("target", TargetSettings::read);
        let tls = reader.section("tls", TlsSettings::read);
        let keys = load_keys(&mut reader, source);

        let settings = || {
            Some(AgentSettings {
                process: process?,
                network: network?,
                platform: platform?,
                target: target?,
                tls: tls?,
                keys: keys?,
            })
        };
        reader.finish(settings(), SECTIONS)
    }
}

/// Reads all `[service NAME]` sections. Omits services with faults.
fn read_services(reader: &mut Reader<'_>) -> Vec<ServiceSettings> {
    let mut services: Vec<ServiceSettings> = Vec::new();
    let sections = reader.names_with_prefix("service");
    if sections.is_empty() {
        reader.fault(
            "service NAME",
            "",
            None,
            "a section for each service, at least one",
        );
    }
    for section in sections {
        let name = section["service".len()..].trim();
        if let Err(expected) = values::name(name) {
            reader.fault(section, "", Some(name), &expected.0);
        }
        let Some(service) = reader.section(section, |values| ServiceSettings::read(values, name))
        else {
            continue;
        };
        reject_duplicates(reader, section, &service, &services);
        services.push(service);
    }
    services
}

/// Adds a fault if an earlier service has the same number or address.
fn reject_duplicates(
    reader: &mut Reader<'_>,
    section: &str,
    service: &ServiceSettings,
    earlier: &[ServiceSettings],
) {
    if earlier.iter().any(|other| other.id == service.id) {
        let id = service.id.to_string();
        reader.fault(
            section,
            "id",
            Some(&id),
            "a number that no other service has",
        );
    }
    if earlier.iter().any(|other| other.listen == service.listen) {
        let listen = service.listen.to_string();
        reader.fault(
            section,
            "listen",
            Some(&listen),
            "an address that no other service has",
        );
    }
}

/// Loads the fleet keys and adds their faults to `reader`. Returns `None` after a fault.
fn load_keys(reader: &mut Reader<'_>, source: Option<KeySource>) -> Option<FleetKeys> {
    let dir = reader.file().parent().unwrap_or(Path::new(""));
    match FleetKeys::load(&source?, dir) {
        Ok(keys) => Some(keys),
        Err(faults) => {
            reader.add_faults(faults);
            None
        }
    }
}
