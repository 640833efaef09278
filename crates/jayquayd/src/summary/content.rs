//! What a summary holds, and how it is made of a status.

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

/// What one instance sees of its availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The revision in force at the writer.
    pub revision: Option<Revision>,
    /// The digest of that document.
    pub digest: Option<String>,
    /// The instances of the zone that the writer knows.
    pub members: Vec<Member>,
    /// What those instances told of last, by revision. An instance may have a newer one in force by now.
    #[serde(default)]
    pub in_force: Vec<InForce>,
    /// The upstreams that get no new work, of the services whose home is the writer.
    #[serde(default)]
    pub upstreams: Vec<Upstream>,
    /// What the writer refused, over its life.
    #[serde(default)]
    pub refused: Vec<RefusedCount>,
}

/// An instance, as the writer sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: InstanceName,
    /// Its life.
    pub incarnation: Incarnation,
    /// How it fares.
    pub state: MemberState,
}

/// Instances that have the same document in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// Its revision.
    pub revision: Revision,
    /// Its digest, in hexadecimal.
    pub digest: String,
    /// The instances.
    pub instances: Vec<InstanceName>,
}

/// An upstream that gets no new work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// The service.
    pub service: ServiceName,
    /// The upstream.
    pub upstream: UpstreamName,
    /// Why.
    pub state: State,
}

impl Summary {
    /// The summary that this instance has to write, if it is the first of its zone.
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

/// Groups the instances of the zone, so that a zone of hundreds stays a few kilobytes.
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
