//! `jayquayd`: runs an instance as a process.
//!
//! By default, prints its addresses as one line of JSON once it listens, performs a planned stop on SIGTERM or SIGINT,
//! and logs to stderr. With `--flows`, runs [`forward::run`] instead, prints no addresses, and logs to stdout.

use std::fmt;
use std::fs;
use std::io;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Args;
use bpaf::Bpaf;
use bpaf::ParseFailure;
use config::Settings;
use env_logger::Env;
use env_logger::Target;
use jayquayd::Addresses;
use jayquayd::ExitReason;
use jayquayd::Handle;
use jayquayd::StartError;
use jayquayd::forward;
use jayquayd::forward::logging::Queue;
use jayquayd::metric;
use metrics_exporter_prometheus::BuildError;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use mimalloc::MiMalloc;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

/// Exit code for a failure at run time.
const EXIT_FAILURE: u8 = 1;
/// Exit code for an invalid command line, or for settings that are invalid or can't be read.
const EXIT_USAGE: u8 = 2;

/// Upper bounds of the histogram buckets, in seconds.
const HISTOGRAM_BUCKETS: &[f64] = &[
    0.0001, 0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0,
];
/// Interval of the metrics recorder's upkeep, which drains its histograms.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Runs an instance.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version, footer("Example: jayquayd --settings instance.yaml"))]
struct Options {
    /// The instance's settings, a YAML file
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
    /// Forward flows without reading their contents, with the settings of the flow mode
    flows: bool,
    /// Check the settings and exit
    check: bool,
}

/// An error that prevents the process from running.
#[derive(Debug)]
enum RunError {
    /// The metrics recorder could not be installed.
    Metrics(BuildError),
    /// A signal handler could not be installed, or the addresses could not be printed.
    Io(io::Error),
    /// The daemon could not be started.
    Start(StartError),
    /// The flow mode failed.
    Forward(forward::RunError),
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Metrics(error) => write!(f, "metrics: {error}"),
            Self::Io(error) => error.fmt(f),
            Self::Start(error) => error.fmt(f),
            Self::Forward(error) => error.fmt(f),
        }
    }
}

impl From<BuildError> for RunError {
    fn from(error: BuildError) -> Self {
        Self::Metrics(error)
    }
}

impl From<io::Error> for RunError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

impl From<StartError> for RunError {
    fn from(error: StartError) -> Self {
        Self::Start(error)
    }
}

impl From<forward::RunError> for RunError {
    fn from(error: forward::RunError) -> Self {
        Self::Forward(error)
    }
}

fn main() -> ExitCode {
    let options = match options().run_inner(Args::current_args()) {
        Ok(options) => options,
        Err(failure) => return report_parse_failure(failure),
    };
    if options.flows {
        let queue = Queue::start(io::stdout());
        init_log(Target::Pipe(Box::new(queue.clone())));
        let code = forward(&options);
        queue.finish();
        return code;
    }
    init_log(Target::Stderr);
    let settings = match read_settings(&options.settings) {
        Ok(settings) => settings,
        Err(text) => {
            print_error(&text);
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if options.check {
        return ExitCode::SUCCESS;
    }
    match run(&settings) {
        Ok(code) => code,
        Err(error) => {
            print_error(&error.to_string());
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

/// Prints the requested help or completion to stdout, or the parse error to stderr.
fn report_parse_failure(failure: ParseFailure) -> ExitCode {
    let text = match failure {
        ParseFailure::Stdout(help, full) => help.monochrome(full),
        ParseFailure::Completion(completion) => completion,
        ParseFailure::Stderr(message) => {
            print_error(&message.monochrome(true));
            return ExitCode::from(EXIT_USAGE);
        }
    };
    // A closed pipe, as with `head`, is not a failure.
    let _ignored = writeln!(io::stdout(), "{text}");
    ExitCode::SUCCESS
}

/// Writes a line to stderr. A write error is ignored because the exit code reports the failure as well.
fn print_error(text: &str) {
    let _ignored = writeln!(io::stderr(), "{text}");
}

/// Initialises the logger without module paths, since each line begins with the name of its component.
fn init_log(target: Target) {
    let env = Env::default().default_filter_or("info");
    let mut builder = env_logger::Builder::from_env(env);
    builder
        .format_target(false)
        .format_timestamp_millis()
        .target(target)
        .init();
}

fn read_settings(path: &PathBuf) -> Result<Settings, String> {
    let text = fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    config::parse_settings(&text).map_err(|problems| {
        let lines = problems.iter().map(|problem| format!("{}: {problem}", path.display()));
        lines.collect::<Vec<_>>().join("\n")
    })
}

/// Reads the settings of the flow mode and, unless only a check was requested, runs it.
fn forward(options: &Options) -> ExitCode {
    let text = match fs::read_to_string(&options.settings) {
        Ok(text) => text,
        Err(error) => {
            print_error(&format!("{}: {error}", options.settings.display()));
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let settings = match forward::settings::parse(&text) {
        Ok(settings) => settings,
        Err(error) => {
            print_error(&format!("{}: {error}", options.settings.display()));
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if options.check {
        return ExitCode::SUCCESS;
    }
    match forward_until_stopped(&settings, &options.settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            print_error(&error.to_string());
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

/// Runs the flow mode on a single thread, besides the log writer's: a packet takes a few microseconds, and a second
/// thread would only add context switches.
#[tokio::main(flavor = "current_thread")]
async fn forward_until_stopped(settings: &forward::Settings, path: &Path) -> Result<(), RunError> {
    let metrics = install_recorder()?;
    forward::run(settings, path, metrics).await?;
    Ok(())
}

#[tokio::main]
async fn run(settings: &Settings) -> Result<ExitCode, RunError> {
    let metrics = install_recorder()?;
    // Signal handlers are installed before the addresses are printed, so that a reader of that line may stop the
    // process at once.
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut handle = jayquayd::start(settings, Some(metrics)).await?;
    print_addresses(handle.addresses())?;
    log::info!("daemon: {} ({}) started", settings.name, handle.incarnation());
    let exit_reason = tokio::select! {
        exit_reason = handle.ended() => exit_reason,
        _ = terminate.recv() => stop(&mut handle).await,
        _ = interrupt.recv() => stop(&mut handle).await,
    };
    Ok(exit_code(exit_reason))
}

fn install_recorder() -> Result<PrometheusHandle, RunError> {
    let handle = PrometheusBuilder::new()
        .set_buckets(HISTOGRAM_BUCKETS)?
        .install_recorder()?;
    metric::describe();
    forward::metric::describe();
    adapter::metric::describe();
    let upkeep_handle = handle.clone();
    tokio::spawn(async move {
        let mut upkeep = tokio::time::interval(UPKEEP_INTERVAL);
        loop {
            upkeep.tick().await;
            upkeep_handle.run_upkeep();
        }
    });
    Ok(handle)
}

fn print_addresses(addresses: Addresses) -> io::Result<()> {
    let line = serde_json::to_string(&addresses)?;
    let mut stdout = io::stdout().lock();
    writeln!(stdout, "{line}")?;
    stdout.flush()
}

async fn stop(handle: &mut Handle) -> ExitReason {
    handle.stop().await;
    handle.ended().await
}

fn exit_code(exit_reason: ExitReason) -> ExitCode {
    match exit_reason {
        ExitReason::Stopped(0) => {
            log::info!("daemon: stopped");
            ExitCode::SUCCESS
        }
        ExitReason::Stopped(remaining) => {
            log::error!("daemon: stopped, {remaining} requests left in doubt");
            ExitCode::from(EXIT_FAILURE)
        }
        ExitReason::StopTimedOut(remaining) => {
            log::error!("daemon: the planned stop exceeded its time limit, {remaining} requests left in progress");
            ExitCode::from(EXIT_FAILURE)
        }
        ExitReason::EngineFailed => {
            log::error!("daemon: the engine ended unexpectedly");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}
