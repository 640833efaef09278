//! Proofs of what must always hold.
//!
//! A [`World`] puts pure nodes among small fakes of everything around them: the fabric, sessions, upstreams, the
//! platform, callers. It runs in virtual time from a seed, carries faults out by name, and checks every promise at
//! each step. [`Scenario`] reads scripted runs, [`random`] makes randomised ones. This crate simulates no sockets,
//! threads or processes and says nothing about speed.

mod act;
mod book;
mod directive;
mod driver;
mod fabric;
pub mod family;
pub mod fault;
mod feed;
mod flight;
mod instance;
mod job;
mod outbreak;
mod plan;
mod platform;
mod queue;
mod quiet;
pub mod random;
mod scenario;
mod session;
mod standing;
mod trace;
mod traffic;
mod upset;
mod upstream;
mod view;
mod violation;
mod world;

pub use book::Summary;
pub use directive::Directive;
pub use directive::ScenarioError;
pub use instance::InstanceSpec;
pub use job::Job;
pub use job::JobId;
pub use job::ParseJobError;
pub use job::RequestId;
pub use plan::Plan;
pub use plan::ServicePlan;
pub use plan::UpstreamPlan;
pub use platform::Accepted;
pub use platform::Conflict;
pub use scenario::Scenario;
pub use upstream::UpstreamSpec;
pub use violation::Promise;
pub use violation::Violation;
pub use world::World;
