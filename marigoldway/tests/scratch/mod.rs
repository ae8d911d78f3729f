//! A directory of one test, with keys and a certificate in it.

use std::env;
use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process;

use marigoldway::keys;

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
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(Path::new(&self.dir));
    }
}
