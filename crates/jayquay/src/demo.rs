//! `jayquay demo`: a whole system in one process, on real sockets, with an instance replaced and an upstream drained
//! under traffic.

mod error;
mod judge;
mod story;
mod world;

use bpaf::Bpaf;
use serde::Serialize;

use crate::exit::Report;
use crate::output;
use crate::traffic;

use self::error::Error;
use self::judge::HoldRuns;
use self::judge::Invariant;
use self::story::Story;

/// What the help text tells before the options.
pub const HEADER: &str = "\
Starts stand-ins for the platform, the fabric and four upstreams of two services, three entry instances, and callers, \
all in this process and on loopback. Under traffic, one instance is replaced and one upstream drains. It ends by \
itself within 20 seconds; exit code 0 tells that every invariant held.";

/// Arguments of `jayquay demo`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(args), ignore_rustdoc)]
pub struct Args {
    /// Where random draws begin. Timing still differs from run to run.
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seed: u64,
    /// Print JSON for scripts.
    json: bool,
}

#[derive(Debug, Serialize)]
struct Result {
    traffic: traffic::Report,
    hold_runs: HoldRuns,
    imbalance: Vec<judge::Imbalance>,
    invariants: Vec<Invariant>,
}

/// Runs the demo.
pub async fn run(args: Args) -> std::result::Result<Report, Error> {
    let Story { traffic, ends, world } = story::run(args.seed).await?;
    let result = Result {
        traffic: traffic.report(),
        hold_runs: HoldRuns::new(&ends, &world),
        imbalance: judge::imbalance(&world),
        invariants: judge::invariants(&ends, &traffic, &world),
    };
    let text = if args.json {
        output::json(&result)
    } else {
        result.to_string()
    };
    if result.invariants.iter().all(Invariant::holds) {
        return Ok(Report::done(text));
    }
    Ok(Report::refused(text))
}

impl std::fmt::Display for Result {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(f, "{}", self.traffic)?;
        writeln!(f, "{}", self.hold_runs)?;
        for imbalance in &self.imbalance {
            writeln!(f, "{imbalance}")?;
        }
        writeln!(f)?;
        for invariant in &self.invariants {
            writeln!(f, "{invariant}")?;
        }
        Ok(())
    }
}
