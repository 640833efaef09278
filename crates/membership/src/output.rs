//! The outputs of the membership state machine, and the status of an incarnation.

use std::net::SocketAddr;

use units::InstanceName;
use units::Revision;
use wire::Digest;
use wire::Frame;
use wire::LeavingUpstream;
use wire::Member;
use wire::Successor;

/// An action to carry out, or a change that was learned from others. Records that the caller added itself are not
/// reported back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send a frame to another instance.
    Send {
        /// The receiver.
        to: InstanceName,
        /// The address where the receiver listens for other instances.
        address: SocketAddr,
        /// The frame.
        frame: Frame,
    },
    /// An instance is alive that was unknown or dead before. The same incarnation may be reported again after it was
    /// down.
    Up(Member),
    /// An instance announced its planned stop.
    Leaving(Member),
    /// An instance was declared dead, or a newer incarnation replaced it.
    Down(Member),
    /// The ledgers of an incarnation were handed over.
    Succeeded(Successor),
    /// An incarnation of an upstream is leaving and must get no new work.
    UpstreamLeaving(LeavingUpstream),
    /// Another instance holds a newer configuration document, or a different one of the same revision.
    DocumentSeen {
        /// The instance that holds it.
        from: InstanceName,
        /// The address where that instance listens for other instances.
        address: SocketAddr,
        /// The document's revision.
        revision: Revision,
        /// The document's digest.
        digest: Digest,
    },
}

/// The status of one incarnation of an instance, as the owner of flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing<'a> {
    /// It is this instance, which still holds its own ledgers.
    Me,
    /// It answers probes.
    Alive(&'a Member),
    /// It is suspected to have failed, but may still be running.
    Suspect(&'a Member),
    /// It announced a planned stop and still holds its ledgers.
    Leaving(&'a Member),
    /// Its ledgers were handed over, possibly more than once, and this member holds them now.
    Succeeded(&'a Member),
    /// Its ledgers were handed over to this instance.
    SucceededByMe,
    /// It is dead or replaced, or the instance that its ledgers were handed over to is.
    Gone,
    /// No information about it has arrived yet.
    Unknown,
}
