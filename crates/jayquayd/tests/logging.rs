//! Tests that logging in the flow mode never blocks the process.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;

use jayquayd::forward::logging::Queue;

/// Number of lines written while nothing reads them.
const LINES: usize = 10_000;
/// Number of times that the output is given the time to follow.
const ATTEMPTS: usize = 100;

/// A writer that blocks until it is released.
#[derive(Clone, Default)]
struct BlockingWriter {
    state: Arc<(Mutex<State>, Condvar)>,
}

#[derive(Default)]
struct State {
    is_released: bool,
    read: Vec<u8>,
}

impl BlockingWriter {
    fn release(&self) {
        self.state.0.lock().unwrap().is_released = true;
        self.state.1.notify_all();
    }

    fn text(&self) -> String {
        String::from_utf8(self.state.0.lock().unwrap().read.clone()).unwrap()
    }
}

impl Write for BlockingWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let (state, released) = &*self.state;
        let mut state = released
            .wait_while(state.lock().unwrap(), |state| !state.is_released)
            .unwrap();
        state.read.extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Number of lines that the output accounts for: those written and those counted as left out.
fn accounted(text: &str) -> usize {
    let left_out = text
        .lines()
        .filter_map(|line| line.strip_prefix("log: left out lines="));
    let left_out: usize = left_out.map(|count| count.parse::<usize>().unwrap()).sum();
    let written = text.lines().filter(|line| !line.starts_with("log: ")).count();
    written + left_out
}

/// Guards against lines that are lost without being counted. The writer may count what it left out in several lines, as
/// it takes lines from the queue while more are written.
#[test]
fn lines_that_nobody_reads_are_left_out_and_counted() {
    let writer = BlockingWriter::default();
    let mut queue = Queue::start(writer.clone());
    let mut lines = LINES;
    for number in 0..LINES {
        // This would never return if it waited for the output.
        queue.write_all(format!("line {number}\n").as_bytes()).unwrap();
    }
    writer.release();
    // What was left out is counted by the next line that is written.
    for _ in 0..ATTEMPTS {
        queue.finish();
        if accounted(&writer.text()) == lines {
            break;
        }
        queue.write_all(b"another\n").unwrap();
        lines += 1;
    }
    let text = writer.text();
    assert_eq!(accounted(&text), lines, "each line is written or counted once");
    assert!(text.contains("left out lines="), "the queue is bounded");
    assert!(
        text.starts_with("line 0\nline 1\n"),
        "the first lines are kept, in order"
    );
}
