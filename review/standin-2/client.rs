//! A client: opens a flow for each request, sends the opening packet up to three times, and reads the answer.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::time::Duration;
use std::time::Instant;

use crate::packet;
use crate::packet::Packet;

/// When copies of the opening packet are sent, and when the client gives up on it.
const COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
const GIVE_UP: Duration = Duration::from_millis(1_400);
/// The time limit of a request.
const TIME_LIMIT: Duration = Duration::from_millis(2_500);

pub struct Client {
    socket: UdpSocket,
    ip: Ipv4Addr,
    next_port: u16,
}

/// How a request ended.
#[derive(Debug)]
pub enum Outcome {
    /// The whole answer.
    Answer(String),
    Reset,
    Nothing,
}

impl Client {
    pub fn new(ip: Ipv4Addr, port: u16) -> Result<Self, String> {
        let socket = UdpSocket::bind((ip, port)).map_err(|error| format!("client: {error}"))?;
        Ok(Self {
            socket,
            ip,
            next_port: 20_000,
        })
    }

    /// Sends one request to a route through an instance.
    pub fn ask(&mut self, route: (Ipv4Addr, u16), through: SocketAddr, request: &str) -> Outcome {
        self.next_port = if self.next_port >= 60_000 { 20_000 } else { self.next_port + 1 };
        let own = (self.ip, self.next_port);
        let begin = Instant::now();
        let seq = 0x1122_0000_u32.wrapping_add(u32::from(self.next_port) * 7);
        let make = |flags: u8, seq: u32, ack: u32, echo: u32, data: &[u8]| Packet {
            flags,
            seq,
            ack,
            echo,
            src: own,
            dst: route,
            data: data.to_vec(),
        };
        let send = |packet: Packet| {
            let _lost = self.socket.send_to(&packet.encode(), through);
        };
        let mut copies = 0;
        send(make(packet::SYN, seq, 0, 0, &[]));
        let opened = loop {
            let at = begin.elapsed();
            if at >= GIVE_UP {
                return Outcome::Nothing;
            }
            if let Some(due) = COPIES.get(copies) {
                if at >= *due {
                    copies += 1;
                    send(make(packet::SYN, seq, copies as u32, 0, &[]));
                }
            }
            let until = COPIES.get(copies).copied().unwrap_or(GIVE_UP);
            match self.receive(route, own.1, until.saturating_sub(begin.elapsed())) {
                Some(got) if got.flags & packet::RST != 0 => return Outcome::Reset,
                Some(got) if got.flags & packet::SYN != 0 => break got,
                _ => {}
            }
        };
        let ack = opened.seq.wrapping_add(1);
        let text = format!("GET / HTTP/1.1\r\nHost: {}\r\nX-Request-Id: {request}\r\n\r\n", route.0);
        send(make(packet::ACK, seq.wrapping_add(1), ack, opened.echo, text.as_bytes()));
        while begin.elapsed() < TIME_LIMIT {
            let left = TIME_LIMIT.saturating_sub(begin.elapsed());
            match self.receive(route, own.1, left) {
                Some(got) if got.flags & packet::RST != 0 => return Outcome::Reset,
                Some(got) if !got.data.is_empty() => {
                    let next = seq.wrapping_add(1 + text.len() as u32);
                    let ack = got.seq.wrapping_add(got.data.len() as u32);
                    send(make(packet::FIN | packet::ACK, next, ack, got.echo, &[]));
                    return Outcome::Answer(String::from_utf8_lossy(&got.data).into_owned());
                }
                _ => {}
            }
        }
        Outcome::Nothing
    }

    /// The next packet of a flow, if one comes in time.
    fn receive(&self, route: (Ipv4Addr, u16), port: u16, within: Duration) -> Option<Packet> {
        let until = Instant::now() + within;
        let mut buffer = [0; 2_048];
        loop {
            let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
            self.socket.set_read_timeout(Some(left)).ok()?;
            let Ok((len, _)) = self.socket.recv_from(&mut buffer) else {
                return None;
            };
            let packet = Packet::decode(&buffer[..len]);
            if let Some(packet) = packet.filter(|packet| packet.src == route && packet.dst == (self.ip, port)) {
                return Some(packet);
            }
            if Instant::now() >= until {
                return None;
            }
        }
    }
}
