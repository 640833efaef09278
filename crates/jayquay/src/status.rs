//! `jayquay status`: what is in force where.

use std::convert::Infallible;
use std::net::SocketAddr;

use bpaf::Bpaf;
use jayquayd::summary::Summary;
use observe::status::Approved;
use observe::status::Asked;
use observe::status::Finding;
use observe::status::Fleet;
use observe::status::Silence;
use observe::status::Zone;
use platform::Client;
use platform::Listed;
use serde::Serialize;
use units::InstanceName;

use crate::address::Addresses;
use crate::address::PlatformArgs;
use crate::address::platform_args;
use crate::exit::Report;
use crate::instance;
use crate::instance::Asker;
use crate::output;

/// What the help text tells before the options.
pub const HEADER: &str = "Instances whose settings advertise an admin address are found on the platform's list; name \
the others. Exit code 1 tells that something else is in force than what was approved, that an instance could not be \
asked, or that instances disagree.";

/// The examples in the help text.
pub const EXAMPLES: &str = "Examples:
  jayquay status --platform 10.20.9.1:7000
  jayquay status --platform 10.20.9.1:7000 --instance 10.20.0.1:4200,10.20.0.2:4200 --json";

/// Arguments of `jayquay status`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(args), ignore_rustdoc)]
pub struct Args {
    #[bpaf(external(platform_args))]
    platform: PlatformArgs,
    /// The admin addresses of instances, with commas between. May be given more than once.
    #[bpaf(long("instance"), argument("ADDRESSES"), many)]
    instances: Vec<Addresses>,
    /// Print JSON for scripts.
    json: bool,
}

/// What scripts read.
#[derive(Debug, Serialize)]
struct Shown<'a> {
    is_as_approved: bool,
    findings: Vec<Item>,
    #[serde(flatten)]
    fleet: &'a Fleet,
}

#[derive(Debug, Serialize)]
struct Item {
    text: String,
    #[serde(flatten)]
    finding: Finding,
}

/// An instance to be asked.
#[derive(Debug, Clone)]
struct Target {
    name: Option<InstanceName>,
    address: Option<SocketAddr>,
    /// The platform's list says that it is on a planned stop.
    is_leaving: bool,
}

/// Asks the platform and the instances.
pub async fn run(args: Args) -> Result<Report, Infallible> {
    let client = args.platform.client();
    let approved = approved(&client).await;
    // An outage of the platform shows by what it does not tell of the document.
    let listed = client.list().await.unwrap_or_default();
    let given = args.instances.into_iter().flat_map(|addresses| addresses.0);
    let instances = ask(targets(given.collect(), listed)).await;
    let is_silent = instances.iter().any(|asked| asked.answer.is_err());
    let summaries = if is_silent {
        summaries(&client, &approved).await
    } else {
        Vec::new()
    };
    let fleet = Fleet {
        approved,
        instances,
        summaries,
    };
    let findings = fleet.findings();
    let is_as_approved = findings.is_empty();
    let text = if args.json {
        let item = |finding: Finding| Item {
            text: finding.to_string(),
            finding,
        };
        output::json(&Shown {
            is_as_approved,
            findings: findings.into_iter().map(item).collect(),
            fleet: &fleet,
        })
    } else {
        fleet.to_string()
    };
    Ok(if is_as_approved {
        Report::done(text)
    } else {
        Report::refused(text)
    })
}

async fn approved(client: &Client) -> Result<Option<Approved>, String> {
    let document = client.document().await.map_err(|error| error.to_string())?;
    Ok(document.map(|document| Approved::new(document.revision, &document.text)))
}

/// What the platform holds of each availability zone. One that cannot be read tells nothing.
async fn summaries(client: &Client, approved: &Result<Option<Approved>, String>) -> Vec<Zone> {
    let Ok(Some(approved)) = approved else {
        return Vec::new();
    };
    let zones = approved.document.iter().flat_map(|document| &document.zones);
    let mut summaries = Vec::new();
    for zone in zones {
        let found = client.status::<Summary>(&zone.name).await;
        let Ok(Some(found)) = found else {
            continue;
        };
        summaries.push(Zone {
            zone: zone.name.clone(),
            writer: found.writer,
            written_at: found.written_at,
            summary: found.value,
        });
    }
    summaries
}

/// The instances that were given, and those on the list.
fn targets(given: Vec<SocketAddr>, listed: Vec<Listed>) -> Vec<Target> {
    let mut targets = Vec::new();
    for address in given {
        targets.push(Target {
            name: None,
            address: Some(address),
            is_leaving: false,
        });
    }
    for entry in listed {
        let Listed::Entry {
            name, admin, leaving, ..
        } = entry
        else {
            continue;
        };
        let known = targets
            .iter_mut()
            .find(|target| admin.is_some() && target.address == admin);
        match known {
            Some(target) => {
                target.name = Some(name);
                target.is_leaving = leaving;
            }
            None => targets.push(Target {
                name: Some(name),
                address: admin,
                is_leaving: leaving,
            }),
        }
    }
    targets
}

/// Asks all, and leaves out those without an address that turn out to have been given by theirs.
async fn ask(targets: Vec<Target>) -> Vec<Asked> {
    let asker = Asker::new();
    let mut instances = instance::each(targets, |target| {
        let asker = asker.clone();
        ask_one(asker, target)
    })
    .await;
    let answered: Vec<InstanceName> = instances
        .iter()
        .filter_map(|asked| asked.answer.as_ref().ok())
        .map(|report| report.node.name.clone())
        .collect();
    instances.retain(|asked| asked.answer.is_ok() || asked.name.as_ref().is_none_or(|name| !answered.contains(name)));
    instances.sort_by_key(Asked::label);
    instances
}

async fn ask_one(asker: Asker, target: Target) -> Asked {
    let Target {
        name,
        address,
        is_leaving,
    } = target;
    let answer = match address {
        Some(address) => report(&asker, address).await,
        None => Err(Silence::NoAddress),
    };
    let answer = match (answer, &name) {
        (Ok(report), Some(name)) if report.node.name != *name => Err(Silence::Another(report.node.name)),
        (Err(Silence::Unreachable(_) | Silence::NoAddress), _) if is_leaving => Err(Silence::Left),
        (answer, _) => answer,
    };
    Asked { name, address, answer }
}

async fn report(asker: &Asker, address: SocketAddr) -> Result<jayquayd::admin::Report, Silence> {
    let page = asker.page(address, "/status").await;
    let page = page.map_err(|silent| Silence::Unreachable(silent.to_string()))?;
    serde_json::from_str(&page).map_err(|error| Silence::Unreadable(error.to_string()))
}
