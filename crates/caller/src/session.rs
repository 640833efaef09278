//! The token state of a flow.

use rand::RngExt;
use rand::rngs::SmallRng;
use units::FlowId;
use units::Nonce;
use units::Time;
use wire::Packet;
use wire::SealedToken;

use crate::Policy;
use crate::retransmit_timer::RetransmitTimer;

/// The token state of a flow.
#[derive(Debug)]
pub(crate) enum Session {
    /// No token; none is requested before this time.
    Idle(Time),
    /// An `Open` was sent and is unanswered.
    Opening(Opening),
    /// The flow has a token.
    Open(OpenSession),
}

/// An `Open` packet that has not been answered yet.
#[derive(Debug)]
pub(crate) struct Opening {
    pub(crate) nonce: Nonce,
    pub(crate) packet: Vec<u8>,
    pub(crate) timer: RetransmitTimer,
}

impl Opening {
    pub(crate) fn new(
        now: Time,
        service: &units::ServiceName,
        address: std::net::SocketAddr,
        policy: &Policy,
        rng: &mut SmallRng,
    ) -> Self {
        let nonce = Nonce(rng.random());
        let packet = wire::encode_packet(&Packet::Open(wire::Open {
            nonce,
            service: service.clone(),
            address,
        }));
        let timer = RetransmitTimer::start(now, policy.retransmit, policy, rng);
        Self { nonce, packet, timer }
    }
}

/// The flow ID and token of an open flow.
#[derive(Debug)]
pub(crate) struct OpenSession {
    pub(crate) flow: FlowId,
    pub(crate) token: SealedToken,
}
