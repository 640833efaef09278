//! The UDP socket for callers.
//!
//! Drops datagrams that are too long or exceed a rate limit. Their contents are not inspected here.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::UdpSocket;
use wire::MAX_PACKET_LEN;
use wire::Reply;

use crate::bucket::Bucket;
use crate::bucket::Rate;
use crate::bucket::SourceBuckets;
use crate::clock::Clock;
use crate::input::Datagram;
use crate::input::InputSender;
use crate::metric;
use crate::throttle::LogThrottle;

/// Rate limits for datagrams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Rate per source address.
    pub per_source: Rate,
    /// Rate over all sources.
    pub total: Rate,
    /// Maximum number of source addresses tracked.
    pub max_sources: usize,
}

/// Sends replies to callers.
#[derive(Debug, Clone)]
pub struct ReplySender {
    socket: Arc<UdpSocket>,
}

impl ReplySender {
    /// Sends a reply. It is dropped if the socket's send buffer is full, since callers retransmit.
    pub fn send(&self, to: SocketAddr, reply: &Reply) {
        let bytes = wire::encode_reply(reply);
        match self.socket.try_send_to(&bytes, to) {
            Ok(_) => metric::replies_sent().increment(1),
            Err(_) => metric::replies_dropped().increment(1),
        }
    }
}

/// Receives datagrams from callers.
#[derive(Debug)]
pub struct DatagramReceiver {
    socket: Arc<UdpSocket>,
    clock: Clock,
    limits: Limits,
    source_buckets: SourceBuckets,
    total_bucket: Bucket,
    throttle: LogThrottle,
}

/// Splits a socket into a receiver of datagrams and a sender of replies.
pub fn split(socket: UdpSocket, clock: Clock, limits: Limits) -> (DatagramReceiver, ReplySender) {
    let socket = Arc::new(socket);
    let reply_sender = ReplySender {
        socket: Arc::clone(&socket),
    };
    let receiver = DatagramReceiver {
        socket,
        clock,
        limits,
        source_buckets: SourceBuckets::new(limits.per_source, limits.max_sources),
        total_bucket: Bucket::new(limits.total, clock.now()),
        throttle: LogThrottle::default(),
    };
    (receiver, reply_sender)
}

impl DatagramReceiver {
    /// Receives datagrams until the task is aborted.
    pub async fn run(mut self, input_sender: InputSender) {
        // The extra byte distinguishes a datagram of the maximum length from a longer one.
        let mut buffer = [0; MAX_PACKET_LEN + 1];
        loop {
            match self.socket.recv_from(&mut buffer).await {
                Ok((len, from)) => self.handle_datagram(&buffer[..len], from, &input_sender),
                Err(error) => self.log_error(&error),
            }
        }
    }

    fn handle_datagram(&mut self, bytes: &[u8], from: SocketAddr, input_sender: &InputSender) {
        metric::datagrams_received().increment(1);
        if let Some(cause) = self.limit_exceeded(bytes, from) {
            self.drop_datagram(cause, from);
            return;
        }
        let datagram = Datagram {
            from,
            bytes: bytes.to_vec(),
        };
        if !input_sender.try_send_datagram(datagram) {
            self.drop_datagram(DropCause::Busy, from);
        }
    }

    fn limit_exceeded(&mut self, bytes: &[u8], from: SocketAddr) -> Option<DropCause> {
        if bytes.len() > MAX_PACKET_LEN {
            return Some(DropCause::TooLong);
        }
        let now = self.clock.now();
        if !self.source_buckets.try_take(from, now) {
            return Some(DropCause::SourceRate);
        }
        if !self.total_bucket.try_take(self.limits.total, now) {
            return Some(DropCause::TotalRate);
        }
        None
    }

    fn drop_datagram(&self, cause: DropCause, from: SocketAddr) {
        metric::datagrams_dropped(cause.as_str()).increment(1);
        if let Some(suppressed) = self.throttle.allow() {
            log::warn!(
                "callers: dropped a datagram from {from}: {}{suppressed}",
                cause.as_str()
            );
        }
    }

    fn log_error(&self, error: &io::Error) {
        // An ICMP error for an earlier reply is reported here; it does not affect the socket.
        if let Some(suppressed) = self.throttle.allow() {
            log::debug!("callers: receive failed: {error}{suppressed}");
        }
    }
}

/// Reason for dropping a datagram unread.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DropCause {
    TooLong,
    SourceRate,
    TotalRate,
    Busy,
}

impl DropCause {
    fn as_str(self) -> &'static str {
        match self {
            Self::TooLong => "too_long",
            Self::SourceRate => "source_rate",
            Self::TotalRate => "total_rate",
            Self::Busy => "busy",
        }
    }
}
