//! What membership wants done, and what it says of an instance.

use std::net::SocketAddr;

use units::InstanceName;
use units::Revision;
use wire::Digest;
use wire::Frame;
use wire::LeavingUpstream;
use wire::Member;
use wire::Successor;

/// What membership wants done or has learned. What the caller itself has added is not told back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send a frame to another instance.
    Send {
        /// The instance.
        to: InstanceName,
        /// Where it listens for other instances.
        address: SocketAddr,
        /// The frame.
        frame: Frame,
    },
    /// An instance is alive that was unknown or dead before. An incarnation may come up again after it was down.
    Up(Member),
    /// An instance announced its planned stop.
    Leaving(Member),
    /// An instance is gone, or an older incarnation was replaced.
    Down(Member),
    /// The ledgers of an incarnation have moved.
    Succeeded(Successor),
    /// An incarnation of an upstream gets no new work any more.
    UpstreamLeaving(LeavingUpstream),
    /// Another instance holds a newer configuration document, or a different one of the same revision.
    DocumentSeen {
        /// The instance that holds it.
        from: InstanceName,
        /// Where that listens for other instances.
        address: SocketAddr,
        /// The document's revision.
        revision: Revision,
        /// The document's digest.
        digest: Digest,
    },
}

/// What is known of one incarnation of an instance, as the owner of flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing<'a> {
    /// It is this instance, which still holds its own ledgers.
    Me,
    /// It answers probes.
    Alive(&'a Member),
    /// It missed a probe, but may still be there.
    Suspect(&'a Member),
    /// It is on a planned stop and still holds its ledgers.
    Leaving(&'a Member),
    /// Its ledgers have moved, perhaps more than once, to this member.
    Succeeded(&'a Member),
    /// Its ledgers have moved to this instance.
    SucceededByMe,
    /// It is dead or replaced, or that holds for the one that its ledgers moved to.
    Gone,
    /// Nothing is known of it yet.
    Unknown,
}
