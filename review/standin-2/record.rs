//! The record of a case: what was sent, answered and run, with milliseconds since its start.

use std::fs::File;
use std::io::BufWriter;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    begin: Instant,
    out: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &str) -> Result<Self, String> {
        let file = File::create(path).map_err(|error| format!("{path}: {error}"))?;
        Ok(Self {
            begin: Instant::now(),
            out: Mutex::new(BufWriter::new(file)),
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.begin.elapsed().as_millis();
        let mut out = self.out.lock().unwrap();
        writeln!(out, "{at:>7} {text}").unwrap();
        out.flush().unwrap();
    }
}
