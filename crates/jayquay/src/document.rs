//! `jayquay config`: the life of the configuration document.

mod apply;
mod check;
mod diff;
mod error;
mod file;
mod history;
mod json;
mod show;
mod time;

use bpaf::Bpaf;

use crate::exit::Report;

use self::error::Error;

/// What to do with the document.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub enum Command {
    /// Check a document and tell every problem in it.
    #[bpaf(command("check"), footer(check::EXAMPLES))]
    Check(#[bpaf(external(check::args))] check::Args),
    /// Tell what differs between two documents.
    #[bpaf(command("diff"), footer(diff::EXAMPLES))]
    Diff(#[bpaf(external(diff::args))] diff::Args),
    /// Bring a document into force, in place of the revision that was reviewed.
    #[bpaf(command("apply"), header(apply::HEADER), footer(apply::EXAMPLES))]
    Apply(#[bpaf(external(apply::args))] apply::Args),
    /// Show the document in force, or an earlier revision.
    #[bpaf(command("show"), footer(show::EXAMPLES))]
    Show(#[bpaf(external(show::args))] show::Args),
    /// List the revisions: who changed what, when and why.
    #[bpaf(command("history"), footer(history::EXAMPLES))]
    History(#[bpaf(external(history::args))] history::Args),
}

/// Runs the command.
pub async fn run(command: Command) -> Result<Report, Error> {
    match command {
        Command::Check(args) => check::run(&args),
        Command::Diff(args) => diff::run(&args),
        Command::Apply(args) => apply::run(args).await,
        Command::Show(args) => show::run(args).await,
        Command::History(args) => history::run(args).await,
    }
}
