//! Readers of the output that go away before it is written, as `head` does.

mod support;

use std::process::Command;
use std::process::Output;
use std::process::Stdio;

use support::command;
use support::shown;

/// Runs `jayquay` with nobody reading the stream that `stream` sets.
fn unread(arguments: &[&str], stream: fn(&mut Command, Stdio)) -> Output {
    let (reader, writer) = std::io::pipe().expect("a pipe");
    drop(reader);
    let mut command = command(arguments);
    stream(&mut command, writer.into());
    command.output().expect("the binary runs")
}

fn check(arguments: &[&str], code: i32) {
    let read = shown(arguments);
    assert!(read.ends_with(&format!("exit {code}")), "{arguments:?}: {read}");
    let output = unread(arguments, |command, pipe| {
        command.stdout(pipe);
    });
    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(code), "{arguments:?}: {errors}");
    assert!(!errors.contains("panicked"), "{arguments:?}: {errors}");
    let output = unread(arguments, |command, pipe| {
        command.stderr(pipe);
    });
    assert_eq!(output.status.code(), Some(code), "{arguments:?} without stderr");
}

#[test]
fn a_reader_that_has_gone_changes_no_exit_code() {
    check(&["--help"], 0);
    check(&["--version"], 0);
    check(&["config", "show", "--help"], 0);
    check(&["config", "check", "examples/verblijfnet.yaml"], 0);
    check(&["config", "check", "crates/jayquay/tests/broken.yaml"], 1);
    check(&["config", "check", "no-such-file.yaml"], 1);
    check(&["no-such-command"], 2);
}
