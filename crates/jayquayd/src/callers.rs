//! The UDP socket that callers send to.
//!
//! This part drops what is too long or comes too often. It reads nothing of what a datagram holds.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::UdpSocket;
use wire::MAX_PACKET_LEN;
use wire::Reply;

use crate::bucket::Bucket;
use crate::bucket::Rate;
use crate::bucket::Table;
use crate::clock::Clock;
use crate::intake::Datagram;
use crate::intake::Intake;
use crate::metric;
use crate::throttle::Throttle;

/// How often datagrams are taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Of one source address.
    pub per_source: Rate,
    /// In all.
    pub total: Rate,
    /// How many sources are told apart.
    pub sources: usize,
}

/// Sends replies to callers.
#[derive(Debug, Clone)]
pub struct Replier {
    socket: Arc<UdpSocket>,
}

impl Replier {
    /// Sends a reply. It is dropped when the socket's buffer is full: callers retransmit.
    pub fn reply(&self, to: SocketAddr, reply: &Reply) {
        let bytes = wire::encode_reply(reply);
        match self.socket.try_send_to(&bytes, to) {
            Ok(_) => metric::replies_sent().increment(1),
            Err(_) => metric::replies_dropped().increment(1),
        }
    }
}

/// Takes datagrams of callers.
#[derive(Debug)]
pub struct Receiver {
    socket: Arc<UdpSocket>,
    clock: Clock,
    limits: Limits,
    sources: Table,
    total: Bucket,
    throttle: Throttle,
}

/// Splits a socket into its two directions.
pub fn split(socket: UdpSocket, clock: Clock, limits: Limits) -> (Receiver, Replier) {
    let socket = Arc::new(socket);
    let replier = Replier {
        socket: Arc::clone(&socket),
    };
    let receiver = Receiver {
        socket,
        clock,
        limits,
        sources: Table::new(limits.per_source, limits.sources),
        total: Bucket::new(limits.total, clock.now()),
        throttle: Throttle::default(),
    };
    (receiver, replier)
}

impl Receiver {
    /// Takes datagrams for ever.
    pub async fn run(mut self, intake: Intake) {
        // One byte more than allowed tells a datagram that is too long from one that just fits.
        let mut buffer = [0; MAX_PACKET_LEN + 1];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((len, from)) => self.take(&buffer[..len], from, &intake),
                Err(error) => self.log_error(&error),
            }
        }
    }

    fn take(&mut self, bytes: &[u8], from: SocketAddr, intake: &Intake) {
        metric::datagrams_received().increment(1);
        if let Some(cause) = self.refusal(bytes, from) {
            self.drop_datagram(cause, from);
            return;
        }
        let datagram = Datagram {
            from,
            bytes: bytes.to_vec(),
        };
        if !intake.datagram(datagram) {
            self.drop_datagram(Cause::Busy, from);
        }
    }

    fn refusal(&mut self, bytes: &[u8], from: SocketAddr) -> Option<Cause> {
        if bytes.len() > MAX_PACKET_LEN {
            return Some(Cause::TooLong);
        }
        let now = self.clock.now();
        if !self.sources.take(from, now) {
            return Some(Cause::SourceRate);
        }
        if !self.total.take(self.limits.total, now) {
            return Some(Cause::TotalRate);
        }
        None
    }

    fn drop_datagram(&self, cause: Cause, from: SocketAddr) {
        metric::datagrams_dropped(cause.as_str()).increment(1);
        if let Some(held_back) = self.throttle.pass() {
            log::warn!("callers: dropped a datagram from {from}: {}{held_back}", cause.as_str());
        }
    }

    fn log_error(&self, error: &io::Error) {
        // An ICMP refusal of an earlier reply shows up here; it says nothing of the socket.
        if let Some(held_back) = self.throttle.pass() {
            log::debug!("callers: receive failed: {error}{held_back}");
        }
    }
}

/// Why a datagram was dropped unread.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cause {
    TooLong,
    SourceRate,
    TotalRate,
    Busy,
}

impl Cause {
    fn as_str(self) -> &'static str {
        match self {
            Self::TooLong => "too_long",
            Self::SourceRate => "source_rate",
            Self::TotalRate => "total_rate",
            Self::Busy => "busy",
        }
    }
}
