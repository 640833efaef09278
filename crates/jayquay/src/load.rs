//! `jayquay load`: callers in one process against a real system.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use caller::OpenError;
use tokio::sync::mpsc;
use units::Millis;
use units::ServiceName;

use crate::exit::Report;
use crate::output;
use crate::traffic;
use crate::traffic::Kind;
use crate::traffic::Plan;
use crate::traffic::Summary;

/// What the help text tells before the options.
pub const HEADER: &str = "A kind is NAME[:SHARE[:WEIGHT]][:idempotent]. Exit code 1 tells that a flow was broken.";

/// The examples in the help text.
pub const EXAMPLES: &str = "Examples:
  jayquay load --fabric 10.20.0.1:4000 --service availability --kind feed:8:1:idempotent --kind hold:2:5
  jayquay load --fabric 127.0.0.1:4000 --service photos --kind sheet:1:2:idempotent --rate 20 --seconds 30 --json";

/// The longest run, in seconds, so that a forgotten one ends.
const MAX_SECONDS: u32 = 600;
/// The most flows. Each has a socket.
const MAX_FLOWS: usize = 10_000;
/// The most requests per second.
const MAX_RATE: f64 = 50_000.0;
/// How many ended requests wait to be counted.
const ENDS: usize = 1_024;

/// Arguments of `jayquay load`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(args), ignore_rustdoc)]
pub struct Args {
    /// Where packets are sent.
    #[bpaf(argument("ADDRESS"))]
    fabric: SocketAddr,
    /// The service address that callers dial, if packets are sent elsewhere.
    #[bpaf(argument("ADDRESS"))]
    address: Option<SocketAddr>,
    /// The service.
    #[bpaf(argument("NAME"))]
    service: ServiceName,
    /// A kind of request, its share of the traffic, its weight, and whether running it twice does no harm.
    #[bpaf(long("kind"), argument("KIND"), some("at least one --kind is needed"))]
    kinds: Vec<Kind>,
    /// How many flows there are, at most 10000.
    #[bpaf(
        argument("N"),
        guard(flows_fit, "there are 1 to 10000 flows"),
        fallback(10),
        display_fallback
    )]
    flows: usize,
    /// How many requests begin per second, over all flows, at most 50000.
    #[bpaf(
        argument("N"),
        guard(rate_fits, "the rate lies above 0 and is at most 50000"),
        fallback(100.0),
        display_fallback
    )]
    rate: f64,
    /// How long requests begin, at most 600.
    #[bpaf(
        argument("N"),
        guard(seconds_fit, "a run lasts 1 to 600 seconds"),
        fallback(10),
        display_fallback
    )]
    seconds: u32,
    /// How long a caller waits for an answer, retries included, in milliseconds.
    #[bpaf(long("timeout-ms"), argument("N"), fallback(Millis(2_000)))]
    timeout: Millis,
    /// How long a body is, in bytes.
    #[bpaf(long("body-len"), argument("N"), fallback(100), display_fallback)]
    body_len: usize,
    /// Where random draws begin. By default every run differs.
    #[bpaf(argument("N"))]
    seed: Option<u64>,
    /// Print JSON for scripts.
    json: bool,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the parser passes references")]
fn flows_fit(flows: &usize) -> bool {
    (1..=MAX_FLOWS).contains(flows)
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the parser passes references")]
fn rate_fits(rate: &f64) -> bool {
    *rate > 0.0 && *rate <= MAX_RATE
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the parser passes references")]
fn seconds_fit(seconds: &u32) -> bool {
    (1..=MAX_SECONDS).contains(seconds)
}

/// Drives a system and tells what callers saw.
pub async fn run(args: Args) -> Result<Report, OpenError> {
    let plan = Plan {
        fabric: args.fabric,
        address: args.address.unwrap_or(args.fabric),
        service: args.service,
        flows: args.flows,
        rate: args.rate,
        surge: None,
        duration: Duration::from_secs(args.seconds.into()),
        kinds: args.kinds,
        timeout: args.timeout.duration(),
        body_len: args.body_len,
        seed: args.seed.unwrap_or_else(rand::random),
    };
    let (sender, mut ends) = mpsc::channel(ENDS);
    let service = plan.service.clone();
    let duration = plan.duration;
    let driving = tokio::spawn(traffic::drive(plan, sender));
    let mut summary = Summary::default();
    while let Some(ended) = ends.recv().await {
        summary.add(&ended);
    }
    let tallies = driving.await.expect("the driver does not panic")?;
    summary.add_flows(&service, &tallies);
    summary.set_elapsed(duration);
    let report = summary.report();
    let text = if args.json {
        output::json(&report)
    } else {
        report.to_string()
    };
    if summary.broken() > 0 {
        return Ok(Report::refused(text));
    }
    Ok(Report::done(text))
}
