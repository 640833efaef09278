//! `jayquay`: the operators' command line.

mod address;
mod call;
mod command;
mod console;
mod demo;
mod document;
mod exit;
mod experiment;
mod flows;
mod instance;
mod load;
mod output;
mod soak;
mod stand_in;
mod status;
mod timeline;
mod traffic;

use std::process::ExitCode;

use mimalloc::MiMalloc;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

#[tokio::main]
async fn main() -> ExitCode {
    let command = match command::from_arguments() {
        Ok(command) => command,
        Err(code) => return code,
    };
    start_log();
    command::run(command).await
}

/// Logs go to stderr, and results to stdout. `RUST_LOG` sets what is logged.
fn start_log() {
    let from_environment = env_logger::Env::default().default_filter_or("warn");
    env_logger::Builder::from_env(from_environment).init();
}
