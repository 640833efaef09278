//! `jayquay stand-in fabric`.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use bpaf::Bpaf;
use serde::Serialize;
use standin::fabric;
use standin::fabric::Behaviour;
use standin::fabric::Options;

use super::Error;
use super::Lifetime;
use super::lifetime;

use crate::exit::Report;

/// The examples in the help text.
pub const EXAMPLES: &str = "Examples:
  jayquay stand-in fabric --listen 127.0.0.1:4000 --instance 127.0.0.1:4101 --instance 127.0.0.1:4102
  jayquay stand-in fabric --listen 127.0.0.1:4000 --behaviour '{\"lost\": 0.01, \"reordered\": 0.05}'
The control address also serves GET and PUT /instances, a list of addresses.";

/// A loopback address whose port the system gives.
const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Arguments of `jayquay stand-in fabric`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(args), ignore_rustdoc)]
pub struct Args {
    /// A service address that callers dial, one or more.
    #[bpaf(long("listen"), argument("ADDRESS"), some("at least one --listen is needed"))]
    services: Vec<SocketAddr>,
    /// Where an instance takes packets, any number.
    #[bpaf(long("instance"), argument("ADDRESS"))]
    instances: Vec<SocketAddr>,
    /// Where orders are taken. By default the system gives a port.
    #[bpaf(argument("ADDRESS"), fallback(ANY))]
    control: SocketAddr,
    /// Where random draws begin.
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seed: u64,
    #[bpaf(external(super::behaviour))]
    behaviour: Behaviour,
    #[bpaf(external)]
    lifetime: Lifetime,
}

/// Where the stand-in listens.
#[derive(Debug, Serialize)]
struct Addresses {
    services: Vec<SocketAddr>,
    control: SocketAddr,
}

/// Runs the stand-in.
pub async fn run(args: Args) -> Result<Report, Error> {
    let options = Options {
        services: args.services,
        instances: args.instances,
        control: args.control,
        seed: args.seed,
        behaviour: args.behaviour,
    };
    let handle = fabric::start(options).await.map_err(Error::Bind)?;
    let addresses = Addresses {
        services: handle.services().to_vec(),
        control: handle.control(),
    };
    super::serve(&addresses, args.lifetime).await
}
