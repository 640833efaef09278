//! `jayquay config show`.

use bpaf::Bpaf;
use config::Change;
use config::Document;
use serde::Serialize;
use units::Revision;
use wire::Digest;

use crate::address::PlatformArgs;
use crate::address::platform_args;
use crate::exit::Report;
use crate::output;

use super::error::Error;
use super::json::Identity;
use super::time;

pub const EXAMPLES: &str = "Examples:
  jayquay config show --platform 10.20.9.1:7000
  jayquay config show --platform 10.20.9.1:7000 --revision 11 --text > reviewed.yaml";

/// Arguments of `jayquay config show`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(args), ignore_rustdoc)]
pub struct Args {
    #[bpaf(external(platform_args))]
    platform: PlatformArgs,
    /// The revision, the newest one unless given.
    #[bpaf(argument("REVISION"))]
    revision: Option<Revision>,
    /// Print the text alone, byte for byte as it was approved.
    text: bool,
    /// Print JSON for scripts.
    json: bool,
}

#[derive(Debug, Serialize)]
struct Shown<'a> {
    revision: Revision,
    digest: String,
    writer: &'a str,
    written_at: String,
    /// Absent if the text does not pass the checks.
    document: Option<Identity<'a>>,
    text: &'a str,
}

/// Shows a revision.
pub async fn run(args: Args) -> Result<Report, Error> {
    let client = args.platform.client();
    let held = match args.revision {
        Some(revision) => client.revision(revision).await?.ok_or(Error::NoRevision(revision))?,
        None => client.document().await?.ok_or(Error::NoDocument)?,
    };
    if args.text {
        return Ok(Report::done(held.text));
    }
    let checked = config::parse(&held.text).ok();
    if args.json {
        return Ok(Report::done(as_json(&held, checked.as_ref())));
    }
    Ok(Report::done(as_text(&held, checked.as_ref())))
}

/// The text below comments that tell what it is, so that the whole is still a document.
fn as_text(held: &platform::Document, checked: Option<&Document>) -> String {
    let revision = held.revision;
    let digest = Digest::of(held.text.as_bytes());
    let writer = &held.writer;
    let written_at = time::utc(held.written_at);
    let note = checked.map_or_else(|| "this text does not pass the checks".to_owned(), change_note);
    let text = held.text.trim_end();
    format!("# revision {revision}, digest {digest}\n# written by {writer} at {written_at}\n# {note}\n{text}\n")
}

fn change_note(document: &Document) -> String {
    let Change {
        author,
        approver,
        reason,
    } = &document.change;
    format!("author {author}, approver {approver}, reason: {reason}")
}

fn as_json(held: &platform::Document, checked: Option<&Document>) -> String {
    output::json(&Shown {
        revision: held.revision,
        digest: Digest::of(held.text.as_bytes()).to_string(),
        writer: &held.writer,
        written_at: time::utc(held.written_at),
        document: checked.map(Identity::from),
        text: &held.text,
    })
}
