//! `jayquay timeline`: what happened, over all instances.

mod moment;

use std::fmt;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::num::ParseIntError;
use std::path::PathBuf;
use std::str::FromStr;

use bpaf::Bpaf;
use jayquayd::timeline::Entry;
use jayquayd::timeline::PAGE_LEN;
use jayquayd::timeline::Seq;
use observe::timeline::Fetched;
use observe::timeline::Filter;
use observe::timeline::Line;
use platform::Listed;
use units::FlowId;
use units::InstanceName;
use units::RequestSeq;

use crate::address::Addresses;
use crate::exit::Report;
use crate::instance;
use crate::instance::Asker;
use crate::output;

pub use self::moment::Moment;

/// What the help text tells before the options.
pub const HEADER: &str = "Events stand in the order of hybrid logical clocks: an effect never stands before its cause. \
Where events are missing, a gap is shown.";

/// The examples in the help text.
pub const EXAMPLES: &str = "Examples:
  jayquay timeline --platform 10.20.9.1:7000 --since 2026-12-02T18:30:00Z
  jayquay timeline --instance 10.20.0.1:4200,10.20.0.2:4200 --request 81/3 --svg request.svg";

/// How many pages of one instance are fetched at most. Its memory holds fewer, unless more come meanwhile.
const MAX_PAGES: usize = 64;

/// Arguments of `jayquay timeline`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(args), ignore_rustdoc)]
pub struct Args {
    /// The platform's addresses, with commas between: on its list are instances that advertise an admin address.
    #[bpaf(argument("ADDRESSES"), env("JAYQUAY_PLATFORM"))]
    platform: Option<Addresses>,
    /// The admin addresses of instances, with commas between. May be given more than once.
    #[bpaf(long("instance"), argument("ADDRESSES"), many)]
    instances: Vec<Addresses>,
    /// Show the events of one flow.
    #[bpaf(argument("FLOW"))]
    flow: Option<FlowId>,
    /// Show the events of one request: its flow and its number.
    #[bpaf(argument("FLOW/NUMBER"))]
    request: Option<Request>,
    /// Show the events of one instance.
    #[bpaf(argument("NAME"))]
    only: Option<InstanceName>,
    /// Show events from this time on, such as 2026-12-02T18:30:00Z.
    #[bpaf(argument("TIME"))]
    since: Option<Moment>,
    /// Show events up to this time.
    #[bpaf(argument("TIME"))]
    until: Option<Moment>,
    /// Print JSON for scripts.
    json: bool,
    /// Draw it into this file as well.
    #[bpaf(argument("FILE"))]
    svg: Option<PathBuf>,
}

/// A request as it stands on the time line: `81/3`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    flow: FlowId,
    seq: RequestSeq,
}

/// A text does not name a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParseRequestError {
    /// There is no slash in it.
    NoSlash,
    /// One of its numbers is not one.
    Number(ParseIntError),
}

impl fmt::Display for ParseRequestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoSlash => f.write_str("a request is its flow, a slash and its number, such as 81/3"),
            Self::Number(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for ParseRequestError {}

impl FromStr for Request {
    type Err = ParseRequestError;

    fn from_str(text: &str) -> Result<Self, ParseRequestError> {
        let (flow, seq) = text.split_once('/').ok_or(ParseRequestError::NoSlash)?;
        Ok(Self {
            flow: FlowId(flow.parse().map_err(ParseRequestError::Number)?),
            seq: RequestSeq(seq.parse().map_err(ParseRequestError::Number)?),
        })
    }
}

/// Why there is no time line.
#[derive(Debug)]
pub enum Error {
    /// No instance is known.
    NoInstance,
    /// The picture could not be written.
    Picture(PathBuf, io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoInstance => f.write_str("no admin address of an instance is known: give them by --instance"),
            Self::Picture(path, error) => write!(f, "{} cannot be written: {error}", path.display()),
        }
    }
}

impl std::error::Error for Error {}

impl Args {
    fn filter(&self) -> Filter {
        Filter {
            flow: self.request.map(|request| request.flow).or(self.flow),
            request: self.request.map(|request| request.seq),
            instance: self.only.clone(),
            since: self.since.map(|moment| moment.0),
            until: self.until.map(|moment| moment.0),
        }
    }
}

/// Fetches, merges and shows.
pub async fn run(args: Args) -> Result<Report, Error> {
    let filter = args.filter();
    let sources = sources(args.platform, args.instances).await;
    if sources.is_empty() {
        return Err(Error::NoInstance);
    }
    let asker = Asker::new();
    let fetched = instance::each(sources, |source| fetch(asker.clone(), source)).await;
    let line = Line::merge(fetched).filter(&filter);
    if let Some(path) = args.svg {
        fs::write(&path, line.svg()).map_err(|error| Error::Picture(path, error))?;
    }
    Ok(Report::done(if args.json {
        output::json(&line)
    } else {
        line.to_string()
    }))
}

/// An instance whose events are fetched.
#[derive(Debug, Clone)]
struct Source {
    name: Option<InstanceName>,
    address: SocketAddr,
}

/// The instances that were given, and those on the platform's list.
async fn sources(platform: Option<Addresses>, given: Vec<Addresses>) -> Vec<Source> {
    let given = given.into_iter().flat_map(|addresses| addresses.0);
    let mut all: Vec<Source> = given.map(|address| Source { name: None, address }).collect();
    let Some(platform) = platform else {
        return all;
    };
    let client = platform::Client::new(platform::Options::new(platform.0));
    let listed = match client.list().await {
        Ok(listed) => listed,
        Err(error) => {
            log::warn!("timeline: {error}");
            Vec::new()
        }
    };
    for entry in listed {
        let Listed::Entry {
            name,
            admin: Some(address),
            ..
        } = entry
        else {
            continue;
        };
        let name = Some(name);
        match all.iter_mut().find(|source| source.address == address) {
            Some(source) => source.name = name,
            None => all.push(Source { name, address }),
        }
    }
    all
}

/// Fetches page after page, up to the present end.
async fn fetch(asker: Asker, source: Source) -> Fetched {
    let Source { name, address } = source;
    let mut entries: Vec<Entry> = Vec::new();
    for _ in 0..MAX_PAGES {
        let since = entries.last().map_or(Seq::default(), |entry| entry.seq);
        match page(&asker, address, since).await {
            Ok(page) => {
                let is_last = page.len() < PAGE_LEN;
                entries.extend(page);
                if is_last {
                    break;
                }
            }
            Err(failure) => {
                let failure = Some(failure);
                return Fetched {
                    name,
                    address,
                    entries,
                    failure,
                };
            }
        }
    }
    Fetched {
        name,
        address,
        entries,
        failure: None,
    }
}

async fn page(asker: &Asker, address: SocketAddr, since: Seq) -> Result<Vec<Entry>, String> {
    let text = asker.page(address, &format!("/timeline?since={since}")).await;
    let text = text.map_err(|silent| silent.to_string())?;
    let entries = text.lines().map(serde_json::from_str);
    entries.collect::<Result<_, _>>().map_err(|error| error.to_string())
}
