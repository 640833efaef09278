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
const QUEUE_CAPACITY: usize = 2_048;
/// Time limit for writing the remaining lines when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which the writer's progress is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Line counters.
#[derive(Debug, Default)]
struct Counters {
    waiting: AtomicU64,
    dropped: AtomicU64,
}

/// Passes lines to the writer thread.
#[derive(Debug, Clone)]
pub struct Queue {
    lines: SyncSender<Vec<u8>>,
    counters: Arc<Counters>,
}

impl Queue {
    /// Starts the thread that writes lines to `out`.
    pub fn start(out: impl Write + Send + 'static) -> Self {
        let (lines, queue) = mpsc::sync_channel(QUEUE_CAPACITY);
        let counters = Arc::new(Counters::default());
        let shared = Arc::clone(&counters);
        thread::spawn(move || write_lines(&queue, out, &shared));
        Self { lines, counters }
    }

    /// Waits, up to a time limit, until all queued lines are written.
    pub fn finish(&self) {
        let begin = Instant::now();
        while self.counters.waiting.load(Ordering::Acquire) > 0 && begin.elapsed() < FLUSH_TIMEOUT {
            thread::sleep(POLL_INTERVAL);
        }
    }
}

impl Write for Queue {
    /// Queues one line. It never fails; a line that doesn't fit is dropped and counted.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.counters.waiting.fetch_add(1, Ordering::AcqRel);
        if self.lines.try_send(line.to_vec()).is_err() {
            self.counters.waiting.fetch_sub(1, Ordering::AcqRel);
            self.counters.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(queue: &Receiver<Vec<u8>>, mut out: impl Write, counters: &Counters) {
    while let Ok(mut lines) = queue.recv() {
        let mut received = 1;
        for line in queue.try_iter() {
            lines.extend(line);
            received += 1;
        }
        let dropped = counters.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            lines.extend(format!("log: left out lines={dropped}\n").into_bytes());
        }
        // An error in writing the log can't be reported anywhere else.
        let _unwritten = out.write_all(&lines).and_then(|()| out.flush());
        counters.waiting.fetch_sub(received, Ordering::AcqRel);
    }
}
