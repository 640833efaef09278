//! Writing results to stdout, and errors and progress to stderr.

use std::io;
use std::io::Write;

use serde::Serialize;

/// Writes `text` to stdout. A reader that has gone, as `head` does, is no error.
pub fn print(text: &str) -> io::Result<()> {
    let mut stdout = io::stdout().lock();
    let result = stdout.write_all(text.as_bytes()).and_then(|()| stdout.flush());
    match result {
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        result => result,
    }
}

/// Writes a line to stderr after the program's name. Where nobody reads it, the exit code still tells.
pub fn complain(text: &str) {
    // One write, so that lines of processes that share the stream do not mix.
    let line = format!("jayquay: {text}\n");
    let _unread = io::stderr().write_all(line.as_bytes());
}

/// Writes an item as JSON on one line.
pub fn json_line<T: Serialize>(item: &T) -> String {
    let mut text = serde_json::to_string(item).expect("results hold only what has a JSON form");
    text.push('\n');
    text
}

/// Writes an item as JSON for scripts, ending with a line feed.
pub fn json<T: Serialize>(item: &T) -> String {
    let mut text = serde_json::to_string_pretty(item).expect("results hold only what has a JSON form");
    text.push('\n');
    text
}
