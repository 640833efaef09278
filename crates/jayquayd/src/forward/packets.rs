//! The packets' socket: what comes in goes to the flow path, and its verdict is carried out.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use adapter::packet;
use flow::Knowledge;
use flow::Packet;
use flow::Reset;
use flow::Verdict;
use tokio::net::UdpSocket;

use super::decisions::Basis;
use super::decisions::DecisionLog;
use super::figures::Waits;
use super::metric;
use super::shared::Shared;

/// Carries packets until the process ends.
pub(crate) async fn run(socket: Arc<UdpSocket>, client_port: u16, shared: Shared) -> io::Result<()> {
    let mut buffer = [0; packet::MAX_DATAGRAM_LEN];
    let mut carrier = Carrier {
        socket: &socket,
        client_port,
        shared: &shared,
        log: DecisionLog::default(),
        waits: Waits::new(),
    };
    let bursts = metric::burst_seconds();
    // Until the document and the upstreams are known, packets wait in the socket's buffer. They would only be dropped
    // here, and be sent again 200 milliseconds later.
    tokio::select! {
        () = shared.until_ready() => {}
        readable = socket.readable() => {
            readable?;
            shared.note_awaited();
        }
    }
    shared.until_ready().await;
    loop {
        tokio::select! {
            readable = socket.readable() => readable?,
            () = shared.decided() => {
                carrier.settle();
                continue;
            }
        }
        let began = Instant::now();
        while carrier.carry_one(&mut buffer) {}
        bursts.record(began.elapsed());
    }
}

/// Carries out what the flow path decides.
struct Carrier<'a> {
    socket: &'a UdpSocket,
    /// The port at which clients take packets.
    client_port: u16,
    shared: &'a Shared,
    log: DecisionLog,
    waits: Waits,
}

impl Carrier<'_> {
    /// Carries one packet. Tells whether there was one.
    fn carry_one(&mut self, buffer: &mut [u8; packet::MAX_DATAGRAM_LEN]) -> bool {
        let len = match self.socket.try_recv(&mut buffer[packet::UPSTREAM_ID_LEN..]) {
            Ok(len) => len,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return false,
            Err(error) => {
                // An upstream's machine may have told that nothing listens there. The packet it was about is lost.
                log::debug!("packets: {error}");
                return true;
            }
        };
        let end = packet::UPSTREAM_ID_LEN + len;
        let Ok(head) = packet::decode(&buffer[packet::UPSTREAM_ID_LEN..end]) else {
            metric::malformed().increment(1);
            return true;
        };
        match self.decide(&head) {
            Verdict::Forward {
                upstream,
                address,
                echo,
            } => {
                packet::rewrite_for_upstream(buffer, upstream, echo);
                self.send(&buffer[..end], address.into());
            }
            Verdict::Reset(reset) => self.send_reset(&reset),
            Verdict::Drop(_) => {}
        }
        true
    }

    /// Asks the flow path what becomes of a packet, and carries out what else came of it.
    fn decide(&mut self, head: &Packet) -> Verdict {
        let now = self.shared.now();
        self.shared.note_packet(now);
        let verdict = self.shared.core().handle_packet(head, now);
        self.settle();
        verdict
    }

    /// Carries out what was decided beside the verdicts on packets.
    fn settle(&mut self) {
        let now = self.shared.now();
        let (resets, decisions, waits, basis) = {
            let mut core = self.shared.core();
            let basis = basis(core.knowledge());
            (core.take_resets(), core.take_decisions(), core.take_waits(), basis)
        };
        self.log.tell(&decisions, basis, now);
        for wait in waits {
            self.waits.record(wait);
        }
        for reset in &resets {
            self.send_reset(reset);
        }
    }

    /// Ends a flow towards its client.
    fn send_reset(&self, reset: &Reset) {
        let bytes = packet::encode_reset(reset);
        let client = SocketAddr::new((*reset.client.ip()).into(), self.client_port);
        self.send(&bytes, client);
    }

    /// Sends a datagram. One that the system does not take is lost like any other, and sent again by its end.
    fn send(&self, bytes: &[u8], to: SocketAddr) {
        if let Err(error) = self.socket.try_send_to(bytes, to) {
            metric::unsent().increment(1);
            log::debug!("packets: not sent to {to}: {error}");
        }
    }
}

/// What is in force.
fn basis(knowledge: &Knowledge) -> Basis {
    Basis {
        document: knowledge
            .document()
            .map(|(_, document)| document.revision)
            .unwrap_or_default(),
        upstreams_at: knowledge.upstreams_at(),
    }
}
