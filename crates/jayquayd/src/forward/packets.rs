//! The packet socket: passes incoming packets to the flow core and carries out its verdicts.

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
use super::metric;
use super::metric_update::WaitHistograms;
use super::shared::Shared;

/// Forwards packets until the process ends.
pub(crate) async fn run(socket: Arc<UdpSocket>, client_port: u16, shared: Shared) -> io::Result<()> {
    let mut buffer = [0; packet::MAX_DATAGRAM_LEN];
    let mut forwarder = Forwarder {
        socket: &socket,
        client_port,
        shared: &shared,
        log: DecisionLog::default(),
        waits: WaitHistograms::new(),
    };
    let bursts = metric::burst_seconds();
    // Until the document and the upstreams are known, packets stay in the socket's receive buffer. Dropped here, they
    // would only be retransmitted 200 ms later.
    tokio::select! {
        () = shared.wait_until_ready() => {}
        readable = socket.readable() => {
            readable?;
            shared.note_waiting_packet();
        }
    }
    shared.wait_until_ready().await;
    shared.core().set_reading_backlog(true);
    while forwarder.process_packet(&mut buffer) {}
    shared.core().set_reading_backlog(false);
    loop {
        tokio::select! {
            readable = socket.readable() => readable?,
            () = shared.decisions_pending() => {
                forwarder.process_decisions();
                continue;
            }
        }
        let began = Instant::now();
        while forwarder.process_packet(&mut buffer) {}
        bursts.record(began.elapsed());
    }
}

/// Carries out the decisions of the flow core.
struct Forwarder<'a> {
    socket: &'a UdpSocket,
    /// The port on which clients receive packets.
    client_port: u16,
    shared: &'a Shared,
    log: DecisionLog,
    waits: WaitHistograms,
}

impl Forwarder<'_> {
    /// Processes one packet. Returns whether there was one.
    fn process_packet(&mut self, buffer: &mut [u8; packet::MAX_DATAGRAM_LEN]) -> bool {
        let len = match self.socket.try_recv(&mut buffer[packet::UPSTREAM_ID_LEN..]) {
            Ok(len) => len,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return false,
            Err(error) => {
                // The upstream's host may have reported by ICMP that nothing listens on the port. The packet it refers
                // to is lost.
                log::debug!("packets: receive failed: {error}");
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

    /// Asks the flow core for the verdict on a packet and carries out any other decisions that the packet led to.
    fn decide(&mut self, head: &Packet) -> Verdict {
        let now = self.shared.now();
        self.shared.note_packet(now);
        let verdict = self.shared.core().handle_packet(head, now);
        self.process_decisions();
        verdict
    }

    /// Carries out the decisions other than the verdicts on packets.
    fn process_decisions(&mut self) {
        let now = self.shared.now();
        let (resets, decisions, waits, basis) = {
            let mut core = self.shared.core();
            let basis = basis(core.knowledge());
            (core.take_resets(), core.take_decisions(), core.take_waits(), basis)
        };
        self.log.write(&decisions, basis, now);
        for wait in waits {
            self.waits.record(wait);
        }
        for reset in &resets {
            self.send_reset(reset);
        }
    }

    /// Sends a reset to the client of a flow.
    fn send_reset(&self, reset: &Reset) {
        let bytes = packet::encode_reset(reset);
        let client = SocketAddr::new((*reset.client.ip()).into(), self.client_port);
        self.send(&bytes, client);
    }

    /// Sends a datagram. One that the kernel rejects counts as lost in the network; its sender retransmits it.
    fn send(&self, bytes: &[u8], to: SocketAddr) {
        if let Err(error) = self.socket.try_send_to(bytes, to) {
            metric::unsent().increment(1);
            log::debug!("packets: cannot send to {to}: {error}");
        }
    }
}

/// The document and the upstreams in force.
fn basis(knowledge: &Knowledge) -> Basis {
    Basis {
        document: knowledge
            .document()
            .map(|(_, document)| document.revision)
            .unwrap_or_default(),
        upstreams_at: knowledge.upstreams_at(),
    }
}
