//! A fleet in columns, for people.

use std::collections::BTreeMap;
use std::fmt;
use std::fmt::Write;

use jayquayd::admin::Report;
use units::ServiceName;
use wire::MemberState;

use crate::table::Table;
use crate::time::seconds;

use super::Asked;
use super::Fleet;

/// How many digits of a digest are shown.
const DIGITS: usize = 12;

impl fmt::Display for Fleet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.write_approved(f)?;
        self.write_instances(f)?;
        self.write_homes(f)?;
        self.write_upstreams(f)?;
        self.write_refusals(f)?;
        self.write_summaries(f)?;
        let findings = self.findings();
        if findings.is_empty() {
            return f.write_str("What was approved is in force everywhere, and all instances agree.\n");
        }
        f.write_str("Not as it should be:\n")?;
        for finding in findings {
            writeln!(f, "  {finding}")?;
        }
        Ok(())
    }
}

impl Fleet {
    fn write_approved(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.approved {
            Ok(Some(approved)) => writeln!(
                f,
                "Approved: revision {}, digest {}\n",
                approved.revision,
                short(&approved.digest)
            ),
            Ok(None) => f.write_str("Approved: nothing yet\n\n"),
            Err(_) => f.write_str("Approved: not known\n\n"),
        }
    }

    fn write_instances(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut table = Table::new(&[
            "INSTANCE",
            "ZONE",
            "STATE",
            "REVISION",
            "DIGEST",
            "MEMBERS",
            "FLOWS",
            "IN FLIGHT",
            "ANSWERED",
            "REFUSED",
        ]);
        for asked in &self.instances {
            table.push(instance(asked));
        }
        write!(f, "{table}")
    }

    fn write_homes(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut homes: BTreeMap<&ServiceName, BTreeMap<String, usize>> = BTreeMap::new();
        for line in self.reports().flat_map(|report| &report.node.homes) {
            let home = line
                .home
                .as_ref()
                .map_or_else(|| "nowhere".to_owned(), ToString::to_string);
            *homes.entry(&line.service).or_default().entry(home).or_default() += 1;
        }
        let mut table = Table::new(&["SERVICE", "HOME", "SEEN BY"]);
        for (service, views) in homes {
            for (home, count) in views {
                table.push(vec![service.to_string(), home, count.to_string()]);
            }
        }
        write!(f, "{table}")
    }

    fn write_upstreams(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut table = Table::new(&["UPSTREAM", "SERVICE", "AT HOME", "STATE", "BUSY", "FAILURES", "REASON"]);
        for report in self.reports() {
            for line in &report.node.upstreams {
                table.push(vec![
                    line.upstream.to_string(),
                    line.service.to_string(),
                    report.node.name.to_string(),
                    line.state.to_string(),
                    format!("{}/{}", line.busy, line.slots),
                    format!("{:.0}%", line.failures * 100.0),
                    line.state.reason().to_owned(),
                ]);
            }
        }
        write!(f, "{table}")
    }

    /// What the platform holds of instances that told nothing themselves.
    fn write_summaries(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let answered: Vec<_> = self.reports().map(|report| &report.node.name).collect();
        let mut table = Table::new(&[
            "NO ANSWER",
            "ZONE",
            "STATE",
            "REVISION",
            "DIGEST",
            "SUMMARY BY",
            "LAST CHANGED",
        ]);
        for zone in &self.summaries {
            let silent = zone.summary.members.iter();
            for member in silent.filter(|member| !answered.contains(&&member.name)) {
                let mut groups = zone.summary.in_force.iter();
                let group = groups.find(|group| group.instances.contains(&member.name));
                table.push(vec![
                    member.name.to_string(),
                    zone.zone.to_string(),
                    format!("{:?}", member.state).to_lowercase(),
                    group.map_or_else(|| "-".to_owned(), |group| group.revision.to_string()),
                    group.map_or_else(|| "-".to_owned(), |group| short(&group.digest)),
                    zone.writer.clone(),
                    seconds(zone.written_at),
                ]);
            }
        }
        write!(f, "{table}")
    }

    fn write_refusals(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut table = Table::new(&["REFUSED AT", "CAUSE", "VERDICT", "COUNT"]);
        for report in self.reports() {
            for line in &report.node.refused {
                table.push(vec![
                    report.node.name.to_string(),
                    line.reason.to_string(),
                    line.verdict.to_string(),
                    line.count.to_string(),
                ]);
            }
        }
        write!(f, "{table}")
    }
}

fn instance(asked: &Asked) -> Vec<String> {
    let Ok(report) = &asked.answer else {
        let silent = asked.answer.as_ref().err().map(ToString::to_string);
        return vec![asked.label(), "-".to_owned(), silent.unwrap_or_default()];
    };
    let node = &report.node;
    let refused: u64 = node.refused.iter().map(|line| line.count).sum();
    vec![
        node.name.to_string(),
        node.zone.to_string(),
        report.state.as_str().to_owned(),
        node.revision
            .map_or_else(|| "-".to_owned(), |revision| revision.to_string()),
        node.digest.as_deref().map_or_else(|| "-".to_owned(), short),
        members(report),
        node.flows.to_string(),
        node.requests.to_string(),
        node.answered.to_string(),
        refused.to_string(),
    ]
}

/// How many instances are alive, and those that are not by state.
fn members(report: &Report) -> String {
    let count = |state| {
        let of_state = report.node.members.iter().filter(|member| member.state == state);
        of_state.count()
    };
    let mut text = format!("{} alive", count(MemberState::Alive));
    for (state, word) in [
        (MemberState::Suspect, "suspect"),
        (MemberState::Leaving, "leaving"),
        (MemberState::Dead, "dead"),
    ] {
        let count = count(state);
        if count > 0 {
            write!(text, ", {count} {word}").expect("a string takes every write");
        }
    }
    text
}

fn short(digest: &str) -> String {
    digest.chars().take(DIGITS).collect()
}
