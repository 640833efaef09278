//! Whether a flow has a token.

use rand::RngExt;
use rand::rngs::SmallRng;
use units::FlowId;
use units::Nonce;
use units::Time;
use wire::Packet;
use wire::SealedToken;

use crate::Policy;
use crate::retransmit_timer::RetransmitTimer;

/// Whether a flow has a token.
#[derive(Debug)]
pub(crate) enum Session {
    /// It has none, and does not ask for one before this time.
    Idle(Time),
    /// It has asked for one.
    Opening(Opening),
    /// It has one.
    Open(OpenSession),
}

/// An `Open` that is not answered yet.
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

/// What the packets of a flow carry.
#[derive(Debug)]
pub(crate) struct OpenSession {
    pub(crate) flow: FlowId,
    pub(crate) token: SealedToken,
}
