//! `jayquay stand-in`: parts of the outside world that misbehave on order.

mod fabric;
mod platform;
mod upstream;

use std::fmt;
use std::io;
use std::path::PathBuf;
use std::time::Duration;

use bpaf::Bpaf;
use bpaf::Parser;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::exit::Report;
use crate::output;

/// What the help text tells before the options.
pub const HEADER: &str = "Each stand-in prints its addresses as one line of JSON and runs until SIGTERM or SIGINT. \
Its control address serves GET and PUT /behaviour, and GET /counts.";

/// What to stand in for.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub enum Command {
    /// Stand in for the platform's object API.
    #[bpaf(command("platform"), footer(platform::EXAMPLES))]
    Platform(#[bpaf(external(platform::args))] platform::Args),
    /// Stand in for an upstream.
    #[bpaf(command("upstream"), footer(upstream::EXAMPLES))]
    Upstream(#[bpaf(external(upstream::args))] upstream::Args),
    /// Stand in for the fabric that sprays packets over the instances.
    #[bpaf(command("fabric"), footer(fabric::EXAMPLES))]
    Fabric(#[bpaf(external(fabric::args))] fabric::Args),
}

/// Why a stand-in could not run.
#[derive(Debug)]
pub enum Error {
    /// A file could not be read.
    File(PathBuf, io::Error),
    /// An address could not be bound.
    Bind(io::Error),
    /// The signals that end the process could not be asked for.
    Signal(io::Error),
    /// The addresses could not be printed.
    Print(io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File(path, error) => write!(f, "{} cannot be read: {error}", path.display()),
            Self::Bind(error) => write!(f, "an address cannot be bound: {error}"),
            Self::Signal(error) => write!(f, "signals cannot be awaited: {error}"),
            Self::Print(error) => write!(f, "stdout cannot be written: {error}"),
        }
    }
}

impl std::error::Error for Error {}

/// Runs a stand-in to its end.
pub async fn run(command: Command) -> Result<Report, Error> {
    match command {
        Command::Platform(args) => platform::run(args).await,
        Command::Upstream(args) => upstream::run(args).await,
        Command::Fabric(args) => fabric::run(args).await,
    }
}

/// When a stand-in ends.
#[derive(Debug, Clone, Copy, Bpaf)]
#[bpaf(generate(lifetime), ignore_rustdoc)]
struct Lifetime {
    /// End after this many seconds. By default only a signal ends it.
    #[bpaf(long("for"), argument("SECONDS"))]
    seconds: Option<u32>,
}

/// The signals that end a process.
#[derive(Debug)]
struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn new() -> Result<Self, Error> {
        Ok(Self {
            terminate: signal(SignalKind::terminate()).map_err(Error::Signal)?,
            interrupt: signal(SignalKind::interrupt()).map_err(Error::Signal)?,
        })
    }
}

/// Prints where a stand-in listens, and waits for the end of its life.
async fn serve<T: Serialize>(addresses: &T, lifetime: Lifetime) -> Result<Report, Error> {
    let mut signals = Signals::new()?;
    let line = serde_json::to_string(addresses).expect("addresses have a JSON form");
    output::print(&format!("{line}\n")).map_err(Error::Print)?;
    let end = async {
        match lifetime.seconds {
            Some(seconds) => tokio::time::sleep(Duration::from_secs(seconds.into())).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        _signal = signals.terminate.recv() => {}
        _signal = signals.interrupt.recv() => {}
        () = end => {}
    }
    Ok(Report::done(String::new()))
}

/// How a stand-in behaves at first, as `PUT /behaviour` takes it.
fn behaviour<T>() -> impl Parser<T>
where
    T: DeserializeOwned + Default + Clone + fmt::Debug + 'static,
{
    bpaf::long("behaviour")
        .help("How it behaves at first, as PUT /behaviour takes it")
        .argument::<String>("JSON")
        .parse(|text| serde_json::from_str(&text))
        .fallback(T::default())
}
