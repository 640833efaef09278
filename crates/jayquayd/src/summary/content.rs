//! The contents of a summary, derived from the node's status.

use std::collections::BTreeMap;

use balance::State;
use node::RefusedCount;
use node::Status;
use serde::Deserialize;
use serde::Serialize;
use units::Incarnation;
use units::InstanceName;
use units::Revision;
use units::ServiceName;
use units::UpstreamName;
use wire::MemberState;

/// One instance's view of its availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Revision of the document in force at the writer.
    pub revision: Option<Revision>,
    /// Digest of that document.
    pub digest: Option<String>,
    /// Instances of the zone known to the writer.
    pub members: Vec<Member>,
    /// These instances by the revision that they last reported. An instance may have a newer one in force by now.
    #[serde(default)]
    pub in_force: Vec<InForce>,
    /// Upstreams that receive no new requests, of the services whose home is the writer.
    #[serde(default)]
    pub upstreams: Vec<Upstream>,
    /// Number of requests that the writer has refused since its start.
    #[serde(default)]
    pub refused: Vec<RefusedCount>,
}

/// An instance as seen by the writer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: InstanceName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its state.
    pub state: MemberState,
}

/// Instances with the same document in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// Revision of the document.
    pub revision: Revision,
    /// Digest of the document, in hexadecimal.
    pub digest: String,
    /// Names of the instances.
    pub instances: Vec<InstanceName>,
}

/// An upstream that receives no new requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Name of the service.
    pub service: ServiceName,
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// State for which it receives none.
    pub state: State,
}

impl Summary {
    /// The summary for this instance to write, or `None` if another one is the writer for the zone.
    pub fn of(status: &Status) -> Option<Self> {
        let zone = status.members.iter().filter(|member| member.zone == status.zone);
        let members: Vec<Member> = zone
            .map(|member| Member {
                name: member.name.clone(),
                incarnation: member.incarnation,
                state: member.state,
            })
            .collect();
        let live = members.iter().filter(|member| member.state == MemberState::Alive);
        let first = live.map(|member| &member.name).min()?;
        if first != &status.name {
            return None;
        }
        Some(Self {
            revision: status.revision,
            digest: status.digest.clone(),
            members,
            in_force: in_force(status),
            upstreams: upstreams(status),
            refused: status.refused.clone(),
        })
    }
}

/// Groups the instances of the zone by document, so that a zone of hundreds takes only a few kilobytes.
fn in_force(status: &Status) -> Vec<InForce> {
    let mut groups: BTreeMap<(Revision, &str), Vec<InstanceName>> = BTreeMap::new();
    for member in &status.members {
        let (Some(revision), Some(digest)) = (member.revision, &member.digest) else {
            continue;
        };
        if member.zone == status.zone {
            groups.entry((revision, digest)).or_default().push(member.name.clone());
        }
    }
    let groups = groups.into_iter().map(|((revision, digest), instances)| InForce {
        revision,
        digest: digest.to_owned(),
        instances,
    });
    groups.collect()
}

fn upstreams(status: &Status) -> Vec<Upstream> {
    let idle = status
        .upstreams
        .iter()
        .filter(|line| !matches!(line.state, State::Active | State::Warming));
    let lines = idle.map(|line| Upstream {
        service: line.service.clone(),
        upstream: line.upstream.clone(),
        state: line.state,
    });
    lines.collect()
}
