//! What was sent, answered and run, with the time since the start.

use std::collections::HashMap;
use std::fs::File;
use std::io::BufWriter;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    start: Instant,
    file: Mutex<BufWriter<File>>,
    random: Mutex<u64>,
    /// Endpoints that ran each request.
    runs: Mutex<HashMap<String, Vec<String>>>,
    broken: Mutex<Vec<String>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        let seed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let seed = seed.map_or(1, |it| it.as_nanos() as u64) ^ u64::from(std::process::id()) << 40;
        Ok(Record {
            start: Instant::now(),
            file: Mutex::new(BufWriter::new(File::create(path)?)),
            random: Mutex::new(seed | 1),
            runs: Mutex::default(),
            broken: Mutex::default(),
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }

    /// Notes a rule that was broken.
    pub fn broken(&self, rule: &str, text: &str) {
        self.line(&format!("BROKEN {rule}: {text}"));
        self.broken.lock().unwrap().push(rule.to_owned());
    }

    pub fn broken_rules(&self) -> Vec<String> {
        self.broken.lock().unwrap().clone()
    }

    /// Notes that an endpoint ran a request.
    pub fn ran(&self, request: &str, endpoint: &str) {
        self.line(&format!("endpoint {endpoint} runs {request}"));
        let mut runs = self.runs.lock().unwrap();
        runs.entry(request.to_owned())
            .or_default()
            .push(endpoint.to_owned());
    }

    pub fn random(&self) -> u32 {
        let mut state = self.random.lock().unwrap();
        *state ^= *state << 13;
        *state ^= *state >> 7;
        *state ^= *state << 17;
        (*state >> 16) as u32
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}
