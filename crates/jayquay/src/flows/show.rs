//! `jayquay flows show`.

use std::fmt::Write;

use bpaf::Bpaf;
use flow::Document;

use crate::exit::Report;
use crate::flows::error::Error;
use crate::flows::holder::Holder;
use crate::flows::read;
use crate::output;

pub const EXAMPLES: &str = "Examples:
  jayquay flows show store:10.200.1.7:8169
  jayquay flows show instance:10.1.0.10:7720 --json";

/// Arguments of `jayquay flows show`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(args), ignore_rustdoc)]
pub struct Args {
    /// Print JSON for scripts.
    json: bool,
    /// Who holds it: store:ADDRESS, or instance:ADDRESS with the instance's peers' address.
    #[bpaf(positional("HOLDER"))]
    holder: Holder,
}

/// Shows a document.
pub async fn run(args: Args) -> Result<Report, Error> {
    let document = read::document(args.holder).await?;
    Ok(Report::done(if args.json {
        output::json(&document)
    } else {
        as_text(&document)
    }))
}

fn as_text(document: &Document) -> String {
    let idle = document.idle_timeout.as_millis();
    let (revision, digest, count) = (document.revision, document.digest(), document.routes.len());
    let mut text = format!("revision {revision}, digest {digest}, {count} routes, idle timeout {idle} ms\n");
    for (name, route) in &document.routes {
        let _infallible = writeln!(text, "  {name}: {route}");
    }
    text
}
