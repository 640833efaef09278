//! Log lines to standard output that never hold the process up.
//!
//! Lines wait in a bounded queue for a thread that writes them. When whoever reads them is slow, lines are left out and
//! counted; packets go on.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// How many lines wait at most. They take about 200 bytes each.
const LINES: usize = 2_048;
/// How long the last lines may take to be written when the process ends.
const LAST_LINES: Duration = Duration::from_millis(300);
/// How often it is looked whether they are.
const PAUSE: Duration = Duration::from_millis(5);

/// Counts of lines.
#[derive(Debug, Default)]
struct Counts {
    waiting: AtomicU64,
    left_out: AtomicU64,
}

/// Takes lines, and hands them to the thread that writes them.
#[derive(Debug, Clone)]
pub struct Queue {
    lines: SyncSender<Vec<u8>>,
    counts: Arc<Counts>,
}

impl Queue {
    /// Starts the thread that writes lines to `out`.
    pub fn start(out: impl Write + Send + 'static) -> Self {
        let (lines, queue) = mpsc::sync_channel(LINES);
        let counts = Arc::new(Counts::default());
        let shared = Arc::clone(&counts);
        thread::spawn(move || write_lines(&queue, out, &shared));
        Self { lines, counts }
    }

    /// Waits a moment until the lines so far are written.
    pub fn finish(&self) {
        let begin = Instant::now();
        while self.counts.waiting.load(Ordering::Acquire) > 0 && begin.elapsed() < LAST_LINES {
            thread::sleep(PAUSE);
        }
    }
}

impl Write for Queue {
    /// Takes one line. It is never refused, only left out.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.counts.waiting.fetch_add(1, Ordering::AcqRel);
        if self.lines.try_send(line.to_vec()).is_err() {
            self.counts.waiting.fetch_sub(1, Ordering::AcqRel);
            self.counts.left_out.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(queue: &Receiver<Vec<u8>>, mut out: impl Write, counts: &Counts) {
    while let Ok(mut lines) = queue.recv() {
        let mut taken = 1;
        for line in queue.try_iter() {
            lines.extend(line);
            taken += 1;
        }
        let left_out = counts.left_out.swap(0, Ordering::Relaxed);
        if left_out > 0 {
            lines.extend(format!("log: left out lines={left_out}\n").into_bytes());
        }
        // There is nowhere else to say that the log can't be written.
        let _unwritten = out.write_all(&lines).and_then(|()| out.flush());
        counts.waiting.fetch_sub(taken, Ordering::AcqRel);
    }
}
