//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::BufWriter;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    start: Instant,
    out: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        let out = Arc::new(Mutex::new(BufWriter::new(File::create(path)?)));
        Ok(Self { start: Instant::now(), out })
    }

    /// Writes a line with the seconds since the start.
    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut out = self.out.lock().unwrap();
        let _ = writeln!(out, "{at:9.3} {text}");
    }

    pub fn flush(&self) {
        let _ = self.out.lock().unwrap().flush();
    }
}
