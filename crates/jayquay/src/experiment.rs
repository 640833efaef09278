//! `jayquay experiment`: the decisions under load against other rules, in virtual time.

use std::fmt;
use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::str::FromStr;

use bpaf::Bpaf;
use experiment::Metric;
use experiment::Options;
use experiment::Rule;
use experiment::Scenario;
use experiment::Summary;
use units::ServiceName;

use crate::exit::Report;

/// What the help text tells before the options.
pub const HEADER: &str = "DEPLOYMENT is verblijfnet, coral-table or a file like theirs. No process, network or clock \
takes part: the same seeds give the same figures on any machine. Each scenario has a load of its own, \
which --load replaces; what a scenario does to the load is done in proportion.";

/// The examples in the help text.
pub const EXAMPLES: &str = "Examples:
  jayquay experiment verblijfnet --scenario calm --service photos --seeds 3
  jayquay experiment coral-table --scenario overload --json overload.json --svg overload.svg --metric 'weight/s'";

/// How many seeds are run unless told otherwise.
const SEEDS: u64 = 5;
/// The most seeds, so that a slip of the finger does not run for days.
const MAX_SEEDS: u64 = 1_000;
/// The highest load.
const MAX_LOAD: f64 = 10.0;

/// Arguments of `jayquay experiment`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(args), ignore_rustdoc)]
pub struct Args {
    /// Run this scenario [default: all]. May be given more than once.
    #[bpaf(long("scenario"), argument("NAME"), many)]
    scenarios: Vec<Scenario>,
    /// Run this rule [default: all]. May be given more than once.
    #[bpaf(long("rule"), argument("NAME"), many)]
    rules: Vec<Chosen<Rule>>,
    /// Run this service [default: all]. May be given more than once.
    #[bpaf(long("service"), argument("NAME"), many)]
    services: Vec<ServiceName>,
    /// The load as a share of what all slots can serve, above 0 and at most 10, in place of the scenarios' own.
    #[bpaf(argument("X"), guard(load_fits, "the load lies above 0 and is at most 10"), optional)]
    load: Option<f64>,
    /// How many seeds, each of which draws requests anew, at most 1000.
    #[bpaf(
        argument("N"),
        guard(seeds_fit, "there are 1 to 1000 seeds"),
        fallback(SEEDS),
        display_fallback
    )]
    seeds: u64,
    /// Tell what is aimed at and whether it was met, in place of all figures.
    aims: bool,
    /// Write all figures as JSON into this file as well.
    #[bpaf(argument("FILE"))]
    json: Option<PathBuf>,
    /// Draw one metric into this file as well.
    #[bpaf(argument("FILE"))]
    svg: Option<PathBuf>,
    /// The metric that is drawn, as it heads its column.
    #[bpaf(argument("METRIC"), fallback(Chosen(Metric::WaitP99)), display_fallback)]
    metric: Chosen<Metric>,
    /// The deployment.
    #[bpaf(positional("DEPLOYMENT"))]
    deployment: String,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the parser passes references")]
fn load_fits(load: &f64) -> bool {
    *load > 0.0 && *load <= MAX_LOAD
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the parser passes references")]
fn seeds_fit(seeds: &u64) -> bool {
    (1..=MAX_SEEDS).contains(seeds)
}

/// One of a few, chosen by its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Chosen<T>(T);

impl<T: fmt::Display> fmt::Display for Chosen<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A text is none of the names.
#[derive(Debug, Clone, PartialEq, Eq)]
struct ParseChoiceError {
    names: Vec<&'static str>,
}

impl fmt::Display for ParseChoiceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not one of: {}", self.names.join(", "))
    }
}

impl std::error::Error for ParseChoiceError {}

fn choose<T: Copy>(text: &str, all: &[T], name: impl Fn(T) -> &'static str) -> Result<Chosen<T>, ParseChoiceError> {
    let chosen = all.iter().copied().find(|item| name(*item) == text);
    chosen.map(Chosen).ok_or_else(|| ParseChoiceError {
        names: all.iter().copied().map(name).collect(),
    })
}

impl FromStr for Chosen<Rule> {
    type Err = ParseChoiceError;

    fn from_str(text: &str) -> Result<Self, ParseChoiceError> {
        choose(text, &Rule::ALL, Rule::as_str)
    }
}

impl FromStr for Chosen<Metric> {
    type Err = ParseChoiceError;

    fn from_str(text: &str) -> Result<Self, ParseChoiceError> {
        choose(text, &Metric::ALL, Metric::as_str)
    }
}

/// Why there are no figures.
#[derive(Debug)]
pub enum Error {
    /// The deployment cannot be read.
    Deployment(String, io::Error),
    /// The experiment could not be run or drawn.
    Experiment(experiment::Error),
    /// A file cannot be written.
    File(PathBuf, io::Error),
}

impl From<experiment::Error> for Error {
    fn from(error: experiment::Error) -> Self {
        Self::Experiment(error)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Deployment(name, error) => write!(f, "the deployment {name} cannot be read: {error}"),
            Self::Experiment(error) => error.fmt(f),
            Self::File(path, error) => write!(f, "{} cannot be written: {error}", path.display()),
        }
    }
}

impl std::error::Error for Error {}

impl Args {
    fn options(&self) -> Options {
        let mut options = Options {
            seeds: (1..=self.seeds).collect(),
            services: self.services.iter().map(ToString::to_string).collect(),
            load: self.load,
            ..Options::default()
        };
        if !self.scenarios.is_empty() {
            options.scenarios.clone_from(&self.scenarios);
        }
        if !self.rules.is_empty() {
            options.rules = self.rules.iter().map(|rule| rule.0).collect();
        }
        options
    }
}

/// Runs the experiments, off the threads that do I/O.
pub async fn run(args: Args) -> Result<Report, Error> {
    let deployment = read(&args.deployment)?;
    let options = args.options();
    let running = tokio::task::spawn_blocking(move || experiment::run(&deployment, &options));
    let summary = running.await.expect("an experiment does not panic")?;
    if let Some(path) = &args.json {
        write(path, &summary.json())?;
    }
    if let Some(path) = &args.svg {
        write(path, &summary.svg(args.metric.0)?)?;
    }
    Ok(Report::done(text(&summary, args.aims)))
}

fn text(summary: &Summary, aims: bool) -> String {
    if aims { summary.aims() } else { summary.table() }
}

/// The text of a committed deployment, or of a file.
fn read(deployment: &str) -> Result<String, Error> {
    for (name, text) in experiment::DEPLOYMENTS {
        if name == deployment {
            return Ok(text.to_owned());
        }
    }
    fs::read_to_string(deployment).map_err(|error| Error::Deployment(deployment.to_owned(), error))
}

fn write(path: &Path, text: &str) -> Result<(), Error> {
    fs::write(path, text).map_err(|error| Error::File(path.to_owned(), error))
}
