//! `jayquay config diff`.

use std::path::PathBuf;

use bpaf::Bpaf;
use bpaf::ShellComp;
use config::Difference;
use config::Document;
use serde::Serialize;

use crate::exit::Report;
use crate::output;

use super::error::Error;
use super::file;
use super::json;
use super::json::DifferenceItem;
use super::json::Identity;

pub const EXAMPLES: &str = "Example:
  jayquay config diff approved.yaml changed.yaml";

/// Arguments of `jayquay config diff`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(args), ignore_rustdoc)]
pub struct Args {
    /// Print JSON for scripts.
    json: bool,
    /// The document before.
    #[bpaf(positional("OLD"), complete_shell(ShellComp::File { mask: None }))]
    old: PathBuf,
    /// The document after.
    #[bpaf(positional("NEW"), complete_shell(ShellComp::File { mask: None }))]
    new: PathBuf,
}

#[derive(Debug, Serialize)]
struct Comparison<'a> {
    old: Identity<'a>,
    new: Identity<'a>,
    differences: Vec<DifferenceItem<'a>>,
}

/// Compares two documents. Both must be valid.
pub fn run(args: &Args) -> Result<Report, Error> {
    let old = file::document(&args.old)?;
    let new = file::document(&args.new)?;
    let (old, new) = match (old, new) {
        (Ok(old), Ok(new)) => (old, new),
        (old, new) => {
            let mut text = file::list(&args.old, &old.err().unwrap_or_default());
            text += &file::list(&args.new, &new.err().unwrap_or_default());
            return Ok(Report::refused(text));
        }
    };
    let differences = config::diff(&old, &new);
    if args.json {
        return Ok(Report::done(compare_json(&old, &new, &differences)));
    }
    let from = old.revision;
    let to = new.revision;
    let list = lines(&differences);
    Ok(Report::done(format!("from revision {from} to revision {to}\n{list}")))
}

/// Lists differences, one a line.
pub fn lines(differences: &[Difference]) -> String {
    if differences.is_empty() {
        return "  nothing differs\n".to_owned();
    }
    let lines = differences.iter().map(|difference| format!("  {difference}\n"));
    lines.collect()
}

fn compare_json(old: &Document, new: &Document, differences: &[Difference]) -> String {
    output::json(&Comparison {
        old: Identity::from(old),
        new: Identity::from(new),
        differences: json::differences(differences),
    })
}
