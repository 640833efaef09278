//! `jayquay config check`.

use std::path::PathBuf;

use bpaf::Bpaf;
use bpaf::ShellComp;
use config::Document;
use config::Problem;
use config::Settings;
use serde::Serialize;

use crate::exit::Report;
use crate::output;

use super::error::Error;
use super::file;
use super::json;
use super::json::Identity;
use super::json::ProblemItem;

pub const EXAMPLES: &str = "Examples:
  jayquay config check examples/verblijfnet.yaml
  jayquay config check --settings examples/settings.yaml";

/// Arguments of `jayquay config check`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(args), ignore_rustdoc)]
pub struct Args {
    /// Check the settings of an entry instance instead of a document.
    settings: bool,
    /// Print JSON for scripts.
    json: bool,
    /// The document or the settings.
    #[bpaf(positional("FILE"), complete_shell(ShellComp::File { mask: None }))]
    path: PathBuf,
}

#[derive(Debug, Serialize)]
struct Finding<'a> {
    /// Absent if there are problems, or if settings were checked.
    document: Option<Identity<'a>>,
    problems: Vec<ProblemItem>,
}

/// Checks a document or settings.
pub fn run(args: &Args) -> Result<Report, Error> {
    let text = file::text(&args.path)?;
    if args.settings {
        return Ok(match config::parse_settings(&text) {
            Ok(settings) => Report::done(accepted_settings(args, &settings)),
            Err(problems) => refused(args, &problems),
        });
    }
    Ok(match config::parse(&text) {
        Ok(document) => Report::done(accepted(args, &document)),
        Err(problems) => refused(args, &problems),
    })
}

fn accepted(args: &Args, document: &Document) -> String {
    if args.json {
        return output::json(&Finding {
            document: Some(Identity::from(document)),
            problems: Vec::new(),
        });
    }
    let revision = document.revision;
    let digest = document.digest;
    let services = document.services.len();
    let upstreams: usize = document.services.iter().map(|service| service.upstreams.len()).sum();
    format!("revision {revision} is valid: {services} services, {upstreams} upstreams, digest {digest}\n")
}

fn accepted_settings(args: &Args, settings: &Settings) -> String {
    if args.json {
        return output::json(&Finding {
            document: None,
            problems: Vec::new(),
        });
    }
    format!("the settings of {} are valid\n", settings.name)
}

fn refused(args: &Args, problems: &[Problem]) -> Report {
    if !args.json {
        return Report::refused(file::list(&args.path, problems));
    }
    let problems = json::problems(problems);
    let document = None;
    Report::refused(output::json(&Finding { document, problems }))
}
