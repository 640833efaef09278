//! `jayquay flows diff`.

use std::fmt::Write;

use bpaf::Bpaf;

use crate::exit::Report;
use crate::flows::error::Error;
use crate::flows::holder::Holder;
use crate::flows::read;
use crate::output;

pub const EXAMPLE: &str = "Example:
  jayquay flows diff instance:10.1.0.10:7720 store:10.200.1.7:8169";

/// Arguments of `jayquay flows diff`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(args), ignore_rustdoc)]
pub struct Args {
    /// Print JSON for scripts.
    json: bool,
    /// Who holds the older one: store:ADDRESS or instance:ADDRESS.
    #[bpaf(positional("OLD"))]
    old: Holder,
    /// Who holds the newer one.
    #[bpaf(positional("NEW"))]
    new: Holder,
}

/// Compares two documents.
pub async fn run(args: Args) -> Result<Report, Error> {
    let old = read::document(args.old).await?;
    let new = read::document(args.new).await?;
    let differences = old.differences(&new);
    if args.json {
        return Ok(Report::done(output::json(&differences)));
    }
    let mut text = format!("from revision {} to revision {}\n", old.revision, new.revision);
    if differences.is_empty() {
        text += "  nothing differs\n";
    }
    for difference in &differences {
        let _infallible = writeln!(text, "  {difference}");
    }
    Ok(Report::done(text))
}
