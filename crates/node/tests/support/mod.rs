//! A fleet of nodes connected in memory: frames are delivered immediately, calls wait until the test ends them.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use serde_bytes::ByteBuf;
use units::Incarnation;
use units::InstanceName;
use units::Millis;
use units::Nonce;
use units::RequestSeq;
use units::Revision;
use units::Time;
use wire::Frame;
use wire::InstanceIncarnation;
use wire::IssuedToken;
use wire::Open;
use wire::Packet;
use wire::Reply;
use wire::Request;
use wire::encode_packet;

use node::Action;
use node::Call;
use node::CallId;
use node::CallResult;
use node::Event;
use node::Limits;
use node::Listed;
use node::Node;
use node::NodeConfig;
use node::Peer;
use node::Record;

pub const SECRET: &str = "a secret of at least thirty-two characters";
pub const OTHER_SECRET: &str = "another secret of thirty-two characters";

pub fn document(revision: u64) -> String {
    format!(
        r#"
revision: {revision}
change: {{author: an, approver: joost, reason: test}}
zones:
  - {{name: brugge, region: flanders}}
services:
  - name: availability
    addresses: ["10.1.0.1:4000"]
    sharing: {{queue-limit: 4, slow-start-ms: 0}}
    kinds:
      - {{name: feed, weight: 1, idempotent: true}}
      - {{name: hold, weight: 5, idempotent: false}}
    upstreams:
      - {{name: search-1, zone: brugge, address: "10.2.0.1:8080", slots: 1}}
      - {{name: search-2, zone: brugge, address: "10.2.0.2:8080", slots: 1}}
  - name: photos
    addresses: ["10.1.0.2:4000"]
    kinds:
      - {{name: sheet, weight: 1, idempotent: true}}
    upstreams:
      - {{name: photo-1, zone: brugge, address: "10.2.0.3:8080", slots: 1}}
"#
    )
}

/// A document whose first service has `more` additional upstreams.
pub fn large_document(revision: u64, more: usize) -> String {
    let mut lines = String::new();
    for index in 0..more {
        let line =
            format!("      - {{name: more-{index}, zone: brugge, address: \"10.4.0.{index}:8080\", slots: 1}}\n");
        lines.push_str(&line);
    }
    document(revision).replacen("    upstreams:\n", &format!("    upstreams:\n{lines}"), 1)
}

pub fn caller() -> SocketAddr {
    "10.9.0.1:5000".parse().unwrap()
}

pub struct Fleet {
    pub now: Time,
    pub nodes: BTreeMap<InstanceName, (Incarnation, Node)>,
    /// Replies to the caller that the test has not read yet.
    pub replies: VecDeque<Reply>,
    /// Calls in progress and the instances that made them.
    pub calls: Vec<(InstanceName, Call)>,
    pub cancelled: Vec<CallId>,
    pub stopped: Vec<InstanceName>,
    /// The timeline records about documents.
    pub document_records: Vec<String>,
    /// The number of polls of upstreams.
    pub polls: usize,
    /// Links on which frames from the first to the second instance are dropped.
    pub dropped_links: Vec<(InstanceName, InstanceName)>,
    /// The inherited incarnations in each part of a hand-over that was sent.
    pub inherited: Vec<Vec<InstanceIncarnation>>,
    /// The maximum number of flows with a ledger at instances that join.
    pub max_flows: usize,
}

impl Fleet {
    /// Creates a fleet of instances `a`, `b` and so on that have discovered each other and hold the document.
    pub fn new(count: u64) -> Self {
        let mut fleet = Self {
            now: Time(1_000_000_000),
            nodes: BTreeMap::new(),
            replies: VecDeque::new(),
            calls: Vec::new(),
            cancelled: Vec::new(),
            stopped: Vec::new(),
            document_records: Vec::new(),
            polls: 0,
            dropped_links: Vec::new(),
            inherited: Vec::new(),
            max_flows: Limits::default().flows,
        };
        for index in 0..count {
            fleet.join(&instance(index), index + 1);
        }
        fleet.advance(Duration::from_secs(3));
        fleet.calls.clear();
        fleet.replies.clear();
        fleet
    }

    pub fn join(&mut self, name: &InstanceName, incarnation: u64) {
        let secret = SECRET.parse().unwrap();
        let setup = NodeConfig {
            name: name.clone(),
            incarnation: Incarnation(incarnation),
            zone: "brugge".parse().unwrap(),
            address: address(name),
            keyring: token::Keyring::new(&secret, &[], Duration::from_hours(1)),
            limits: Limits {
                flows: self.max_flows,
                max_timeout: Duration::from_secs(20),
                ..Limits::default()
            },
            stop_within: Duration::from_secs(5),
            seed: incarnation,
        };
        self.nodes
            .insert(name.clone(), (Incarnation(incarnation), Node::new(setup, self.now)));
        let list = self
            .nodes
            .iter()
            .map(|(name, (incarnation, _))| listed(name, *incarnation))
            .collect();
        self.event(name, Event::InstanceList(list));
        self.event(name, Event::DocumentLoaded(Revision(1), document(1)));
    }

    pub fn event(&mut self, name: &InstanceName, event: Event) {
        let mut queue = VecDeque::from([(name.clone(), event)]);
        while let Some((name, event)) = queue.pop_front() {
            let Some((incarnation, node)) = self.nodes.get_mut(&name) else {
                continue;
            };
            let from = Peer {
                name: name.clone(),
                incarnation: *incarnation,
            };
            let mut out = Vec::new();
            node.handle(self.now, event, &mut out);
            for action in out {
                self.apply_action(&from, action, &mut queue);
            }
        }
    }

    fn apply_action(&mut self, from: &Peer, action: Action, queue: &mut VecDeque<(InstanceName, Event)>) {
        match action {
            Action::Reply(_, reply) => self.replies.push_back(reply),
            Action::Send { to, frame, .. } => {
                let len = wire::encode_frame(&frame).len();
                assert!(len <= wire::MAX_FRAME_LEN, "a frame of {len} bytes can't be sent");
                if let Frame::Handover(handover) = &frame {
                    self.inherited.push(handover.inherited.clone());
                }
                let lost =
                    self.dropped_links.contains(&(from.name.clone(), to.clone())) || !self.nodes.contains_key(&to);
                if !lost {
                    queue.push_back((to, Event::Frame(from.clone(), frame)));
                }
            }
            Action::Call(call) => self.calls.push((from.name.clone(), call)),
            Action::Cancel(call) => self.cancelled.push(call),
            Action::Stopped => self.stopped.push(from.name.clone()),
            Action::Poll(..) => self.polls += 1,
            Action::Record(record @ (Record::InForce(_) | Record::DocumentRejected(_))) => {
                self.document_records.push(format!("{}: {record}", from.name));
            }
            Action::Watch(_) | Action::Record(_) => {}
        }
    }

    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Duration::from_millis(10);
            let names: Vec<InstanceName> = self.nodes.keys().cloned().collect();
            for name in names {
                self.event(&name, Event::Tick);
            }
        }
    }

    pub fn send(&mut self, to: &InstanceName, packet: &Packet) {
        self.event(to, Event::Datagram(caller(), encode_packet(packet)));
    }

    pub fn open(&mut self, to: &InstanceName, service: &str) -> IssuedToken {
        let address = if service == "photos" {
            "10.1.0.2:4000"
        } else {
            "10.1.0.1:4000"
        };
        let open = Open {
            nonce: Nonce(7),
            service: service.parse().unwrap(),
            address: address.parse().unwrap(),
        };
        self.send(to, &Packet::Open(open));
        match self.replies.pop_front() {
            Some(Reply::Opened(opened)) => opened.granted,
            other => panic!("no flow was opened: {other:?}"),
        }
    }

    /// Ends the oldest call with this result.
    pub fn end_call(&mut self, result: CallResult) -> Call {
        let (name, call) = self.calls.remove(0);
        self.event(&name, Event::CallEnded(call.id, result));
        call
    }

    /// The current home of a service, which becomes the owner of flows opened now.
    pub fn home(&self, service: &str) -> InstanceName {
        let (_, node) = self.nodes.values().next().unwrap();
        let status = node.status(self.now);
        let line = status.homes.iter().find(|line| line.service.as_str() == service);
        line.and_then(|line| line.home.clone()).unwrap()
    }

    /// An instance other than this one.
    pub fn other(&self, than: &InstanceName) -> InstanceName {
        self.nodes.keys().find(|name| *name != than).cloned().unwrap()
    }

    pub fn frame(&mut self, to: &InstanceName, from: &InstanceName, frame: Frame) {
        let incarnation = self.nodes[from].0;
        self.event(
            to,
            Event::Frame(
                Peer {
                    name: from.clone(),
                    incarnation,
                },
                frame,
            ),
        );
    }
}

pub fn instance(index: u64) -> InstanceName {
    let letter = char::from(b'a' + u8::try_from(index).unwrap());
    letter.to_string().parse().unwrap()
}

fn address(name: &InstanceName) -> SocketAddr {
    let last = name.as_str().as_bytes()[0];
    SocketAddr::from(([10, 3, 0, last], 7000))
}

fn listed(name: &InstanceName, incarnation: Incarnation) -> Listed {
    let zone = "brugge".parse().unwrap();
    Listed::Entry {
        name: name.clone(),
        incarnation,
        zone,
        address: address(name),
        admin: None,
        leaving: false,
    }
}

pub fn request(granted: &IssuedToken, service: &str, kind: &str, seq: u64) -> Packet {
    Packet::Request(Request {
        token: granted.token.clone(),
        service: service.parse().unwrap(),
        seq: RequestSeq(seq),
        sent: RequestSeq(seq),
        kind: kind.parse().unwrap(),
        timeout: Millis(10_000),
        body: ByteBuf::from(b"room 12".to_vec()),
    })
}

/// Formats a reply on one line, for comparison in tests.
pub fn show(reply: &Reply) -> String {
    match reply {
        Reply::Opened(_) => "opened".to_owned(),
        Reply::Accepted(accepted) => format!("accepted {}", accepted.seq),
        Reply::Chunk(chunk) => {
            let moved = if chunk.granted.is_some() { ", new token" } else { "" };
            format!("chunk {}/{} of {}{moved}", chunk.index, chunk.head.chunks(), chunk.seq)
        }
        Reply::Refused(refused) => {
            let moved = if refused.granted.is_some() { ", new token" } else { "" };
            format!("{}: {}{moved}", refused.verdict, refused.reason)
        }
    }
}

impl Fleet {
    /// Returns the replies received since the previous call, formatted on one line.
    pub fn take_replies(&mut self) -> String {
        let lines: Vec<String> = self.replies.drain(..).map(|reply| show(&reply)).collect();
        lines.join("; ")
    }
}
