//! `jayquay flows`: operating the flow mode on the users' platform.
//!
//! What is in force is read from the store through the adapter, and from instances by their peers' addresses. Nothing is
//! written: on this platform the document is its operators' alone.

mod capacity;
mod diff;
mod error;
mod holder;
mod read;
mod show;
mod status;
mod timeline;

use bpaf::Bpaf;

use crate::exit::Report;

use self::error::Error;

/// What the help text tells before the commands.
pub const HEADER: &str = "For instances that run as `jayquayd --flows`. The document is written by the platform's operators \
by their own means; these commands only read.";

/// What to do.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub enum Command {
    /// Show what is in force where, failing if it is not what the store holds.
    #[bpaf(command("status"), header(status::HEADER), footer(status::EXAMPLE))]
    Status(#[bpaf(external(status::args))] status::Args),
    /// Show the document that the store or an instance holds.
    #[bpaf(command("show"), footer(show::EXAMPLES))]
    Show(#[bpaf(external(show::args))] show::Args),
    /// Tell what differs from the document of one holder to that of another.
    #[bpaf(command("diff"), footer(diff::EXAMPLE))]
    Diff(#[bpaf(external(diff::args))] diff::Args),
    /// Merge the logs of instances by time.
    #[bpaf(command("timeline"), header(timeline::HEADER), footer(timeline::EXAMPLES))]
    Timeline(#[bpaf(external(timeline::args))] timeline::Args),
}

/// Runs the command.
pub async fn run(command: Command) -> Result<Report, Error> {
    match command {
        Command::Status(args) => status::run(args).await,
        Command::Show(args) => show::run(args).await,
        Command::Diff(args) => diff::run(args).await,
        Command::Timeline(args) => timeline::run(&args),
    }
}
