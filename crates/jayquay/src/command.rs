//! The subcommands, read from the arguments of the process.

use std::convert::Infallible;
use std::process::ExitCode;

use bpaf::Args;
use bpaf::Bpaf;
use bpaf::ParseFailure;

use crate::call;
use crate::console;
use crate::demo;
use crate::document;
use crate::exit;
use crate::exit::Report;
use crate::experiment;
use crate::flows;
use crate::load;
use crate::output;
use crate::soak;
use crate::stand_in;
use crate::status;
use crate::timeline;

/// Operate the jayquay load balancer.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Show a whole system under traffic, failing if it breaks a promise.
    #[bpaf(command("demo"), header(demo::HEADER))]
    Demo(#[bpaf(external(demo::args))] demo::Args),
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
    /// Show what is in force where, failing if it is not what was approved.
    #[bpaf(command("status"), header(status::HEADER), footer(status::EXAMPLES))]
    Status(#[bpaf(external(status::args))] status::Args),
    /// Show what happened, over all instances.
    #[bpaf(command("timeline"), header(timeline::HEADER), footer(timeline::EXAMPLES))]
    Timeline(#[bpaf(external(timeline::args))] timeline::Args),
    /// Look after the flow mode: what is in force where, and what happened.
    #[bpaf(command("flows"), header(flows::HEADER))]
    Flows(#[bpaf(external(flows::command))] flows::Command),
    /// Compare the decisions under load with other rules, in virtual time.
    #[bpaf(command("experiment"), header(experiment::HEADER), footer(experiment::EXAMPLES))]
    Experiment(#[bpaf(external(experiment::args))] experiment::Args),
    /// Run the flow mode as processes under random faults, failing if it breaks a promise.
    #[bpaf(command("soak"), header(soak::HEADER), footer(soak::EXAMPLES))]
    Soak(#[bpaf(external(soak::args))] soak::Args),
    /// Run a stand-in for a part of the outside world, for trials.
    #[bpaf(command("stand-in"), header(stand_in::HEADER))]
    StandIn(#[bpaf(external(stand_in::command))] stand_in::Command),
}

/// Reads the command, or says what is wrong with the arguments, or prints the help that they ask for.
pub fn from_arguments() -> Result<Command, ExitCode> {
    command().run_inner(Args::current_args()).map_err(explain)
}

fn explain(failure: ParseFailure) -> ExitCode {
    let text = match failure {
        ParseFailure::Stdout(help, full) => format!("{}\n", help.monochrome(full)),
        ParseFailure::Completion(completion) => completion,
        ParseFailure::Stderr(message) => {
            output::complain(&message.monochrome(true));
            return ExitCode::from(exit::BAD_USAGE);
        }
    };
    exit::finish::<Infallible>(Ok(Report::done(text)))
}

/// Runs the command to its end.
pub async fn run(command: Command) -> ExitCode {
    match command {
        Command::Demo(args) => exit::finish(demo::run(args).await),
        Command::Config(command) => exit::finish(document::run(command).await),
        Command::Console(args) => exit::finish(console::run(args).await),
        Command::Call(args) => exit::finish(call::run(args).await),
        Command::Load(args) => exit::finish(load::run(args).await),
        Command::Status(args) => exit::finish(status::run(args).await),
        Command::Timeline(args) => exit::finish(timeline::run(args).await),
        Command::Experiment(args) => exit::finish(experiment::run(args).await),
        Command::Flows(command) => exit::finish(flows::run(command).await),
        Command::Soak(args) => exit::finish(soak::run(args).await),
        Command::StandIn(command) => exit::finish(stand_in::run(command).await),
    }
}
