//! Temporary directory of a test, with keys and a certificate.

use std::env;
use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process;

use marigoldway::keys;

/// A temporary directory that is removed on drop.
pub struct Scratch {
    dir: PathBuf,
}

impl Scratch {
    /// Creates the directory of the test `name`, with `keys.ini`, `certificate.pem` and `key.pem`.
    pub fn new(name: &str) -> Scratch {
        let dir = env::temp_dir().join(format!("marigoldway-{}-{name}", process::id()));
        fs::create_dir_all(&dir).expect("a directory");
        let scratch = Scratch { dir };
        keys::create(&scratch.path("keys.ini")).expect("keys");
        keys::write_certificate(&scratch.dir, "localhost").expect("a certificate");
        scratch
    }

    /// Returns the path of a file in the directory.
    pub fn path(&self, file: &str) -> PathBuf {
        self.dir.join(file)
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(Path::new(&self.dir));
    }
}
