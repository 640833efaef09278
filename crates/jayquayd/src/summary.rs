//! A small summary of an availability zone, kept at the platform for those who can reach no instance.
//!
//! The first live instance of the zone by name writes it. When two differ on who that is both write, and the later one
//! stands: nothing is decided by a summary.

use std::time::Duration;

use node::Status;
use platform::Client;
use serde::Deserialize;
use serde::Serialize;
use units::Incarnation;
use units::InstanceName;
use units::Revision;
use wire::MemberState;

use crate::intake::Intake;
use crate::metric;

/// How often a summary is written: with ten zones, one write in three seconds.
const WRITE_EVERY: Duration = Duration::from_secs(30);
/// How long after its start an instance looks for the first time.
const FIRST_LOOK: Duration = Duration::from_secs(3);

/// What one instance sees of its availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The revision in force at the writer.
    pub revision: Option<Revision>,
    /// The digest of that document.
    pub digest: Option<String>,
    /// The instances of the zone that the writer knows.
    pub members: Vec<Member>,
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
        })
    }
}

/// Writes the summary now and then, until the engine is gone.
pub async fn keep(client: Client, intake: Intake) {
    tokio::time::sleep(FIRST_LOOK).await;
    while let Some(status) = intake.status().await {
        if let Some(summary) = Summary::of(&status) {
            let written = client.write_status(&status.zone, status.name.as_str(), &summary).await;
            metric::platform_calls(if written.is_ok() { "ok" } else { "failed" }).increment(1);
        }
        tokio::time::sleep(WRITE_EVERY.mul_f64(rand::random_range(0.75..1.25))).await;
    }
}
