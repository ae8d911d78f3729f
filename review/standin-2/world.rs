//! What the stand-ins share: the record, the time since the start, and what is known of open flows.

use std::collections::HashMap;
use std::fs::File;
use std::io::BufWriter;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::packet::FlowKey;

/// A flow that an endpoint holds open.
#[derive(Clone)]
pub struct OpenFlow {
    pub endpoint: String,
    /// Cleared when the incarnation of the endpoint ends.
    pub alive: Arc<AtomicBool>,
    /// When the incarnation of the endpoint started.
    pub started: Instant,
    /// When the endpoint had the end of the handshake.
    pub opened: Instant,
}

pub struct World {
    start: Instant,
    record: Mutex<BufWriter<File>>,
    /// Flows that endpoints hold open. Copies of an opening packet may have reached several.
    pub open: Mutex<HashMap<FlowKey, OpenFlow>>,
    pub stop: AtomicBool,
    pub broken: AtomicU64,
    pub answered: AtomicU64,
    pub sent: AtomicU64,
    pub run: AtomicU64,
    random: AtomicU64,
}

impl World {
    pub fn new(record: &str) -> std::io::Result<World> {
        let seed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let seed = seed.map_or(1, |it| it.as_nanos() as u64);
        Ok(World {
            start: Instant::now(),
            record: Mutex::new(BufWriter::new(File::create(record)?)),
            open: Mutex::default(),
            stop: AtomicBool::new(false),
            broken: AtomicU64::new(0),
            answered: AtomicU64::new(0),
            sent: AtomicU64::new(0),
            run: AtomicU64::new(0),
            random: AtomicU64::new(seed | 1),
        })
    }

    pub fn ms(&self, at: Instant) -> u128 {
        at.saturating_duration_since(self.start).as_millis()
    }

    /// Writes a line to the record.
    pub fn note(&self, line: &str) {
        let ms = self.ms(Instant::now());
        let mut record = self.record.lock().unwrap();
        let _ = writeln!(record, "{ms:>7} ms  {line}");
    }

    /// Writes a line to the record and to the terminal.
    pub fn say(&self, line: &str) {
        println!("{:>7} ms  {line}", self.ms(Instant::now()));
        self.note(line);
    }

    pub fn flush(&self) {
        let _ = self.record.lock().unwrap().flush();
    }

    pub fn random(&self) -> u64 {
        let mut x = self
            .random
            .fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }

    pub fn stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Sleeps until a time since the start.
    pub fn sleep_until(&self, ms: u64) {
        let at = self.start + Duration::from_millis(ms);
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
    }
}

/// Text of a flow in the record.
pub fn name(key: &FlowKey) -> String {
    format!("{}:{}>{}:{}", key.0.0, key.0.1, key.1.0, key.1.1)
}
