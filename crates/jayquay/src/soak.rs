//! `jayquay soak`: the flow mode under random faults, as separate processes.

use std::fmt;
use std::fmt::Write;
use std::io;
use std::path::PathBuf;
use std::time::Duration;

use bpaf::Bpaf;
use soak::Options;

use crate::exit::Report;

/// What the help text tells before the options.
pub const HEADER: &str = "\
Starts entry instances in flow mode as processes, a store, upstreams and clients, all on loopback, and brings about \
faults drawn from the seed: signals to the processes, failing ways to the store and between instances, upstreams that \
crash or leave, documents in series. Exit code 0 tells that no promise was broken. Settings and logs of the processes are kept.";

/// What the help text tells after the options.
pub const EXAMPLES: &str = "Example: jayquay soak --seed 7 --seeds 50 --seconds 10";

/// How long after a seed's faults a run may take to come to its verdict is bounded; this bounds the faults.
const MOST_SECONDS: u64 = 600;

/// Arguments of `jayquay soak`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(args), ignore_rustdoc)]
pub struct Args {
    /// The first seed
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seed: u64,
    /// How many seeds are run, one after the other
    #[bpaf(argument("COUNT"), fallback(1), display_fallback)]
    seeds: u64,
    /// For how long faults begin, for each seed
    #[bpaf(
        argument("SECONDS"),
        fallback(10),
        display_fallback,
        guard(|seconds| *seconds <= MOST_SECONDS, "at most 600")
    )]
    seconds: u64,
    /// Instances in each of two availability zones
    #[bpaf(argument("COUNT"), fallback(3), display_fallback, guard(|count| *count <= 50, "at most 50"))]
    instances: usize,
    /// Clients of each of two services
    #[bpaf(argument("COUNT"), fallback(12), display_fallback, guard(|count| *count <= 100, "at most 100"))]
    clients: usize,
    /// Leave the ways between instances alone, as the seeds up to 500 were first run
    no_cuts: bool,
    /// Let the store come back from older copies of itself
    returns: bool,
    /// Let upstreams have few slots, be slow at times, and get bursts of requests
    bursts: bool,
    /// The daemon; without this, the one beside this program
    #[bpaf(argument("FILE"))]
    daemon: Option<PathBuf>,
    /// Where settings and logs go
    #[bpaf(argument("DIR"), fallback(PathBuf::from("out/soak")), debug_fallback)]
    logs: PathBuf,
}

/// Why a soak could not be run.
#[derive(Debug)]
pub struct Error(io::Error);

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the soak could not be run: {}", self.0)
    }
}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Self(error)
    }
}

/// Runs the seeds.
pub async fn run(args: Args) -> Result<Report, Error> {
    let binary = match args.daemon {
        Some(binary) => binary,
        None => std::env::current_exe()?.with_file_name("jayquayd"),
    };
    let mut text = String::new();
    let mut broken = 0;
    for seed in args.seed..args.seed.saturating_add(args.seeds) {
        let options = Options {
            seed,
            length: Duration::from_secs(args.seconds),
            instances: args.instances.max(1),
            cuts: !args.no_cuts,
            returns: args.returns,
            bursts: args.bursts,
            clients: args.clients,
            binary: binary.clone(),
            folder: args.logs.join(format!("seed-{seed}")),
        };
        let outcome = soak::run(&options).await?;
        let _infallible = writeln!(
            text,
            "seed {seed}: {} faults, {} requests answered, {} rejected, {} not answered, {} flows lost with their upstream, {} promises broken",
            outcome.faults,
            outcome.answered,
            outcome.rejected,
            outcome.unanswered,
            outcome.lost,
            outcome.violations.len()
        );
        for (at, violation) in &outcome.violations {
            let _infallible = writeln!(text, "  {:.3} s: {violation}", at.as_secs_f64());
        }
        broken += outcome.violations.len();
    }
    if broken > 0 {
        return Ok(Report::refused(text));
    }
    Ok(Report::done(text))
}
