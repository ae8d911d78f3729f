//! Settings of a process: an INI file, checked whole before anything starts.
//!
//! [`EntrySettings::load`] and [`AgentSettings::load`] read a file and every
//! file that it names. All faults come back in one go as [`Faults`]. Relative
//! paths start at the directory of the settings file.

mod document;
mod faults;
mod flows;
mod keys;
mod sections;
mod values;

use std::path::Path;

pub use crate::settings::document::Document;
pub use crate::settings::faults::Expected;
pub use crate::settings::faults::Fault;
pub use crate::settings::faults::Faults;
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

/// `EntrySettings` holds all that an entry is told.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// What every process is told.
    pub process: ProcessSettings,
    /// Addresses of the process and of its first contacts.
    pub network: NetworkSettings,
    /// Where the platform is.
    pub platform: PlatformSettings,
    /// The services, at least one, no number or address twice.
    pub services: Vec<ServiceSettings>,
    /// The fleet's keys.
    pub keys: FleetKeys,
}

impl EntrySettings {
    /// Reads and checks a settings file.
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

/// `AgentSettings` holds all that an agent is told.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// What every process is told.
    pub process: ProcessSettings,
    /// Addresses of the process and of its first contacts.
    pub network: NetworkSettings,
    /// Where the platform is.
    pub platform: PlatformSettings,
    /// The target beside the agent.
    pub target: TargetSettings,
    /// Certificate that callers see.
    pub tls: TlsSettings,
    /// The fleet's keys.
    pub keys: FleetKeys,
}

impl AgentSettings {
    /// Reads and checks a settings file.
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

fn read_services(reader: &mut Reader<'_>) -> Vec<ServiceSettings> {
    let mut services: Vec<ServiceSettings> = Vec::new();
    let sections = reader.names("service");
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
        let Some(service) = reader.section(section, |part| ServiceSettings::read(part, name))
        else {
            continue;
        };
        refuse_twice(reader, section, &service, &services);
        services.push(service);
    }
    services
}

/// Faults a number or an address that an earlier service has.
fn refuse_twice(
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

fn load_keys(reader: &mut Reader<'_>, source: Option<KeySource>) -> Option<FleetKeys> {
    let dir = reader.file().parent().unwrap_or(Path::new(""));
    match FleetKeys::load(&source?, dir) {
        Ok(keys) => Some(keys),
        Err(faults) => {
            reader.append(faults);
            None
        }
    }
}
