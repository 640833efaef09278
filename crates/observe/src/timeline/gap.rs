//! Events that are not on the time line.

use std::fmt;

use jayquayd::timeline::Stamp;
use serde::Serialize;
use units::Incarnation;
use units::InstanceName;

/// Why events are missing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Loss {
    /// The instance keeps only its last events, and had no room for so many.
    Dropped(u64),
    /// It could not be asked, or not to the end.
    Silent(String),
    /// Others told of it, and it was not asked or has ended.
    Ended,
}

/// Events that are not on the time line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Gap {
    /// Whose they are, if the name is known.
    pub instance: Option<InstanceName>,
    /// Of which life, if that is known.
    pub incarnation: Option<Incarnation>,
    /// By what else the instance is known.
    pub address: Option<std::net::SocketAddr>,
    /// Where the gap begins at the earliest, if that is known.
    pub from: Option<Stamp>,
    /// Where it ends at the latest, if that is known.
    pub until: Option<Stamp>,
    /// Why.
    pub loss: Loss,
}

impl Gap {
    /// Where it stands on the time line: where it begins.
    pub fn at(&self) -> Stamp {
        self.from.unwrap_or_default()
    }

    /// The instance as far as it is known.
    pub fn label(&self) -> String {
        let name = self.instance.as_ref().map(ToString::to_string);
        let address = self.address.as_ref().map(ToString::to_string);
        name.or(address).unwrap_or_else(|| "?".to_owned())
    }
}

impl fmt::Display for Gap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let who = self.label();
        let life = self.incarnation.map(|life| format!(" ({life})")).unwrap_or_default();
        match &self.loss {
            Loss::Dropped(count) => write!(f, "gap: {count} events of {who}{life} were dropped"),
            Loss::Silent(cause) => write!(f, "gap: events of {who}{life} were not fetched: {cause}"),
            Loss::Ended => write!(f, "gap: nothing was fetched from {who}{life}, of which others told"),
        }
    }
}
