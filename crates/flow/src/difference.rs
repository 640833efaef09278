//! What differs between two documents.

use std::fmt;

use serde::Serialize;

use crate::route::Document;
use crate::route::Route;

/// One difference, from an older document to a newer one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Difference {
    /// A route that is new.
    Added {
        /// Its name.
        name: String,
        /// What it is.
        route: Route,
    },
    /// A route that is gone.
    Removed {
        /// Its name.
        name: String,
        /// What it was.
        route: Route,
    },
    /// A route that is another one now.
    Changed {
        /// Its name.
        name: String,
        /// What it was.
        old: Route,
        /// What it is.
        new: Route,
    },
    /// How long a flow may be silent, in milliseconds.
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
            Self::IdleTimeout { old_ms, new_ms } => write!(f, "~ idle timeout: {old_ms} ms, now {new_ms} ms"),
        }
    }
}

impl Document {
    /// What differs from this document to a newer one, by the names of routes.
    pub fn differences(&self, newer: &Self) -> Vec<Difference> {
        let mut differences = Vec::new();
        let (old_ms, new_ms) = (self.idle_timeout.as_millis(), newer.idle_timeout.as_millis());
        if old_ms != new_ms {
            differences.push(Difference::IdleTimeout { old_ms, new_ms });
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
