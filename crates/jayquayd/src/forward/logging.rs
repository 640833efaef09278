//! Non-blocking log output to standard output.
//!
//! Lines go through a bounded queue to a writer thread. When the reader of the output is slow, lines are dropped and
//! counted, and packet forwarding is not delayed.

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

/// Capacity of the queue in lines, which take about 200 bytes each.
const LINES: usize = 2_048;
/// Time limit for writing the remaining lines when the process ends.
const LAST_LINES: Duration = Duration::from_millis(300);
/// Interval at which the writer's progress is checked.
const PAUSE: Duration = Duration::from_millis(5);

/// Line counters.
#[derive(Debug, Default)]
struct Counts {
    waiting: AtomicU64,
    left_out: AtomicU64,
}

/// Passes lines to the writer thread.
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

    /// Waits, up to a time limit, until all queued lines are written.
    pub fn finish(&self) {
        let begin = Instant::now();
        while self.counts.waiting.load(Ordering::Acquire) > 0 && begin.elapsed() < LAST_LINES {
            thread::sleep(PAUSE);
        }
    }
}

impl Write for Queue {
    /// Queues one line. It never fails; a line that doesn't fit is dropped and counted.
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
        // An error in writing the log can't be reported anywhere else.
        let _unwritten = out.write_all(&lines).and_then(|()| out.flush());
        counts.waiting.fetch_sub(taken, Ordering::AcqRel);
    }
}
