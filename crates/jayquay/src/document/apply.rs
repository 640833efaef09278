//! `jayquay config apply`.

use std::fmt;
use std::path::PathBuf;

use apply::Plan;
use apply::RetryPolicy;
use bpaf::Bpaf;
use bpaf::ShellComp;
use platform::Client;
use serde::Serialize;
use units::Revision;

use crate::address::PlatformArgs;
use crate::address::platform_args;
use crate::exit::Report;
use crate::output;

use super::diff;
use super::error::Error;
use super::file;
use super::json;
use super::json::DifferenceItem;
use super::json::Identity;

pub const HEADER: &str = "\
The document states the revision that follows the one that was reviewed. If somebody else has made it meanwhile, \
nothing is changed. The same file may be applied again after a failure: it never comes into force twice.";

pub const EXAMPLES: &str = "Examples:
  jayquay config apply --from 11 --dry-run --platform 10.20.9.1:7000 changed.yaml
  jayquay config apply --from 11 --platform 10.20.9.1:7000 changed.yaml";

/// Arguments of `jayquay config apply`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(args), ignore_rustdoc)]
pub struct Args {
    #[bpaf(external(platform_args))]
    platform: PlatformArgs,
    /// The revision that was reviewed, 0 if there is no document yet.
    #[bpaf(argument("REVISION"))]
    from: Revision,
    /// Tell what would change, and change nothing.
    dry_run: bool,
    /// Print JSON for scripts.
    json: bool,
    /// The document.
    #[bpaf(positional("FILE"), complete_shell(ShellComp::File { mask: None }))]
    path: PathBuf,
}

/// What became of a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Effect {
    /// It would come into force.
    DryRun,
    /// It came into force.
    Applied,
    /// It came into force, as was read back because the platform's answer was lost.
    ReadBack,
    /// It had come into force before, and this revision is the newest now.
    Already(Revision),
}

impl fmt::Display for Effect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::DryRun => f.write_str("would come into force; nothing was changed"),
            Self::Applied => f.write_str("is in force at the platform"),
            Self::ReadBack => {
                f.write_str("came into force at the platform, as was read back after the answer was lost")
            }
            Self::Already(newest) => {
                write!(
                    f,
                    "had come into force already; nothing was changed, and revision {newest} is the newest"
                )
            }
        }
    }
}

#[derive(Debug, Serialize)]
struct Application<'a> {
    effect: Effect,
    document: Identity<'a>,
    from: Revision,
    differences: Vec<DifferenceItem<'a>>,
}

/// Applies a document.
pub async fn run(args: Args) -> Result<Report, Error> {
    let document = match file::document(&args.path)? {
        Ok(document) => document,
        Err(problems) => return Ok(Report::refused(file::list(&args.path, &problems))),
    };
    let client = args.platform.client();
    let plan = apply::plan(&client, args.from, document).await?;
    let effect = carry_out(&client, &plan, args.dry_run).await?;
    Ok(Report::done(if args.json {
        as_json(&plan, effect)
    } else {
        as_text(&plan, effect)
    }))
}

async fn carry_out(client: &Client, plan: &Plan, dry_run: bool) -> Result<Effect, Error> {
    if let Some(newest) = plan.applied {
        return Ok(Effect::Already(newest));
    }
    if dry_run {
        return Ok(Effect::DryRun);
    }
    let applied = apply::apply(client, plan, RetryPolicy::default()).await?;
    Ok(if applied.read_back {
        Effect::ReadBack
    } else {
        Effect::Applied
    })
}

fn as_text(plan: &Plan, effect: Effect) -> String {
    let from = plan.from;
    let revision = plan.document.revision;
    let digest = plan.document.digest;
    let list = diff::lines(&plan.differences);
    format!("from revision {from} to revision {revision}\n{list}revision {revision}, digest {digest}, {effect}\n")
}

fn as_json(plan: &Plan, effect: Effect) -> String {
    output::json(&Application {
        effect,
        document: Identity::from(&plan.document),
        from: plan.from,
        differences: json::differences(&plan.differences),
    })
}
