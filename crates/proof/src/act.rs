//! Carrying out what nodes want: datagrams, frames, polls, lists.

use std::net::SocketAddr;
use std::time::Duration;

use node::Action;
use node::Event;
use node::Peer;
use node::PollError;
use node::Record;
use rand::RngExt;
use units::InstanceName;
use units::Time;
use units::UpstreamName;
use wire::Chunk;
use wire::Frame;
use wire::Packet;
use wire::RefusalSubject;
use wire::Refused;
use wire::Reply;
use wire::Verdict;

use crate::fabric::hit;
use crate::fabric::millis;
use crate::job::Job;
use crate::job::RequestId;
use crate::session::Link;
use crate::violation::Promise;
use crate::violation::Violation;
use crate::world::CallRef;
use crate::world::Happening;
use crate::world::World;

/// How long an instance waits for a session with one that does not answer.
const SESSION_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a poll of an upstream that does not answer takes.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

impl World {
    /// Carries out one action of a node.
    pub(crate) fn act(&mut self, peer: &Peer, action: Action) -> Result<(), Violation> {
        match action {
            Action::Reply(to, reply) => self.answer(peer, to, &reply),
            Action::Send { to, address, frame } => self.send(peer, &to, address, frame),
            Action::Call(call) => self.depart(peer, call),
            Action::Cancel(id) => {
                let call = CallRef {
                    by: peer.name.clone(),
                    incarnation: peer.incarnation,
                    id,
                };
                self.cancel(&call);
                Ok(())
            }
            Action::Poll(name, address) => {
                let delay = millis(&mut self.rng, 2, 6);
                self.queue
                    .push(self.now + delay, Happening::Poll(peer.clone(), name, address));
                Ok(())
            }
            Action::Watch(on) => {
                self.watch(peer, on);
                Ok(())
            }
            Action::Record(record) => self.record(peer, &record),
            Action::Stopped => self.stopped(peer),
        }
    }

    fn record(&mut self, peer: &Peer, record: &Record) -> Result<(), Violation> {
        let told = matches!(
            record,
            Record::Opened(..)
                | Record::Accepted(..)
                | Record::Called(..)
                | Record::Ended(..)
                | Record::Answered(..)
                | Record::Refused(..)
        );
        if !told {
            self.note(None, format!("{}: {record}", peer.name));
        }
        // A node cancels what it leaves before it says that it has stopped.
        if let Record::Stopped(left) = record {
            return self.check_nothing_cut(peer, *left as usize);
        }
        let Record::InForce(revision) = record else {
            return Ok(());
        };
        self.note_document_signs(peer, *revision);
        let Some(life) = self.instances.get_mut(&peer.name).and_then(|i| i.life.as_mut()) else {
            return Ok(());
        };
        let before = life.in_force.replace(*revision);
        if before.is_some_and(|before| before > *revision) {
            let text = format!("{} goes back from {before:?} to {revision}", peer.name);
            return Err(self.violation(Promise::InForce, None, text));
        }
        Ok(())
    }

    fn answer(&mut self, peer: &Peer, to: SocketAddr, reply: &Reply) -> Result<(), Violation> {
        let bytes = wire::encode_reply(reply);
        if bytes.len() > wire::MAX_PACKET_LEN {
            let text = format!("{} sends a datagram of {} bytes", peer.name, bytes.len());
            return Err(self.violation(Promise::OwnAnswer, None, text));
        }
        let Some(index) = self.drivers.iter().position(|driver| driver.address == to) else {
            // A stranger gets this; nobody relies on it.
            return Ok(());
        };
        let caller = self.drivers[index].id;
        self.note_reply(peer, index, reply)?;
        for delay in self.fabric.copies(&mut self.rng) {
            let bytes = if hit(&mut self.rng, self.fabric.corrupt) {
                self.corrupt(reply)
            } else {
                bytes.clone()
            };
            self.queue.push(self.now + delay, Happening::Reply(caller, bytes));
        }
        Ok(())
    }

    /// The datagram with one byte of its chunk altered, if it is a chunk.
    fn corrupt(&mut self, reply: &Reply) -> Vec<u8> {
        let mut reply = reply.clone();
        if let Reply::Chunk(chunk) = &mut reply
            && !chunk.data.is_empty()
        {
            let at = self.rng.random_range(0..chunk.data.len());
            chunk.data[at] ^= 1;
        }
        wire::encode_reply(&reply)
    }

    fn note_reply(&mut self, peer: &Peer, index: usize, reply: &Reply) -> Result<(), Violation> {
        let caller = self.drivers[index].id;
        match reply {
            Reply::Chunk(Chunk { seq, index: 0, .. }) => {
                let job = self.drivers[index].job_of(*seq);
                self.note(job, format!("{} answers {seq}", peer.name));
            }
            Reply::Refused(Refused {
                subject,
                verdict,
                reason,
                ..
            }) => {
                let (RefusalSubject::Request(_, seq) | RefusalSubject::Unread(seq) | RefusalSubject::Pull(_, seq, _)) =
                    subject
                else {
                    return Ok(());
                };
                let job = self.drivers[index].job_of(*seq);
                self.note(job, format!("{} refuses {seq}, {verdict}: {reason}", peer.name));
                let pull = matches!(subject, RefusalSubject::Pull(..));
                if *verdict == Verdict::NotRun && !pull {
                    let id = RequestId { caller, seq: *seq };
                    return self.book.say_not_run(self.now, id, job);
                }
            }
            Reply::Opened(_) | Reply::Accepted(_) | Reply::Chunk(_) => {}
        }
        Ok(())
    }

    fn peer_at(&self, address: SocketAddr) -> Option<Peer> {
        let mut all = self.instances.values();
        all.find(|instance| instance.spec.address == address)?.peer()
    }

    /// Whether the zones of two instances reach each other.
    pub(crate) fn reaches(&self, a: &InstanceName, b: &InstanceName) -> bool {
        let zone = |name| self.instances.get(name).map(|instance| &instance.spec.zone);
        match (zone(a), zone(b)) {
            (Some(a), Some(b)) => self.cuts.joined(a, b),
            _ => false,
        }
    }

    fn send(&mut self, from: &Peer, to: &InstanceName, address: SocketAddr, frame: Frame) -> Result<(), Violation> {
        self.check_frame(from, &frame)?;
        self.note_forward(from, to, &frame);
        let link = Link {
            from: from.name.clone(),
            to: to.clone(),
        };
        let target = self.peer_at(address).filter(|peer| &peer.name == to);
        let reached = self.reaches(&from.name, to);
        if !self.sessions.stands_for(&link, from) {
            self.close_session(&link);
            let Some(target) = target.filter(|_| reached) else {
                let wait = if reached {
                    node::MAX_TICK_INTERVAL
                } else {
                    SESSION_TIMEOUT
                };
                let event = Happening::Event(from.clone(), Box::new(Event::SessionLost(to.clone())));
                self.queue.push(self.now + wait, event);
                return Ok(());
            };
            self.sessions.open(from, &target);
        }
        let delay = millis(&mut self.rng, 1, 4);
        let at = self.sessions.send(&link, self.now, delay, frame);
        self.queue.push(at, Happening::Frame(link));
        Ok(())
    }

    fn note_forward(&mut self, from: &Peer, to: &InstanceName, frame: &Frame) {
        let Frame::Forward(forward) = frame else {
            return;
        };
        let Packet::Request(request) = &forward.packet else {
            return;
        };
        let job = Job::parse(&request.body).ok().map(|job| job.id);
        self.note(
            job,
            format!("{} forwards {} to {to}, hop {}", from.name, request.seq, forward.hops),
        );
    }

    fn check_frame(&self, from: &Peer, frame: &Frame) -> Result<(), Violation> {
        if !matches!(frame, Frame::Handover(_) | Frame::Document(_) | Frame::Delta(_)) {
            return Ok(());
        }
        let len = wire::encode_frame(frame).len();
        if len > wire::MAX_FRAME_LEN {
            let text = format!("{} sends a frame of {len} bytes", from.name);
            return Err(self.violation(Promise::GracefulStop, None, text));
        }
        Ok(())
    }

    /// Delivers the frames that have arrived on a link, unless it is cut.
    pub(crate) fn receive_frame(&mut self, link: &Link) -> Result<(), Violation> {
        if !self.reaches(&link.from, &link.to) {
            return Ok(());
        }
        while let Some((from, to, frame)) = self.sessions.receive(link, self.now) {
            self.feed(&to, Event::Frame(from, frame))?;
        }
        Ok(())
    }

    /// Ends a session at once; its living ends are told in a moment.
    pub(crate) fn close_session(&mut self, link: &Link) {
        let Some((a, b)) = self.sessions.ends(link) else {
            return;
        };
        self.sessions.close(link);
        for (end, other) in [(&a, &b), (&b, &a)] {
            let event = Event::SessionLost(other.name.clone());
            self.queue
                .push(self.now, Happening::Event(end.clone(), Box::new(event)));
        }
    }

    /// The ends of a broken session notice it, if it still is that session.
    pub(crate) fn break_session(&mut self, a: &Peer, b: &Peer) -> Result<(), Violation> {
        if self.sessions.stands(a, b) {
            let link = Link {
                from: a.name.clone(),
                to: b.name.clone(),
            };
            self.receive_frame(&link)?;
            self.receive_frame(&link.back())?;
            self.close_session(&link);
        }
        Ok(())
    }

    /// Answers an instance's poll.
    pub(crate) fn poll(&mut self, peer: &Peer, name: UpstreamName, address: SocketAddr) -> Result<(), Violation> {
        let zone = self
            .instances
            .get(&peer.name)
            .map(|instance| instance.spec.zone.clone());
        let target = self.upstream_at(address).and_then(|target| self.upstreams.get(&target));
        let Some((upstream, zone)) = target.zip(zone) else {
            return self.feed(peer, Event::PollEnded(name, Err(PollError)));
        };
        if !self.cuts.joined(&zone, &upstream.spec.zone) {
            let event = Event::PollEnded(name, Err(PollError));
            self.queue
                .push(self.now + POLL_TIMEOUT, Happening::Event(peer.clone(), Box::new(event)));
            return Ok(());
        }
        let report = upstream.report(self.now, &mut self.rng);
        self.feed(peer, Event::PollEnded(name, report))
    }

    /// A process has done everything and ends.
    fn stopped(&mut self, peer: &Peer) -> Result<(), Violation> {
        let left = self.in_progress(peer);
        self.note(None, format!("{} has stopped, {left} calls cut", peer.name));
        self.check_nothing_cut(peer, left)?;
        self.end_life(&peer.name);
        let soon: Time = self.now + Duration::from_millis(5);
        self.break_sessions_at(&peer.name, soon);
        Ok(())
    }
}
