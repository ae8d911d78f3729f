//! A directory of one test, with keys, a certificate and settings in it.

use std::env;
use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process;

use marigoldway::keys;

/// Settings of an entry that are accepted.
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

/// Settings of an agent that are accepted.
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

/// A directory that is removed when dropped.
pub struct Scratch {
    dir: PathBuf,
}

impl Scratch {
    /// Makes the directory of the test `name`.
    pub fn new(name: &str) -> Scratch {
        let dir = env::temp_dir().join(format!("marigoldway-{}-{name}", process::id()));
        fs::create_dir_all(&dir).expect("a directory");
        let scratch = Scratch { dir };
        keys::create(&scratch.path("keys.ini")).expect("keys");
        keys::write_certificate(&scratch.dir, "localhost").expect("a certificate");
        scratch
    }

    /// Path of a file in the directory.
    pub fn path(&self, file: &str) -> PathBuf {
        self.dir.join(file)
    }

    /// Writes settings, and gives their path.
    pub fn write(&self, text: &str) -> PathBuf {
        let path = self.path("settings.ini");
        fs::write(&path, text).expect("settings");
        path
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(Path::new(&self.dir));
    }
}
