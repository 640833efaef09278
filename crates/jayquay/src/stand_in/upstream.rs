//! `jayquay stand-in upstream`.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use bpaf::Bpaf;
use serde::Serialize;
use standin::upstream;
use standin::upstream::Behaviour;
use standin::upstream::ColdStart;
use standin::upstream::Options;
use standin::upstream::ServiceTime;
use units::Bytes;
use units::Incarnation;
use units::Millis;
use units::ServiceName;
use units::Slots;
use units::UpstreamName;

use super::Error;
use super::Lifetime;
use super::lifetime;

use crate::address::Addresses as PlatformAddresses;
use crate::exit::Report;

/// The examples in the help text.
pub const EXAMPLES: &str = "Examples:
  jayquay stand-in upstream --name target-1 --service availability --listen 127.0.0.1:8001
  jayquay stand-in upstream --name target-2 --service availability --slots 3 --service-time 40:0.5 \\
      --platform 127.0.0.1:7000 --behaviour '{\"fail_after\": 0.1}'
The control address also serves GET /runs, how often each request ran, and POST /restart.";

/// A loopback address whose port the system gives.
const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Arguments of `jayquay stand-in upstream`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(args), ignore_rustdoc)]
pub struct Args {
    /// Its name.
    #[bpaf(argument("NAME"))]
    name: UpstreamName,
    /// The service whose requests it runs.
    #[bpaf(argument("NAME"))]
    service: ServiceName,
    /// Where it serves. By default the system gives a port.
    #[bpaf(argument("ADDRESS"), fallback(ANY))]
    listen: SocketAddr,
    /// Where orders are taken. By default the system gives a port.
    #[bpaf(argument("ADDRESS"), fallback(ANY))]
    control: SocketAddr,
    /// Its first incarnation.
    #[bpaf(argument("N"), fallback(Incarnation(1)), display_fallback)]
    incarnation: Incarnation,
    /// How many requests it runs at a time.
    #[bpaf(argument("N"), fallback(Slots(2)), display_fallback)]
    slots: Slots,
    /// How long a request takes in milliseconds, or MEAN:SIGMA for a lognormal time.
    #[bpaf(
        long("service-time"),
        argument("TIME"),
        fallback(ServiceTime::Fixed(Millis(5))),
        display_fallback
    )]
    service_time: ServiceTime,
    /// For how many milliseconds it is cold at first, and how many times longer requests take meanwhile.
    #[bpaf(
        long("cold-start"),
        argument("MS:FACTOR"),
        fallback(ColdStart::default()),
        display_fallback
    )]
    cold_start: ColdStart,
    /// How long an answer is, in bytes.
    #[bpaf(long("answer-len"), argument("N"), fallback(Bytes(100)), display_fallback)]
    answer_len: Bytes,
    /// Where random draws begin.
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seed: u64,
    /// The platform's addresses, with commas between, if it is to keep an entry on the platform's list.
    #[bpaf(argument("ADDRESSES"))]
    platform: Option<PlatformAddresses>,
    /// How long that entry lives after each renewal, in milliseconds.
    #[bpaf(long("ttl-ms"), argument("N"), fallback(Millis(3_000)))]
    ttl: Millis,
    #[bpaf(external(super::behaviour))]
    behaviour: Behaviour,
    #[bpaf(external)]
    lifetime: Lifetime,
}

/// Where the stand-in listens.
#[derive(Debug, Serialize)]
struct Addresses {
    name: UpstreamName,
    address: SocketAddr,
    control: SocketAddr,
}

/// Runs the stand-in.
pub async fn run(args: Args) -> Result<Report, Error> {
    let options = Options {
        name: args.name.clone(),
        service: args.service,
        address: args.listen,
        control: args.control,
        incarnation: args.incarnation,
        slots: args.slots,
        service_time: args.service_time,
        cold_start: args.cold_start,
        answer_len: args.answer_len,
        seed: args.seed,
        platform: args.platform.map(|addresses| addresses.0).unwrap_or_default(),
        ttl: args.ttl,
        behaviour: args.behaviour,
    };
    let handle = upstream::start(options).await.map_err(Error::Bind)?;
    let addresses = Addresses {
        name: args.name,
        address: handle.address(),
        control: handle.control(),
    };
    super::serve(&addresses, args.lifetime).await
}
