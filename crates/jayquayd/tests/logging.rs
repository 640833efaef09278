//! Tests that logging in the flow mode never blocks the process.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;

use jayquayd::forward::logging::Queue;

/// Number of lines written while nothing reads them.
const LINES: usize = 10_000;

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

#[test]
fn lines_that_nobody_reads_are_left_out_and_counted() {
    let writer = BlockingWriter::default();
    let mut queue = Queue::start(writer.clone());
    for number in 0..LINES {
        // This would never return if it waited for the output.
        queue.write_all(format!("line {number}\n").as_bytes()).unwrap();
    }
    writer.release();
    while !writer.text().contains("left out lines=") {
        queue.write_all(b"another\n").unwrap();
        queue.finish();
    }
    let text = writer.text();
    let written = text.lines().filter(|line| line.starts_with("line ")).count();
    let left_out = text
        .lines()
        .find_map(|line| line.strip_prefix("log: left out lines="))
        .unwrap();
    let left_out: usize = left_out.parse().unwrap();
    assert!(written > 0 && written + left_out >= LINES, "{written} and {left_out}");
    assert!(
        text.starts_with("line 0\nline 1\n"),
        "the first lines are kept, in order"
    );
}
