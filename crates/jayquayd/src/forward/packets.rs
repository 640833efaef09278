//! The packets' socket: what comes in goes to the flow path, and its verdict is carried out.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use adapter::packet;
use flow::Knowledge;
use flow::Reset;
use flow::Verdict;
use tokio::net::UdpSocket;

use super::decisions::Basis;
use super::decisions::DecisionLog;
use super::shared::Shared;

/// Carries packets until the process ends.
pub(crate) async fn run(socket: Arc<UdpSocket>, client_port: u16, shared: Shared) -> io::Result<()> {
    let mut buffer = [0; packet::MAX_DATAGRAM_LEN];
    let mut log = DecisionLog::default();
    // Until the document and the upstreams are known, packets wait in the socket's buffer. They would only be dropped
    // here, and be sent again 200 milliseconds later.
    shared.until_ready().await;
    loop {
        socket.readable().await?;
        while carry_one(&socket, client_port, &shared, &mut buffer, &mut log) {}
    }
}

/// Carries one packet. Tells whether there was one.
fn carry_one(
    socket: &UdpSocket,
    client_port: u16,
    shared: &Shared,
    buffer: &mut [u8; packet::MAX_DATAGRAM_LEN],
    log: &mut DecisionLog,
) -> bool {
    let len = match socket.try_recv(&mut buffer[packet::ADDRESSEE_LEN..]) {
        Ok(len) => len,
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => return false,
        Err(error) => {
            // An upstream's machine may have told that nothing listens there. The packet it was about is lost.
            log::debug!("packets: {error}");
            return true;
        }
    };
    let end = packet::ADDRESSEE_LEN + len;
    let Ok(head) = packet::decode(&buffer[packet::ADDRESSEE_LEN..end]) else {
        metrics::counter!("jayquay_flow_packets_malformed_total").increment(1);
        return true;
    };
    let now = shared.now();
    shared.note_packet(now);
    let (verdict, resets, decisions, basis) = {
        let mut core = shared.core();
        let verdict = core.packet(&head, now);
        let basis = basis(core.knowledge());
        (verdict, core.take_resets(), core.take_decisions(), basis)
    };
    log.tell(&decisions, basis, now);
    for reset in &resets {
        send_reset(socket, client_port, reset);
    }
    match verdict {
        Verdict::Forward {
            upstream,
            address,
            echo,
        } => {
            packet::address_to(buffer, upstream, echo);
            send(socket, &buffer[..end], address.into());
        }
        Verdict::Reset(reset) => send_reset(socket, client_port, &reset),
        Verdict::Drop(_) => {}
    }
    true
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

/// Ends a flow towards its client.
fn send_reset(socket: &UdpSocket, client_port: u16, reset: &Reset) {
    let bytes = packet::encode_reset(reset);
    send(
        socket,
        &bytes,
        SocketAddr::new((*reset.client.ip()).into(), client_port),
    );
}

/// Sends a datagram. One that the system does not take is lost like any other, and sent again by its end.
fn send(socket: &UdpSocket, bytes: &[u8], to: SocketAddr) {
    if let Err(error) = socket.try_send_to(bytes, to) {
        metrics::counter!("jayquay_flow_packets_unsent_total").increment(1);
        log::debug!("packets: not sent to {to}: {error}");
    }
}
