//! Valid settings, which tests modify.

use std::fs;
use std::path::PathBuf;

use crate::scratch::Scratch;

/// Valid settings of an entry with two services.
pub const ENTRY: &str = "\
[process]
domain = 1
region = 1
keys = keys.ini
operator = 127.0.1.1:9001
statsd = 127.0.0.1:8125
drain-limit = 3s
[network]
data = 127.0.1.1:7000
control = 127.0.1.1:7001
contacts = 127.0.1.1:7001, 127.0.1.2:7001
agent-networks = 127.0.0.0/8
[platform]
address = 127.0.0.1:2379
[service ordering]
id = 1
listen = 127.0.1.1:4433
[service intake]
id = 2
listen = 127.0.1.1:4434
";

/// Valid settings of an agent.
pub const AGENT: &str = "\
[process]
domain = 2
region = 1
log-level = debug
keys = keys.ini
[network]
data = 127.0.2.1:7000
control = 127.0.2.1:7001
contacts = 127.0.1.1:7001
[platform]
address = 127.0.0.1:2379
timeout = 250ms
[target]
service = 1
name = ordering
address = 127.0.2.1:8080
slots = 4
connections = 2000
[tls]
certificate = certificate.pem
key = key.pem
";

/// Writes `settings.ini` to the directory and returns its path.
pub fn write_settings(scratch: &Scratch, text: &str) -> PathBuf {
    let path = scratch.path("settings.ini");
    fs::write(&path, text).expect("settings");
    path
}
