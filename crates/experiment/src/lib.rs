//! Experiments on the decisions under load, in virtual time.
//!
//! A small model of callers, upstreams and delays drives the pool that the entry instances use, and the same arrivals
//! drive the baselines. Nothing more of a network than a delay is modelled, no instance, flow token or ledger takes
//! part, and the library does no I/O: it gives a table, JSON and an SVG plot as text.

mod agenda;
mod aims;
mod deployment;
mod error;
mod homes;
mod job;
mod measure;
mod plot;
mod policy;
mod run;
mod scenario;
mod server;
mod summary;
mod traffic;
mod world;

pub use error::Error;
pub use measure::Metric;
pub use policy::Rule;
pub use run::Options;
pub use run::run;
pub use scenario::Scenario;
pub use summary::Figure;
pub use summary::Row;
pub use summary::Summary;

/// The committed deployments: a name and its YAML.
pub const DEPLOYMENTS: [(&str, &str); 2] = [
    ("verblijfnet", include_str!("../deployments/verblijfnet.yaml")),
    ("coral-table", include_str!("../deployments/coral-table.yaml")),
];
