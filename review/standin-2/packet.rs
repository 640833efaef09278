//! Packets as PROTOCOL.md gives them: a head of 34 bytes, big-endian, and data.

use std::net::Ipv4Addr;

pub const SYN: u8 = 8;
pub const ACK: u8 = 16;
pub const FIN: u8 = 2;
pub const RST: u8 = 1;

/// Key of the sum. Only the two ends know it.
const KEY: u32 = 0x5bd1_e995;

#[derive(Clone, Debug)]
pub struct Packet {
    pub flags: u8,
    pub seq: u32,
    pub ack: u32,
    pub echo: u32,
    pub src: (Ipv4Addr, u16),
    pub dst: (Ipv4Addr, u16),
    pub data: Vec<u8>,
}

impl Packet {
    fn sum(&self) -> u32 {
        let mut sum = KEY;
        let mut add = |bytes: &[u8]| {
            for byte in bytes {
                sum = (sum ^ u32::from(*byte)).wrapping_mul(16_777_619);
            }
        };
        add(&[self.flags]);
        add(&self.seq.to_be_bytes());
        add(&self.ack.to_be_bytes());
        add(&self.src.0.octets());
        add(&self.src.1.to_be_bytes());
        add(&self.dst.0.octets());
        add(&self.dst.1.to_be_bytes());
        add(&self.data);
        sum.max(1)
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut out = self.sum().to_be_bytes().to_vec();
        out.extend([self.flags, 0, 0, 0]);
        out.extend(self.seq.to_be_bytes());
        out.extend(self.ack.to_be_bytes());
        out.extend(self.echo.to_be_bytes());
        out.extend(self.src.1.to_be_bytes());
        out.extend(self.dst.0.octets());
        out.extend(self.src.0.octets());
        out.extend(self.dst.1.to_be_bytes());
        out.extend((self.data.len() as u16).to_be_bytes());
        out.extend(&self.data);
        out
    }

    /// Decodes a packet. `None` if it isn't one, or if its sum is wrong. A reset of the system's own has the sum 0.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.len() < 34 {
            return None;
        }
        let u16_at = |at: usize| u16::from_be_bytes([bytes[at], bytes[at + 1]]);
        let u32_at = |at: usize| u32::from_be_bytes(bytes[at..at + 4].try_into().unwrap());
        let packet = Self {
            flags: bytes[4],
            seq: u32_at(8),
            ack: u32_at(12),
            echo: u32_at(16),
            src: (Ipv4Addr::from(u32_at(26)), u16_at(20)),
            dst: (Ipv4Addr::from(u32_at(22)), u16_at(30)),
            data: bytes[34..].to_vec(),
        };
        let sum = u32_at(0);
        let is_sound = sum == packet.sum() || (sum == 0 && packet.flags == RST);
        (is_sound && usize::from(u16_at(32)) == packet.data.len()).then_some(packet)
    }
}
