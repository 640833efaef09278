//! Stand-in of a target: holds at most `max_conns` flows, serves `slots` requests at a time, and answers clients directly.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::packet::ACK;
use crate::packet::FIN;
use crate::packet::Packet;
use crate::packet::RST;
use crate::packet::SUM;
use crate::packet::SYN;
use crate::record::Record;

/// A pause of a stand-in that counts as a disruption on it.
pub const STALL: Duration = Duration::from_millis(40);
/// How long after a disruption nothing counts (`stable_window_ms`).
pub const STABLE_WINDOW: Duration = Duration::from_secs(4);

/// How long an unfinished handshake is kept.
const HANDSHAKE: Duration = Duration::from_secs(2);

#[derive(Debug, Clone)]
pub struct Spec {
    pub name: String,
    pub id: u64,
    pub slots: usize,
    /// How many requests wait for a slot; further ones are told that they have not run.
    pub queue: usize,
    pub max_conns: usize,
    /// The mean work of a request, the spread of its logarithm, and its maximum.
    pub work: Duration,
    pub spread: f64,
    pub max_work: Duration,
    /// The idle time after which a flow is closed.
    pub idle: Duration,
    /// Whether each run has a line in the record; the others are only counted.
    pub is_recorded: bool,
    /// The UDP port at which clients take packets.
    pub client_port: u16,
}

/// A flow's addresses: the client's and the route's.
pub type Ends = (SocketAddrV4, SocketAddrV4);

#[derive(Debug)]
struct Held {
    is_open: bool,
    last: Instant,
    /// The next sequence number expected from the client, and the next one of this side.
    expected: u32,
    next: u32,
    echo: u32,
    /// The last response, for a request that comes again.
    last_response: Option<Packet>,
}

#[derive(Debug, Default)]
pub struct Seen {
    flows: HashMap<Ends, Held>,
    /// Runs by the request's id.
    pub runs: HashMap<String, u32>,
    pub refused_full: u64,
    pub resets: u64,
    pub opened: u64,
    unanswered: usize,
    /// When this stand-in was last kept from running for longer than [`STALL`], by the load of the machine.
    stalled: Option<Instant>,
    /// When each opening packet that it took came.
    pub openings: Vec<Instant>,
}

pub struct Target {
    pub address: SocketAddrV4,
    pub seen: Arc<Mutex<Seen>>,
    ended: Arc<AtomicBool>,
}

impl Target {
    pub fn start(spec: Spec, address: SocketAddrV4, record: Record) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(address)?;
        socket.set_read_timeout(Some(Duration::from_millis(2)))?;
        let std::net::SocketAddr::V4(address) = socket.local_addr()? else { unreachable!() };
        let seen = Arc::new(Mutex::new(Seen::default()));
        let ended = Arc::new(AtomicBool::new(false));
        let random = spec.id.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        let task = Task { spec, socket, record, seen: seen.clone(), ended: ended.clone(), running: Vec::new(), queued: VecDeque::new(), random };
        std::thread::spawn(move || task.run());
        Ok(Self { address, seen, ended })
    }

    /// Whether the target lives, has run without a pause for the stable window, and holds this flow open.
    pub fn holds(&self, ends: &Ends) -> bool {
        let seen = self.seen.lock().unwrap();
        let is_calm = seen.stalled.is_none_or(|at| at.elapsed() > STABLE_WINDOW);
        is_calm && !self.ended.load(Ordering::Relaxed) && seen.flows.get(ends).is_some_and(|held| held.is_open)
    }

    /// The number of requests taken and not answered.
    pub fn unanswered(&self) -> usize {
        self.seen.lock().unwrap().unanswered
    }

    pub fn held(&self) -> usize {
        self.seen.lock().unwrap().flows.len()
    }

    /// Ends the target as a crash does.
    pub fn crash(&self) {
        self.ended.store(true, Ordering::Relaxed);
    }
}

struct Task {
    spec: Spec,
    socket: UdpSocket,
    record: Record,
    seen: Arc<Mutex<Seen>>,
    ended: Arc<AtomicBool>,
    running: Vec<(Instant, Ends, Packet)>,
    queued: VecDeque<(Ends, Packet)>,
    random: u64,
}

impl Task {
    fn run(mut self) {
        let mut buffer = [0; 2048];
        let mut last = Instant::now();
        while !self.ended.load(Ordering::Relaxed) {
            let now = Instant::now();
            if now - last > STALL {
                self.seen.lock().unwrap().stalled = Some(now);
                self.record.line(&format!("{} was kept from running for {} ms", self.spec.name, (now - last).as_millis()));
            }
            last = now;
            if let Ok(len) = self.socket.recv(&mut buffer) {
                self.receive(&buffer[..len]);
            }
            self.finish_work();
        }
    }

    fn send(&self, packet: &Packet) {
        let to = SocketAddrV4::new(*packet.to.ip(), self.spec.client_port);
        let _ = self.socket.send_to(&packet.encode(), to);
    }

    fn receive(&mut self, bytes: &[u8]) {
        let Some((id, rest)) = bytes.split_first_chunk::<8>() else { return };
        let id = u64::from_be_bytes(*id);
        if id != self.spec.id && id != 0 {
            return;
        }
        let Some(packet) = Packet::decode(rest) else { return };
        let now = Instant::now();
        let ends = (packet.from, packet.to);
        let seen = self.seen.clone();
        let mut seen = seen.lock().unwrap();
        let idle = self.spec.idle;
        seen.flows.retain(|_, held| now - held.last < if held.is_open { idle } else { HANDSHAKE });
        let reply = |flags, seq, ack, echo| Packet { sum: SUM, flags, seq, ack, echo, from: packet.to, to: packet.from, data: Vec::new() };
        if packet.flags & SYN != 0 {
            if packet.flags & ACK != 0 {
                return;
            }
            if !seen.flows.contains_key(&ends) && seen.flows.len() >= self.spec.max_conns {
                seen.refused_full += 1;
                self.record.line(&format!("{} full, sends nothing to the opening packet of {}", self.spec.name, packet.from));
                return;
            }
            seen.openings.push(now);
            let first = 0x4000_0000_u32.wrapping_add((self.spec.id as u32).wrapping_mul(2_654_435_761)) ^ u32::from(packet.from.port());
            let held = seen.flows.entry(ends).or_insert(Held {
                is_open: false,
                last: now,
                expected: packet.seq.wrapping_add(1),
                next: first.wrapping_add(1),
                echo: packet.echo,
                last_response: None,
            });
            held.echo = packet.echo;
            self.send(&reply(SYN | ACK, held.next.wrapping_sub(1), held.expected, held.echo));
            return;
        }
        let Some(held) = seen.flows.get_mut(&ends) else {
            if packet.flags & RST == 0 && packet.flags & FIN == 0 {
                seen.resets += 1;
                self.record.line(&format!("{} resets {}, it does not hold the flow", self.spec.name, packet.from));
                self.send(&reply(RST, packet.ack, packet.seq, packet.echo));
            } else if packet.flags & FIN != 0 {
                self.send(&reply(ACK, packet.ack, packet.seq.wrapping_add(1), packet.echo));
            }
            return;
        };
        held.last = now;
        held.echo = packet.echo;
        if packet.flags & RST != 0 {
            seen.flows.remove(&ends);
            return;
        }
        let mut has_opened = false;
        let mut has_request = false;
        if !held.is_open && packet.ack == held.next {
            held.is_open = true;
            has_opened = true;
        }
        if packet.flags & FIN != 0 {
            let answer = reply(FIN | ACK, held.next, packet.seq.wrapping_add(1), held.echo);
            self.send(&answer);
            seen.flows.remove(&ends);
            return;
        }
        if !packet.data.is_empty() && held.is_open {
            if packet.seq == held.expected {
                held.expected = held.expected.wrapping_add(packet.data.len() as u32);
                if self.queued.len() < self.spec.queue {
                    self.queued.push_back((ends, packet.clone()));
                    has_request = true;
                } else {
                    let id = request_id(&packet.data);
                    self.record.line(&format!("{} rejects {id}, its queue is full", self.spec.name));
                    let text = format!("HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nX-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n");
                    let response = Packet { data: text.into_bytes(), ..reply(ACK, held.next, held.expected, held.echo) };
                    held.next = held.next.wrapping_add(response.data.len() as u32);
                    held.last_response = Some(response.clone());
                    self.send(&response);
                }
            } else if let Some(response) = held.last_response.as_ref().filter(|response| is_answer(response, &packet)) {
                self.send(response);
            } else {
                self.send(&reply(ACK, held.next, held.expected, held.echo));
            }
        }
        if has_opened {
            seen.opened += 1;
        }
        seen.unanswered += usize::from(has_request);
        drop(seen);
        self.begin_work();
    }

    fn begin_work(&mut self) {
        while self.running.len() < self.spec.slots {
            let Some((ends, request)) = self.queued.pop_front() else { return };
            let id = request_id(&request.data);
            let mut seen = self.seen.lock().unwrap();
            *seen.runs.entry(id.clone()).or_default() += 1;
            drop(seen);
            if self.spec.is_recorded {
                self.record.line(&format!("{} runs {id}", self.spec.name));
            }
            let work = self.draw_work();
            self.running.push((Instant::now() + work, ends, request));
        }
    }

    /// Draws the work of a request: log-normal, from the sum of twelve uniform numbers.
    fn draw_work(&mut self) -> Duration {
        let mut normal = -6.0;
        for _ in 0..12 {
            self.random ^= self.random << 13;
            self.random ^= self.random >> 7;
            self.random ^= self.random << 17;
            normal += (self.random >> 11) as f64 / (1_u64 << 53) as f64;
        }
        let spread = self.spec.spread;
        let factor = (spread * normal - spread * spread / 2.0).exp();
        self.spec.work.mul_f64(factor).min(self.spec.max_work)
    }

    fn finish_work(&mut self) {
        let now = Instant::now();
        let (done, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.running).into_iter().partition(|(at, ..)| *at <= now);
        self.running = rest;
        for (_, ends, request) in done {
            let mut seen = self.seen.lock().unwrap();
            seen.unanswered -= 1;
            let Some(held) = seen.flows.get_mut(&ends) else { continue };
            let id = request_id(&request.data);
            let body = format!("done {id}");
            let text = format!("HTTP/1.1 200 OK\r\nX-Server-Stamp: {}\r\nX-Request-Id: {id}\r\nContent-Length: {}\r\n\r\n{body}", self.spec.name, body.len());
            let response = Packet {
                sum: SUM,
                flags: ACK,
                seq: held.next,
                ack: held.expected,
                echo: held.echo,
                from: ends.1,
                to: ends.0,
                data: text.into_bytes(),
            };
            held.next = held.next.wrapping_add(response.data.len() as u32);
            held.last = now;
            held.last_response = Some(response.clone());
            drop(seen);
            self.send(&response);
        }
        self.begin_work();
    }
}

/// Whether a response answers the request in a packet that came again; a request that still waits is acknowledged.
fn is_answer(response: &Packet, request: &Packet) -> bool {
    response.ack == request.seq.wrapping_add(request.data.len() as u32)
}

/// The value of the request's `X-Request-Id` header.
pub fn request_id(data: &[u8]) -> String {
    let text = String::from_utf8_lossy(data);
    let id = text.lines().find_map(|line| line.strip_prefix("X-Request-Id: "));
    id.unwrap_or("?").to_owned()
}
