//! The subcommands, read from the arguments of the process.

use std::process::ExitCode;

use bpaf::Args;
use bpaf::Bpaf;
use bpaf::ParseFailure;

use crate::call;
use crate::console;
use crate::document;
use crate::exit;
use crate::load;

/// How wide help texts are, in characters.
const HELP_WIDTH: usize = 100;

/// Operate the jayquay load balancer.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Check, compare, apply and show the configuration document.
    #[bpaf(command("config"))]
    Config(#[bpaf(external(document::command))] document::Command),
    /// Change the configuration document by forms in a browser.
    #[bpaf(command("console"), header(console::HEADER), footer(console::EXAMPLE))]
    Console(#[bpaf(external(console::args))] console::Args),
    /// Make one request, as a caller would.
    #[bpaf(command("call"), footer(call::EXAMPLES))]
    Call(#[bpaf(external(call::args))] call::Args),
    /// Drive a system with callers' traffic and tell what they saw.
    #[bpaf(command("load"), header(load::HEADER), footer(load::EXAMPLES))]
    Load(#[bpaf(external(load::args))] load::Args),
}

/// Reads the command, or says what is wrong with the arguments, or prints the help that they ask for.
pub fn from_arguments() -> Result<Command, ExitCode> {
    command().run_inner(Args::current_args()).map_err(|failure| {
        failure.print_message(HELP_WIDTH);
        let code = match failure {
            ParseFailure::Stdout(..) | ParseFailure::Completion(_) => exit::DONE,
            ParseFailure::Stderr(_) => exit::BAD_USAGE,
        };
        ExitCode::from(code)
    })
}

/// Runs the command to its end.
pub async fn run(command: Command) -> ExitCode {
    match command {
        Command::Config(command) => exit::finish(document::run(command).await),
        Command::Console(args) => exit::finish(console::run(args).await),
        Command::Call(args) => exit::finish(call::run(args).await),
        Command::Load(args) => exit::finish(load::run(args).await),
    }
}
