//! `jayquay config history`.

use bpaf::Bpaf;
use serde::Serialize;
use units::Revision;
use wire::Digest;

use crate::address::PlatformArgs;
use crate::address::platform_args;
use crate::exit::Report;
use crate::output;

use super::error::Error;
use super::time;

pub const EXAMPLES: &str = "Example:
  jayquay config history --platform 10.20.9.1:7000 --limit 5";

/// How many revisions are listed unless told otherwise.
const DEFAULT_LIMIT: u32 = 20;

/// Arguments of `jayquay config history`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(args), ignore_rustdoc)]
pub struct Args {
    #[bpaf(external(platform_args))]
    platform: PlatformArgs,
    /// List at most so many revisions, newest first [default: 20].
    #[bpaf(argument("COUNT"), fallback(DEFAULT_LIMIT))]
    limit: u32,
    /// Print JSON for scripts.
    json: bool,
}

/// One revision.
#[derive(Debug, Serialize)]
struct Line {
    revision: Revision,
    digest: String,
    written_at: String,
    writer: String,
    /// Empty if the text does not pass the checks.
    approver: String,
    /// Says so if the text does not pass the checks.
    reason: String,
}

impl From<platform::Document> for Line {
    fn from(held: platform::Document) -> Self {
        let change = config::parse(&held.text).ok().map(|document| document.change);
        let (approver, reason) = match change {
            Some(change) => (change.approver, change.reason),
            None => (String::new(), "(this text does not pass the checks)".to_owned()),
        };
        Self {
            revision: held.revision,
            digest: Digest::of(held.text.as_bytes()).to_string(),
            written_at: time::utc(held.written_at),
            writer: held.writer,
            approver,
            reason,
        }
    }
}

/// Lists the revisions.
pub async fn run(args: Args) -> Result<Report, Error> {
    let held = args.platform.client().history(args.limit).await?;
    let lines: Vec<Line> = held.into_iter().map(Line::from).collect();
    Ok(Report::done(if args.json {
        output::json(&lines)
    } else {
        columns(&lines)
    }))
}

fn columns(lines: &[Line]) -> String {
    let heading = row("REVISION", "WRITTEN AT", "WRITER", "APPROVER", "DIGEST", "REASON");
    let rows = lines.iter().map(|line| {
        let revision = line.revision.to_string();
        row(
            &revision,
            &line.written_at,
            &line.writer,
            &line.approver,
            &line.digest,
            &line.reason,
        )
    });
    heading + &rows.collect::<String>()
}

fn row(revision: &str, written_at: &str, writer: &str, approver: &str, digest: &str, reason: &str) -> String {
    format!("{revision:>8}  {written_at:<20}  {writer:<12}  {approver:<12}  {digest:<32}  {reason}\n")
}
