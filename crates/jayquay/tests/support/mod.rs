//! Runs the binary as an operator would.

use std::process::Command;
use std::process::Output;

/// `jayquay` in the repository's root.
pub fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_jayquay"));
    command
        .args(arguments)
        .current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."))
        .env_remove("JAYQUAY_PLATFORM")
        .env_remove("RUST_LOG");
    command
}

/// Runs `jayquay` in the repository's root.
pub fn run(arguments: &[&str]) -> Output {
    command(arguments).output().expect("the binary runs")
}

/// What a run printed and how it ended.
pub fn shown(arguments: &[&str]) -> String {
    let output = run(arguments);
    let code = output.status.code().expect("the binary ends by itself");
    let stdout = String::from_utf8_lossy(&output.stdout);
    let stderr = String::from_utf8_lossy(&output.stderr);
    format!("{stdout}{stderr}exit {code}")
}
