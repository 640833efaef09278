//! The packet format of the users' protocol page.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

pub const SYN: u8 = 8;
pub const ACK: u8 = 16;
pub const FIN: u8 = 2;
pub const RST: u8 = 1;
pub const HEAD: usize = 34;

/// A packet of a flow. `sum` is 0 in resets of the system's own; the stand-ins put another value into theirs.
#[derive(Debug, Clone)]
pub struct Packet {
    pub sum: u32,
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub echo: u32,
    pub from: SocketAddrV4,
    pub to: SocketAddrV4,
    pub data: Vec<u8>,
}

/// The sum that stand-ins use. The key is not disclosed, so the system can't tell.
pub const SUM: u32 = 0xa1b2_c3d5;

impl Packet {
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEAD + self.data.len());
        bytes.extend(self.sum.to_be_bytes());
        bytes.extend([self.flags, 0, 0, 0]);
        bytes.extend(self.seq.to_be_bytes());
        bytes.extend(self.ack.to_be_bytes());
        bytes.extend(self.echo.to_be_bytes());
        bytes.extend(self.from.port().to_be_bytes());
        bytes.extend(self.to.ip().octets());
        bytes.extend(self.from.ip().octets());
        bytes.extend(self.to.port().to_be_bytes());
        bytes.extend((self.data.len() as u16).to_be_bytes());
        bytes.extend(&self.data);
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.len() < HEAD {
            return None;
        }
        let u16_at = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
        let u32_at = |at: usize| u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]]);
        let ip_at = |at: usize| Ipv4Addr::from(u32_at(at));
        Some(Self {
            sum: u32_at(0),
            flags: bytes[4],
            seq: u32_at(8),
            ack: u32_at(12),
            echo: u32_at(16),
            from: SocketAddrV4::new(ip_at(26), u16_at(20)),
            to: SocketAddrV4::new(ip_at(22), u16_at(30)),
            data: bytes[HEAD..].to_vec(),
        })
    }
}
