//! Token ownership and hand-over at small size, explored exhaustively.
//!
//! One caller with one flow, a few instances, and every order of events: packets and frames are lost, doubled and
//! reordered; instances crash, stop with hand-over, fall silent for any time, and believe anything of one another.
//! What an owner knows is kept in the node's own [`node::Ledgers`]; the rest of the protocol is written here once
//! more, in its barest form. What is *not* here: time, slots, documents, long answers, and the membership's views,
//! in whose place an instance may take any other for gone at any moment.
//!
//! [`Whole`] does the same with whole nodes, a smaller number of events, and time that passes in steps.
//!
//! A [`Mutation`] takes one mechanism away, to show that the search finds what it is there for.

mod action;
mod deliver;
mod handover;
mod ledger;
mod protocol;
mod scope;
mod search;
mod setup;
mod state;
mod whole;
mod world;

pub use action::Action;
pub use protocol::Protocol;
pub use scope::Mutation;
pub use scope::Scope;
pub use search::Found;
pub use search::Model;
pub use search::Report;
pub use search::explore;
pub use search::explore_deep;
pub use state::State;
pub use whole::Bounds;
pub use whole::Event;
pub use whole::Whole;
pub use world::World;
