//! Token ownership and hand-over at small size, explored exhaustively.
//!
//! One caller with one flow, a few instances, and every order of events: packets and frames are lost, doubled and
//! reordered; instances crash, stop with hand-over, fall silent for any time, and believe anything of one another.
//! What an owner knows is kept in the node's own [`node::Ledgers`]; the rest of the protocol is written here once
//! more, in its barest form. What is *not* here: time, slots, documents, long answers, and the membership's views,
//! in whose place an instance may take any other for gone at any moment.
//!
//! A [`Mutation`] takes one mechanism away, to show that the search finds what it is there for.

mod action;
mod deliver;
mod handover;
mod ledger;
mod protocol;
mod scope;
mod search;
mod state;

pub use action::Action;
pub use protocol::Protocol;
pub use scope::Mutation;
pub use scope::Scope;
pub use search::Found;
pub use search::Model;
pub use search::Report;
pub use search::explore;
pub use state::State;
