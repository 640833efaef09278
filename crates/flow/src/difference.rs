//! Differences between two documents.

use std::collections::BTreeSet;
use std::fmt;
use std::num::NonZeroU32;

use serde::Serialize;

use crate::route::ColdStart;
use crate::route::Document;
use crate::route::Route;

/// A difference between an older document and a newer one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Difference {
    /// A route was added.
    Added {
        /// Its name.
        name: String,
        /// What it is.
        route: Route,
    },
    /// A route was removed.
    Removed {
        /// Its name.
        name: String,
        /// What it was.
        route: Route,
    },
    /// A route was changed.
    Changed {
        /// Its name.
        name: String,
        /// What it was.
        old: Route,
        /// What it is.
        new: Route,
    },
    /// The cold start limit of a service was changed.
    ColdStart {
        /// The service.
        service: String,
        /// The old limit, if there was one.
        old: Option<ColdStart>,
        /// The new limit, if there is one.
        new: Option<ColdStart>,
    },
    /// The connection limit of a service was changed.
    ConnectionLimit {
        /// The service.
        service: String,
        /// The old limit, if there was one.
        old: Option<NonZeroU32>,
        /// The new limit, if there is one.
        new: Option<NonZeroU32>,
    },
    /// The idle timeout of flows was changed, in milliseconds.
    IdleTimeout {
        /// Before.
        old_ms: u128,
        /// Now.
        new_ms: u128,
    },
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added { name, route } => write!(f, "+ {name}: {route}"),
            Self::Removed { name, route } => write!(f, "- {name}: {route}"),
            Self::Changed { name, old, new } => write!(f, "~ {name}: {old}, now {new}"),
            Self::ColdStart { service, old, new } => {
                write!(
                    f,
                    "~ cold upstreams of {service}: {}, now {}",
                    OptionalLimit(*old),
                    OptionalLimit(*new)
                )
            }
            Self::ConnectionLimit { service, old, new } => {
                write!(
                    f,
                    "~ open flows at each upstream of {service}: {}, now {}",
                    OptionalLimit(*old),
                    OptionalLimit(*new)
                )
            }
            Self::IdleTimeout { old_ms, new_ms } => write!(f, "~ idle timeout: {old_ms} ms, now {new_ms} ms"),
        }
    }
}

/// Formats an optional limit.
struct OptionalLimit<T>(Option<T>);

impl<T: fmt::Display> fmt::Display for OptionalLimit<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Some(limit) => limit.fmt(f),
            None => f.write_str("not set"),
        }
    }
}

impl Document {
    /// The differences from this document to a newer one. Routes are compared by name.
    pub fn differences(&self, newer: &Self) -> Vec<Difference> {
        let mut differences = Vec::new();
        let (old_ms, new_ms) = (self.idle_timeout.as_millis(), newer.idle_timeout.as_millis());
        if old_ms != new_ms {
            differences.push(Difference::IdleTimeout { old_ms, new_ms });
        }
        let services: BTreeSet<&String> = self.cold_starts.keys().chain(newer.cold_starts.keys()).collect();
        for service in services {
            let old = self.cold_starts.get(service).copied();
            let new = newer.cold_starts.get(service).copied();
            if old != new {
                let service = service.clone();
                differences.push(Difference::ColdStart { service, old, new });
            }
        }
        let (old_limits, new_limits) = (&self.connection_limits, &newer.connection_limits);
        let services: BTreeSet<&String> = old_limits.keys().chain(new_limits.keys()).collect();
        for service in services {
            let old = old_limits.get(service).copied();
            let new = new_limits.get(service).copied();
            if old != new {
                let service = service.clone();
                differences.push(Difference::ConnectionLimit { service, old, new });
            }
        }
        for (name, old) in &self.routes {
            let name = name.clone();
            let old = old.clone();
            match newer.routes.get(&name) {
                None => differences.push(Difference::Removed { name, route: old }),
                Some(new) if *new != old => differences.push(Difference::Changed {
                    name,
                    old,
                    new: new.clone(),
                }),
                Some(_) => {}
            }
        }
        for (name, new) in &newer.routes {
            if !self.routes.contains_key(name) {
                differences.push(Difference::Added {
                    name: name.clone(),
                    route: new.clone(),
                });
            }
        }
        differences
    }
}
