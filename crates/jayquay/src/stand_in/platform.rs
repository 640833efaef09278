//! `jayquay stand-in platform`.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;
use serde::Serialize;
use standin::platform;
use standin::platform::Behaviour;
use standin::platform::Options;

use super::Error;
use super::Lifetime;
use super::lifetime;

use crate::exit::Report;

/// The examples in the help text.
pub const EXAMPLES: &str = "Examples:
  jayquay stand-in platform --listen 127.0.0.1:7000 --document examples/verblijfnet.yaml
  jayquay stand-in platform --for 60 --behaviour '{\"slow\": 200, \"list_lag\": 5000}'";

/// Arguments of `jayquay stand-in platform`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(args), ignore_rustdoc)]
pub struct Args {
    /// Where the object API is served. By default the system gives a port.
    #[bpaf(argument("ADDRESS"), fallback(Options::default().address))]
    listen: SocketAddr,
    /// Where orders are taken. By default the system gives a port.
    #[bpaf(argument("ADDRESS"), fallback(Options::default().control))]
    control: SocketAddr,
    /// The first configuration document. It is not checked.
    #[bpaf(argument("FILE"))]
    document: Option<PathBuf>,
    #[bpaf(external(super::behaviour))]
    behaviour: Behaviour,
    #[bpaf(external)]
    lifetime: Lifetime,
}

/// Where the stand-in listens.
#[derive(Debug, Serialize)]
struct Addresses {
    address: SocketAddr,
    control: SocketAddr,
}

/// Runs the stand-in.
pub async fn run(args: Args) -> Result<Report, Error> {
    let document = args.document.map(read).transpose()?;
    let options = Options {
        address: args.listen,
        control: args.control,
        document,
        behaviour: args.behaviour,
    };
    let handle = platform::start(options).await.map_err(Error::Bind)?;
    let addresses = Addresses {
        address: handle.address(),
        control: handle.control(),
    };
    super::serve(&addresses, args.lifetime).await
}

fn read(path: PathBuf) -> Result<String, Error> {
    fs::read_to_string(&path).map_err(|error| Error::File(path, error))
}
