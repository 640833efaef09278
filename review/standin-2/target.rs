//! A target: takes flows at a UDP address, runs the requests in them, and registers itself in the store every heartbeat.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc::Sender;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::packet;
use crate::packet::Packet;
use crate::record::Record;
use crate::store::Store;

/// The interval of the status reports, as in the settings of a small deployment.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A request that a target has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub target: String,
    pub service: String,
}

/// What a target knows of itself.
pub struct Life {
    /// The Unix millisecond of its start.
    born: u64,
    /// Until when it is cold, if it is.
    pub cold_until: Option<Instant>,
    /// When it accepted flows.
    pub openings: Vec<Instant>,
}

pub struct Target {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub life: Arc<Mutex<Life>>,
}

/// The Unix millisecond.
fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

impl Target {
    /// Starts a target. `client_port` is where clients take packets.
    pub fn start(
        id: u64,
        service: &str,
        zone: &str,
        ip: Ipv4Addr,
        client_port: u16,
        runs: Arc<Mutex<Vec<Run>>>,
    ) -> Result<Self, String> {
        let socket = UdpSocket::bind((ip, 0)).map_err(|error| format!("target: {error}"))?;
        let address = socket.local_addr().map_err(|error| error.to_string())?;
        let name = format!("i-{id:010x}");
        let life = Arc::new(Mutex::new(Life {
            born: unix_ms(),
            cold_until: None,
            openings: Vec::new(),
        }));
        let target = Self {
            name: name.clone(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            life: Arc::clone(&life),
        };
        let service = service.to_owned();
        thread::spawn(move || serve(&socket, id, &name, &service, client_port, &runs, &life));
        Ok(target)
    }

    /// Its entry in the store, with all the fields that the pages name.
    pub fn entry(&self, seq: u64) -> String {
        let life = self.life.lock().unwrap();
        let cold = life.cold_until.map_or(0, |until| until.saturating_duration_since(Instant::now()).as_millis());
        format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":2,\"state\":\"ready\",\
             \"cold_left_ms\":{cold},\"seq\":{seq},\"born\":{}}}",
            self.service, self.address, self.zone, life.born
        )
    }

    /// Registers it now and every heartbeat. Each report is told to `reported`.
    pub fn register(self: &Arc<Self>, store: Store, record: Arc<Record>, reported: Sender<String>) {
        let target = Arc::clone(self);
        thread::spawn(move || {
            for seq in 1.. {
                let revision = store.put("servers", &target.name, &target.entry(seq));
                record.line(&format!("store  target {} reports seq={seq} rev={revision}", target.name));
                let _nobody_waits = reported.send(target.name.clone());
                thread::sleep(HEARTBEAT);
            }
        });
    }
}

type FlowKey = (Ipv4Addr, u16, Ipv4Addr, u16);

#[allow(clippy::too_many_arguments)]
fn serve(
    socket: &UdpSocket,
    id: u64,
    name: &str,
    service: &str,
    client_port: u16,
    runs: &Mutex<Vec<Run>>,
    life: &Mutex<Life>,
) {
    let mut buffer = [0; 2_048];
    // By flow: its own sequence number, and the client's next one.
    let mut flows: HashMap<FlowKey, (u32, u32)> = HashMap::new();
    let mut next_seq = 1_000_u32;
    loop {
        let Ok((len, _)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        if len < 8 {
            continue;
        }
        let intended = u64::from_be_bytes(buffer[..8].try_into().unwrap());
        if intended != id && intended != 0 {
            continue;
        }
        let Some(packet) = Packet::decode(&buffer[8..len]) else {
            continue;
        };
        let key = (packet.src.0, packet.src.1, packet.dst.0, packet.dst.1);
        let reply = |flags: u8, seq: u32, ack: u32, data: Vec<u8>| {
            let reply = Packet {
                flags,
                seq,
                ack,
                echo: packet.echo,
                src: packet.dst,
                dst: packet.src,
                data,
            };
            let _lost = socket.send_to(&reply.encode(), (packet.src.0, client_port));
        };
        if packet.flags & packet::SYN != 0 {
            next_seq = next_seq.wrapping_add(100_000);
            if !flows.contains_key(&key) {
                life.lock().unwrap().openings.push(Instant::now());
            }
            let flow = flows.entry(key).or_insert((next_seq, packet.seq.wrapping_add(1)));
            reply(packet::SYN | packet::ACK, flow.0, flow.1, Vec::new());
            flow.0 = flow.0.wrapping_add(u32::from(flow.0 == next_seq));
            continue;
        }
        let Some(flow) = flows.get_mut(&key) else {
            if packet.flags & packet::RST == 0 {
                reply(packet::RST, packet.ack, packet.seq, Vec::new());
            }
            continue;
        };
        if packet.flags & (packet::FIN | packet::RST) != 0 {
            reply(packet::FIN | packet::ACK, flow.0, packet.seq.wrapping_add(1), Vec::new());
            flows.remove(&key);
            continue;
        }
        if packet.data.is_empty() || packet.seq != flow.1 {
            continue;
        }
        flow.1 = flow.1.wrapping_add(packet.data.len() as u32);
        let text = String::from_utf8_lossy(&packet.data);
        let request = text.lines().find_map(|line| line.strip_prefix("X-Request-Id: "));
        let request = request.unwrap_or("?").to_owned();
        runs.lock().unwrap().push(Run {
            request: request.clone(),
            target: name.to_owned(),
            service: service.to_owned(),
        });
        let body = format!("{service} {request}");
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Server-Stamp: {name}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let seq = flow.0;
        flow.0 = flow.0.wrapping_add(answer.len() as u32);
        reply(packet::ACK, seq, flow.1, answer.into_bytes());
    }
}
