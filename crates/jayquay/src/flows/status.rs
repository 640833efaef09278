//! `jayquay flows status`: what is in force where.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::fmt::Write;
use std::net::SocketAddr;

use bpaf::Bpaf;
use flow::Document;
use flow::UpstreamId;
use flow::Warning;
use jayquayd::forward::status;
use jayquayd::forward::status::Status;
use serde::Serialize;
use units::InstanceName;
use units::Position;
use units::Revision;
use units::ZoneName;

use crate::address::Addresses;
use crate::exit::Report;
use crate::flows::capacity;
use crate::flows::error::Error;
use crate::flows::holder::Holder;
use crate::flows::read;
use crate::instance;
use crate::instance::Asker;
use crate::output;

pub const HEADER: &str = "Instances are found by those that are named, who know the others. Exit code 1 tells that an \
instance holds something else than the store, could not be asked, or does not know others.";

pub const EXAMPLE: &str = "Example:
  jayquay flows status --store 10.200.1.7:8169 --instance 10.1.0.10:7720";

/// Arguments of `jayquay flows status`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(args), ignore_rustdoc)]
pub struct Args {
    /// Where the store is.
    #[bpaf(argument("ADDRESS"))]
    store: SocketAddr,
    /// Peers' addresses of instances, with commas between. One is enough; may be given more than once.
    #[bpaf(long("instance"), argument("ADDRESSES"), some("name an instance by --instance"))]
    instances: Vec<Addresses>,
    /// Print JSON for scripts.
    json: bool,
}

/// What an instance answered.
#[derive(Debug, Clone, Serialize)]
struct Asked {
    address: SocketAddr,
    /// Its name, if it or another one told it.
    name: Option<InstanceName>,
    answer: Result<Status, String>,
}

/// Something that is not as it should be.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Finding {
    /// An instance gave no answer.
    Silent(String, String),
    /// An instance holds another document than the store.
    Document(String, Option<Revision>, Revision),
    /// An instance has found the store's document unreadable, and an earlier one is in force.
    Unreadable(String, Position),
    /// An instance does not know that a zone is to be emptied, and still leads new flows there.
    NotEvacuated(String, ZoneName),
    /// An instance takes a zone for one that is to be emptied, which the store does not.
    NotRestored(String, ZoneName),
    /// An instance is not ready and not stopping.
    NotReady(String),
    /// An instance does not know another one that answers.
    Unknown(String, String),
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Silent(name, why) => write!(f, "{name}: no answer: {why}"),
            Self::Document(name, Some(held), stored) => write!(f, "{name} holds revision {held}, the store {stored}"),
            Self::Document(name, None, stored) => write!(f, "{name} holds no document, the store {stored}"),
            Self::Unreadable(name, at) => {
                write!(
                    f,
                    "{name} can't read the store's document of {at}, an earlier one is in force"
                )
            }
            Self::NotEvacuated(name, zone) => write!(f, "{name} does not know that {zone} is to be emptied"),
            Self::NotRestored(name, zone) => write!(f, "{name} does not know that {zone} is taken back"),
            Self::NotReady(name) => write!(f, "{name} is not ready"),
            Self::Unknown(name, other) => write!(f, "{name} does not know {other}"),
        }
    }
}

#[derive(Debug, Serialize)]
struct Shown<'a> {
    store: Stored,
    findings: &'a [Finding],
    instances: &'a [Asked],
}

/// What the store holds.
#[derive(Debug, Clone, Serialize)]
struct Stored {
    revision: Revision,
    digest: String,
    routes: usize,
    /// The zones that operators ask to be emptied.
    evacuated: BTreeSet<ZoneName>,
    /// What of the document can't be read, and what holds in its place.
    warnings: Vec<Warning>,
}

impl Stored {
    fn new(document: &Document, evacuated: BTreeSet<ZoneName>) -> Self {
        Self {
            revision: document.revision,
            digest: document.digest().to_string(),
            routes: document.routes.len(),
            evacuated,
            warnings: document.warnings.clone(),
        }
    }
}

/// Asks the store and the instances.
pub async fn run(args: Args) -> Result<Report, Error> {
    let read = read::document(Holder::Store(args.store)).await;
    let given = args.instances.into_iter().flat_map(|addresses| addresses.0);
    let given: Vec<SocketAddr> = given.collect();
    let document = match read {
        Err(Error::UnreadableDocument(_, why)) if !args.json => {
            let instances = ask_all(given).await;
            return Ok(Report::refused(unreadable(&why, &instances)));
        }
        read => read?,
    };
    let stored = Stored::new(&document, read::evacuations(args.store).await?);
    let instances = ask_all(given).await;
    let findings = findings(&stored, &instances);
    let text = if args.json {
        output::json(&Shown {
            store: stored,
            findings: &findings,
            instances: &instances,
        })
    } else {
        as_text(&stored, &findings, &instances)
    };
    Ok(if findings.is_empty() {
        Report::done(text)
    } else {
        Report::refused(text)
    })
}

/// Asks those that are named, and then those whom they know.
async fn ask_all(given: Vec<SocketAddr>) -> Vec<Asked> {
    let given = given.into_iter().map(|address| (address, None)).collect();
    let mut instances = ask(given).await;
    let mut others: BTreeMap<SocketAddr, InstanceName> = BTreeMap::new();
    for status in instances.iter().filter_map(|asked| asked.answer.as_ref().ok()) {
        for member in &status.members {
            others.insert(member.address, member.name.clone());
        }
    }
    // A named instance may be known to the others by another address: by its name it is asked only once.
    let answered: Vec<InstanceName> = instances.iter().filter_map(|asked| asked.name.clone()).collect();
    others.retain(|address, name| !answered.contains(name) && instances.iter().all(|asked| asked.address != *address));
    let others = others.into_iter().map(|(address, name)| (address, Some(name)));
    instances.extend(ask(others.collect()).await);
    instances.sort_by(|a, b| a.name.cmp(&b.name).then(a.address.cmp(&b.address)));
    instances
}

async fn ask(addresses: Vec<(SocketAddr, Option<InstanceName>)>) -> Vec<Asked> {
    let asker = Asker::new();
    instance::each(addresses, |(address, name)| {
        let asker = asker.clone();
        async move {
            let page = asker.page(address, status::PATH).await;
            let answer: Result<Status, String> = match page {
                Ok(page) => serde_json::from_str(&page).map_err(|error| error.to_string()),
                Err(silent) => Err(silent.to_string()),
            };
            let name = answer.as_ref().ok().map(|status| status.name.clone()).or(name);
            Asked { address, name, answer }
        }
    })
    .await
}

fn findings(stored: &Stored, instances: &[Asked]) -> Vec<Finding> {
    let answered: Vec<&Status> = instances
        .iter()
        .filter_map(|asked| asked.answer.as_ref().ok())
        .collect();
    let mut findings = Vec::new();
    for asked in instances {
        let status = match &asked.answer {
            Ok(status) => status,
            Err(why) => {
                findings.push(Finding::Silent(label(asked), why.clone()));
                continue;
            }
        };
        let name = status.name.to_string();
        if status.document_digest.as_ref() != Some(&stored.digest) {
            findings.push(Finding::Document(name.clone(), status.document, stored.revision));
        }
        if let Some(at) = status.unreadable_document {
            findings.push(Finding::Unreadable(name.clone(), at));
        }
        for zone in &stored.evacuated {
            if !status.evacuated.contains_key(zone) {
                findings.push(Finding::NotEvacuated(name.clone(), zone.clone()));
            }
        }
        for zone in status.evacuated.keys() {
            if !stored.evacuated.contains(zone) {
                findings.push(Finding::NotRestored(name.clone(), zone.clone()));
            }
        }
        if !status.is_ready && !status.is_stopping {
            findings.push(Finding::NotReady(name.clone()));
        }
        for other in &answered {
            if status.members.iter().all(|member| member.name != other.name) {
                findings.push(Finding::Unknown(name.clone(), other.name.to_string()));
            }
        }
    }
    findings
}

/// What operators read first where the store's document can't be read: whether anything is served.
fn unreadable(why: &str, instances: &[Asked]) -> String {
    let answered = instances.iter().filter_map(|asked| asked.answer.as_ref().ok());
    let held: BTreeMap<Revision, usize> =
        answered
            .filter_map(|status| status.document)
            .fold(BTreeMap::new(), |mut held, revision| {
                *held.entry(revision).or_default() += 1;
                held
            });
    let mut text = if held.is_empty() {
        format!("! nothing is served: no instance holds a document, and the store's can't be read: {why}\n")
    } else {
        format!("! the store's document can't be read, an earlier one stays in force: {why}\n")
    };
    for (revision, count) in held {
        let _infallible = writeln!(text, "  revision {revision} is in force at {count} instances");
    }
    text
}

fn label(asked: &Asked) -> String {
    match &asked.name {
        Some(name) => format!("{name} at {}", asked.address),
        None => asked.address.to_string(),
    }
}

fn as_text(stored: &Stored, findings: &[Finding], instances: &[Asked]) -> String {
    let Stored {
        revision,
        digest,
        routes,
        evacuated,
        warnings,
    } = stored;
    let mut text = format!("store: revision {revision}, digest {digest}, {routes} routes");
    if !warnings.is_empty() {
        let _infallible = write!(text, ", {} values that can't be read", warnings.len());
    }
    text.push('\n');
    for warning in warnings {
        let _infallible = writeln!(text, "! {warning}");
    }
    for asked in instances {
        let Ok(status) = &asked.answer else {
            continue;
        };
        let document = status
            .document
            .map_or_else(|| "none".to_owned(), |held| held.to_string());
        let upstreams: usize = status.upstreams.values().sum();
        let watches = if status.watches { ", watches the store" } else { "" };
        let _infallible = writeln!(
            text,
            "  {} in {}: revision {document}, {upstreams} upstreams as of {}, {} flows, knows {}{watches}",
            status.name,
            status.zone,
            status.upstreams_at,
            status.flows,
            status.members.len()
        );
    }
    let ejected: BTreeSet<UpstreamId> = instances
        .iter()
        .filter_map(|asked| asked.answer.as_ref().ok())
        .flat_map(|status| status.ejected.iter().copied())
        .collect();
    for upstream in ejected {
        let _infallible = writeln!(text, "  upstream {upstream} is ejected: tries at it end badly");
    }
    for zone in evacuated {
        let open: Vec<u32> = instances
            .iter()
            .filter_map(|asked| asked.answer.as_ref().ok())
            .filter_map(|status| status.evacuated.get(zone).copied().filter(|flows| *flows > 0))
            .collect();
        let flows: u32 = open.iter().sum();
        let _infallible = writeln!(
            text,
            "  zone {zone} is to be emptied: {flows} flows still open, through {} instances",
            open.len()
        );
    }
    let statuses: Vec<&Status> = instances
        .iter()
        .filter_map(|asked| asked.answer.as_ref().ok())
        .collect();
    capacity::write(&mut text, &statuses);
    for finding in findings {
        let _infallible = writeln!(text, "! {finding}");
    }
    text
}
