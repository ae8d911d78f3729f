//! Valid settings are parsed into typed values; invalid ones yield every error.

#[path = "scratch/samples.rs"]
mod samples;
mod scratch;

use std::fs;
use std::fs::Permissions;
use std::net::Ipv4Addr;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::time::Duration;

use log::LevelFilter;
use marigoldway_core::flow::capacity::CapacityPolicy;
use marigoldway_core::ids::DomainId;
use marigoldway_core::ids::Incarnation;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::ids::ServiceId;
use marigoldway_core::route::Route;
use proptest::prelude::any;
use proptest::prelude::proptest;

use marigoldway::keys;
use marigoldway::settings::AgentSettings;
use marigoldway::settings::DEFAULT_HEALTH;
use marigoldway::settings::DEFAULT_LEVEL;
use marigoldway::settings::DEFAULT_PLATFORM_TIMEOUT;
use marigoldway::settings::Document;
use marigoldway::settings::EntrySettings;
use marigoldway::settings::FleetKeys;
use marigoldway::settings::FlowSettings;
use marigoldway::settings::KeySource;
use samples::AGENT;
use samples::ENTRY;
use samples::write_settings;
use scratch::Scratch;

/// Returns the errors of an entry's settings, one line each, without the directory.
fn entry_errors(scratch: &Scratch, text: &str) -> Vec<String> {
    let errors = EntrySettings::load(&write_settings(scratch, text)).expect_err("errors");
    let dir = format!("{}/", scratch.path("").display()).replace("//", "/");
    errors
        .0
        .iter()
        .map(|error| error.to_string().replace(&dir, ""))
        .collect()
}

#[test]
fn entry_accepts_valid_settings() {
    let scratch = Scratch::new("entry");
    let settings = EntrySettings::load(&write_settings(&scratch, ENTRY)).expect("settings");
    assert_eq!(settings.process.domain, DomainId(1));
    assert_eq!(settings.process.log_level, DEFAULT_LEVEL);
    assert_eq!(settings.process.drain_limit, Duration::from_secs(3));
    assert_eq!(
        settings.network.data,
        InstanceId::new(Ipv4Addr::new(127, 0, 1, 1), 7000)
    );
    assert_eq!(settings.network.contacts.len(), 2);
    assert!(settings.network.agent_networks[0].contains(Ipv4Addr::new(127, 9, 9, 9)));
    assert!(!settings.network.agent_networks[0].contains(Ipv4Addr::new(128, 0, 0, 1)));
    assert_eq!(settings.platform.timeout, DEFAULT_PLATFORM_TIMEOUT);
    let services: Vec<_> = settings
        .services
        .iter()
        .map(|s| (s.name.as_str(), s.id))
        .collect();
    assert_eq!(
        services,
        [("ordering", ServiceId(1)), ("intake", ServiceId(2))]
    );
}

#[test]
fn agent_accepts_valid_settings() {
    let scratch = Scratch::new("agent");
    let settings = AgentSettings::load(&write_settings(&scratch, AGENT)).expect("settings");
    assert_eq!(settings.process.log_level, LevelFilter::Debug);
    assert_eq!(settings.platform.timeout, Duration::from_millis(250));
    assert_eq!(settings.target.health, DEFAULT_HEALTH);
    assert_eq!(
        (settings.target.slots, settings.target.connections),
        (4, 2000)
    );
    assert_eq!(settings.tls.certificate, scratch.path("certificate.pem"));
}

/// Settings of an entry that forwards packets, with further lines of `[flows]`.
fn flow_settings(lines: &str) -> String {
    format!(
        "[flows]\nname = a-1\ndomain = d\ndata = 127.0.0.1:7000\nlisten = 127.0.0.1:7001\n\
         ready = 127.0.0.1:7002\nheartbeat = 1s\nlifetime = 60s\ngrace = 1s\nmemory-mb = 16\n\
         {lines}[platform]\naddress = 127.0.0.1:7003\n"
    )
}

// Guards against settings of the capacity estimate that are ignored, or taken outside of their
// range.
#[test]
fn flow_settings_accept_capacity_policies() {
    let scratch = Scratch::new("capacity");
    let load = |lines: &str| FlowSettings::load(&write_settings(&scratch, &flow_settings(lines)));
    let policy = |lines: &str| load(lines).expect("settings").capacity;
    assert_eq!(policy(""), CapacityPolicy::default());
    let fixed = policy("capacity = fixed\ncapacity-floor = 0.5\n");
    assert_eq!((fixed.adaptive, fixed.floor), (false, 50));
    assert!(policy("capacity = adaptive\n").adaptive);
    for lines in [
        "capacity = auto\n",
        "capacity-floor = 0\n",
        "capacity-floor = 1.5\n",
        "capacity-floor = NaN\n",
    ] {
        assert!(load(lines).is_err(), "{lines}");
    }
}

#[test]
fn entry_reports_every_error() {
    let scratch = Scratch::new("faults");
    let text = ENTRY
        .replace("region = 1", "regoin = 1")
        .replace("data = 127.0.1.1:7000", "data = [::1]:7000")
        .replace("127.0.0.1:2379", "localhost")
        .replace("drain-limit = 3s", "drain-limit = 3")
        .replace("127.0.1.1:4434", "127.0.1.1:0")
        .replace("127.0.0.0/8", "127.0.0.1/8")
        + "[tls]\nkey = key.pem\n";
    let errors = entry_errors(&scratch, &text);

    let expected = [
        "settings.ini: [process] region: missing, expected a whole number from 0 to 255",
        "settings.ini: [process] drain-limit: read \"3\", expected a time span",
        "settings.ini: [process] regoin: read \"1\", expected one of the keys domain,",
        "settings.ini: [network] data: read \"[::1]:7000\", expected an IPv4 address, not IPv6",
        "settings.ini: [network] agent-networks: read \"127.0.0.1/8\", expected IPv4 subnets",
        "settings.ini: [platform] address: read \"localhost\", expected an IPv4 address",
        "settings.ini: [service intake] listen: read \"127.0.1.1:0\", expected a port from 1",
        "settings.ini: [tls]: read \"tls\", expected one of [process], [network], [platform],",
    ];
    assert_eq!(errors.len(), expected.len(), "{errors:#?}");
    for (error, expected) in errors.iter().zip(expected) {
        assert!(
            error.starts_with(expected),
            "{error}\ndoes not start with\n{expected}"
        );
    }
}

#[test]
fn entry_rejects_duplicate_service() {
    let scratch = Scratch::new("twice");
    let text = ENTRY.replace("id = 2", "id = 1").replace("4434", "4433");
    let errors = entry_errors(&scratch, &text);
    assert_eq!(errors.len(), 2, "{errors:#?}");
    assert!(
        errors[0].contains("[service intake] id: read \"1\""),
        "{errors:#?}"
    );
    assert!(
        errors[1].contains("[service intake] listen: read"),
        "{errors:#?}"
    );
}

#[test]
fn entry_rejects_duplicate_key() {
    let scratch = Scratch::new("repeated");
    let errors = entry_errors(&scratch, &ENTRY.replace("id = 2", "id = 2\nid = 3"));
    assert_eq!(errors.len(), 1, "{errors:#?}");
    assert!(errors[0].ends_with("[service intake] id: read \"3\", expected each key once"));
}

#[test]
fn entry_requires_a_service() {
    let scratch = Scratch::new("none");
    let text = &ENTRY[..ENTRY.find("[service ordering]").expect("a service")];
    let errors = entry_errors(&scratch, text);
    assert_eq!(errors.len(), 1, "{errors:#?}");
    assert!(errors[0].contains("[service NAME]: missing"), "{errors:#?}");
}

#[test]
fn agent_rejects_missing_certificate() {
    let scratch = Scratch::new("certificate");
    let text = AGENT
        .replace("certificate.pem", "gone.pem")
        .replace("slots = 4", "slots = 0");
    let errors = AgentSettings::load(&write_settings(&scratch, &text)).expect_err("errors");
    let keys: Vec<_> = errors.0.iter().map(|error| error.key.as_str()).collect();
    assert_eq!(keys, ["slots", "certificate"]);
}

#[test]
fn keys_reject_permissive_mode() {
    let scratch = Scratch::new("mode");
    let file = scratch.path("keys.ini");
    fs::set_permissions(&file, Permissions::from_mode(0o640)).expect("a mode");
    let errors = entry_errors(&scratch, ENTRY);
    assert_eq!(errors, ["keys.ini: read \"mode 0640\", expected mode 0600"]);
}

#[test]
fn keys_errors_hide_key_values() {
    let scratch = Scratch::new("secret");
    let file = scratch.path("keys.ini");
    let text = fs::read_to_string(&file).expect("keys");
    let secret = text
        .lines()
        .find_map(|line| line.strip_prefix("control = "))
        .expect("a key");
    fs::write(&file, text.replace(secret, &format!("{secret}0"))).expect("written");
    let errors = entry_errors(&scratch, ENTRY);
    assert_eq!(errors.len(), 1, "{errors:#?}");
    assert!(
        errors[0].contains("control: read \"(not shown)\", expected 64"),
        "{errors:#?}"
    );
    assert!(!errors[0].contains(secret));
}

#[test]
fn keys_rotate_without_a_gap() {
    let scratch = Scratch::new("rotate");
    let file = scratch.path("keys.ini");
    let load = || {
        let source = KeySource::File(file.clone());
        FleetKeys::load(&source, Path::new("")).expect("keys").route
    };
    assert!(
        keys::rotate(&file).is_err(),
        "rotate fails before a key is staged"
    );

    let route = Route {
        agent: InstanceId::new(Ipv4Addr::LOCALHOST, 7000),
        service: ServiceId(1),
        incarnation: Incarnation(7),
    };
    let old = load();
    keys::stage(&file).expect("staged");
    let staged = load();
    keys::rotate(&file).expect("rotated");
    let rotated = load();

    // A route ID encodes the agent, the service and the incarnation of a route. In each step,
    // processes with the newer and with the older keys file decode each other's route IDs.
    assert_eq!(staged.decode(&old.encode(&route, 1)), Some(route));
    assert_eq!(old.decode(&staged.encode(&route, 1)), Some(route));
    assert_eq!(rotated.decode(&staged.encode(&route, 1)), Some(route));
    assert_eq!(staged.decode(&rotated.encode(&route, 1)), Some(route));
    assert_eq!(old.decode(&rotated.encode(&route, 1)), None);
}

proptest! {
    #[test]
    fn document_parse_handles_any_text(text in any::<String>()) {
        if let Ok(document) = Document::parse(Path::new("any"), &text) {
            assert!(EntrySettings::try_from(&document).is_err());
            assert!(AgentSettings::try_from(&document).is_err());
        }
    }
}

/// Guards against an `overflow` that is off by default, is ignored, or takes other words.
#[test]
fn flow_settings_read_overflow() {
    let scratch = Scratch::new("flow_settings_read_overflow");
    let load = |line: &str| {
        let text = format!(
            "[flows]\nname = a\ndomain = d\ndata = 127.0.0.1:1\nlisten = 127.0.0.1:2\n\
             ready = 127.0.0.1:3\nheartbeat = 1s\nlifetime = 60s\ngrace = 1s\nmemory-mb = 64\n\
             {line}\n[platform]\naddress = 127.0.0.1:4\n"
        );
        FlowSettings::load(&write_settings(&scratch, &text)).map(|it| it.overflow)
    };
    assert_eq!(load("").ok(), Some(true));
    assert_eq!(load("overflow = on").ok(), Some(true));
    assert_eq!(load("overflow = off").ok(), Some(false));
    assert!(load("overflow = no").is_err());
}
