//! `jayquay console`: forms for the document in a browser.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use bpaf::Bpaf;
use console::Options;
use console::Server;

use crate::address::PlatformArgs;
use crate::address::platform_args;
use crate::exit::Report;
use crate::output;

pub const HEADER: &str = "\
The console listens on this machine only. It prints an address to open in a browser: whoever knows that address can \
use the console. The draft is lost when the console ends; Ctrl-C ends it.";

pub const EXAMPLE: &str = "Example:
  jayquay console --platform 10.20.9.1:7000";

/// Where the console listens unless told otherwise: a port that the operating system gives.
const DEFAULT_LISTEN: &str = "127.0.0.1:0";

/// Arguments of `jayquay console`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(args), ignore_rustdoc)]
pub struct Args {
    #[bpaf(external(platform_args))]
    platform: PlatformArgs,
    /// The loopback address to listen on [default: 127.0.0.1 and any free port].
    #[bpaf(argument("ADDRESS"), fallback(default_listen()))]
    listen: SocketAddr,
}

fn default_listen() -> SocketAddr {
    DEFAULT_LISTEN.parse().expect("the address is valid")
}

/// Why the console failed.
#[derive(Debug)]
pub enum Error {
    /// It could not start.
    Start(console::Error),
    /// It could not go on.
    Serve(io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Start(error) => error.fmt(f),
            Self::Serve(error) => write!(f, "the console cannot go on: {error}"),
        }
    }
}

impl std::error::Error for Error {}

/// Serves the console until it is interrupted.
pub async fn run(args: Args) -> Result<Report, Error> {
    let options = Options {
        address: args.listen,
        platform: args.platform.client(),
    };
    let server = Server::bind(options).await.map_err(Error::Start)?;
    output::print(&format!("{}\n", server.url())).map_err(Error::Serve)?;
    server.run(interrupted()).await.map_err(Error::Serve)?;
    Ok(Report::done(String::new()))
}

async fn interrupted() {
    if let Err(error) = tokio::signal::ctrl_c().await {
        log::error!("console: interrupts cannot be heard, {error}");
    }
}
