//! Where a fleet differs from what was approved, or its instances from one another.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use jayquayd::admin::Report;
use node::Stage;
use serde::Serialize;
use units::InstanceName;
use units::Revision;
use units::ServiceName;
use units::ZoneName;
use wire::MemberState;

use super::Approved;
use super::Fleet;
use super::Silence;

/// How many names are written out before the rest is counted.
const MAX_NAMES: usize = 5;

/// Instances that say the same.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Group {
    /// What they say.
    pub says: String,
    /// Who says so.
    pub instances: Vec<InstanceName>,
}

impl fmt::Display for Group {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<&str> = self
            .instances
            .iter()
            .take(MAX_NAMES)
            .map(InstanceName::as_str)
            .collect();
        write!(f, "{} by {}", self.says, names.join(", "))?;
        match self.instances.len().saturating_sub(MAX_NAMES) {
            0 => Ok(()),
            more => write!(f, " and {more} more"),
        }
    }
}

/// Something that is not as it should be.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Finding {
    /// The platform does not tell what was approved.
    PlatformSilent(String),
    /// The platform holds no document.
    NothingApproved,
    /// An instance has something else in force.
    NotInForce {
        /// The instance.
        instance: InstanceName,
        /// Its revision.
        revision: Option<Revision>,
        /// Its digest.
        digest: Option<String>,
    },
    /// There is nothing from an instance.
    Silent {
        /// Its name or address.
        instance: String,
        /// Why.
        silence: Silence,
    },
    /// Instances see one of them differently, or see one that was not asked.
    Member {
        /// The one that is seen.
        member: InstanceName,
        /// What the others say.
        views: Vec<Group>,
    },
    /// Instances of one region see the home of a service at different places.
    Home {
        /// The service.
        service: ServiceName,
        /// What they say.
        views: Vec<Group>,
    },
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::PlatformSilent(cause) => write!(f, "what was approved is not known: {cause}"),
            Self::NothingApproved => f.write_str("the platform holds no document yet"),
            Self::NotInForce {
                instance,
                revision: Some(revision),
                digest,
            } => {
                let digest = digest.as_deref().unwrap_or("none");
                write!(f, "{instance} has revision {revision}, digest {digest}, in force")
            }
            Self::NotInForce { instance, .. } => write!(f, "{instance} has no document in force"),
            Self::Silent { instance, silence } => write!(f, "{instance}: {silence}"),
            Self::Member { member, views } => write!(f, "{member} is seen as {}", joined(views)),
            Self::Home { service, views } => write!(f, "the home of {service} is seen at {}", joined(views)),
        }
    }
}

fn joined(views: &[Group]) -> String {
    let views: Vec<String> = views.iter().map(ToString::to_string).collect();
    views.join("; ")
}

impl Fleet {
    /// All that is not as it should be. A fleet in which what was approved is in force everywhere, and whose instances
    /// agree, has none.
    pub fn findings(&self) -> Vec<Finding> {
        let mut findings = Vec::new();
        match &self.approved {
            Err(cause) => findings.push(Finding::PlatformSilent(cause.clone())),
            Ok(None) => findings.push(Finding::NothingApproved),
            Ok(Some(approved)) => self.compare(approved, &mut findings),
        }
        self.find_silent(&mut findings);
        self.compare_members(&mut findings);
        self.compare_homes(&mut findings);
        findings
    }

    fn compare(&self, approved: &Approved, findings: &mut Vec<Finding>) {
        for report in self.reports() {
            let node = &report.node;
            if node.revision == Some(approved.revision) && node.digest.as_ref() == Some(&approved.digest) {
                continue;
            }
            findings.push(Finding::NotInForce {
                instance: node.name.clone(),
                revision: node.revision,
                digest: node.digest.clone(),
            });
        }
    }

    fn find_silent(&self, findings: &mut Vec<Finding>) {
        for asked in &self.instances {
            let Err(silence) = &asked.answer else {
                continue;
            };
            // Its entry stands on the list until it lapses, and is no fault meanwhile.
            if *silence == Silence::Left {
                continue;
            }
            findings.push(Finding::Silent {
                instance: asked.label(),
                silence: silence.clone(),
            });
        }
    }

    fn compare_members(&self, findings: &mut Vec<Finding>) {
        let mut names: BTreeSet<&InstanceName> = self.reports().map(|report| &report.node.name).collect();
        let answered = names.clone();
        names.extend(
            self.reports()
                .flat_map(|report| report.node.members.iter().map(|member| &member.name)),
        );
        for name in names {
            let mut views = Views::default();
            for report in self.reports() {
                views.add(view(report, name), &report.node.name);
            }
            let is_gone = views.all(&["dead", "unknown"]);
            let agrees = views.len() <= 1 && answered.contains(name) && !is_gone;
            if agrees || is_gone && !answered.contains(name) {
                continue;
            }
            // One that was asked in vain is told of already, unless the others disagree on it.
            if views.len() <= 1 && self.was_asked_in_vain(name) {
                continue;
            }
            findings.push(Finding::Member {
                member: name.clone(),
                views: views.groups(),
            });
        }
    }

    fn was_asked_in_vain(&self, name: &InstanceName) -> bool {
        let mut silent = self.instances.iter().filter(|asked| asked.answer.is_err());
        silent.any(|asked| asked.name.as_ref() == Some(name))
    }

    fn compare_homes(&self, findings: &mut Vec<Finding>) {
        let mut views: BTreeMap<(&ServiceName, Option<&ZoneName>), Views> = BTreeMap::new();
        for report in self.reports() {
            // An instance that is leaving or has just begun need not know.
            if report.node.stage != Stage::Serving {
                continue;
            }
            let region = self.region(&report.node.zone);
            for line in &report.node.homes {
                let home = line
                    .home
                    .as_ref()
                    .map_or_else(|| "nowhere".to_owned(), ToString::to_string);
                let views = views.entry((&line.service, region)).or_default();
                views.add(home, &report.node.name);
            }
        }
        for ((service, _), views) in views {
            if views.len() <= 1 {
                continue;
            }
            findings.push(Finding::Home {
                service: service.clone(),
                views: views.groups(),
            });
        }
    }
}

/// How an instance sees another one, by name and life.
fn view(report: &Report, name: &InstanceName) -> String {
    let member = report.node.members.iter().find(|member| &member.name == name);
    let Some(member) = member else {
        return "unknown".to_owned();
    };
    let state = match member.state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Leaving => "leaving",
        MemberState::Dead => return "dead".to_owned(),
    };
    format!("{state} (incarnation {})", member.incarnation)
}

/// Who says what about one thing.
#[derive(Debug, Default)]
struct Views(BTreeMap<String, Vec<InstanceName>>);

impl Views {
    fn add(&mut self, says: String, instance: &InstanceName) {
        self.0.entry(says).or_default().push(instance.clone());
    }

    fn len(&self) -> usize {
        self.0.len()
    }

    fn all(&self, words: &[&str]) -> bool {
        self.0.keys().all(|says| words.contains(&says.as_str()))
    }

    fn groups(self) -> Vec<Group> {
        let groups = self.0.into_iter().map(|(says, instances)| Group { says, instances });
        groups.collect()
    }
}
