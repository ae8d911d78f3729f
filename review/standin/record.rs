//! What was sent, answered and run, with the time since the start, and the broken rules.

use std::fs::File;
use std::io::BufWriter;
use std::io::Write;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// `Record` writes `record.txt` and counts.
pub struct Record {
    started: Instant,
    inner: Mutex<Inner>,
}

struct Inner {
    file: BufWriter<File>,
    served: u64,
    violations: Vec<String>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Record> {
        Ok(Record {
            started: Instant::now(),
            inner: Mutex::new(Inner {
                file: BufWriter::new(File::create(path)?),
                served: 0,
                violations: Vec::new(),
            }),
        })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|it| it.into_inner())
    }

    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes one line.
    pub fn line(&self, text: &str) {
        let at = self.elapsed().as_secs_f64();
        // A full disk shows in the size of the file.
        let _ = writeln!(self.lock().file, "{at:9.3} {text}");
    }

    /// Counts a served request.
    pub fn served(&self) {
        self.lock().served += 1;
    }

    /// Notes a broken rule.
    pub fn violation(&self, rule: &str, detail: &str) {
        let at = self.elapsed().as_secs_f64();
        let text = format!("BROKEN {rule}: {detail}");
        self.line(&text);
        self.lock().violations.push(format!("{at:9.3} {text}"));
    }

    /// Number of served requests, and the broken rules.
    pub fn result(&self) -> (u64, Vec<String>) {
        let mut inner = self.lock();
        let _ = inner.file.flush();
        (inner.served, inner.violations.clone())
    }
}
