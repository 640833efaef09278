//! Calls to upstreams on their way, and what becomes of them.

use std::net::SocketAddr;
use std::time::Duration;

use node::Call;
use node::CallResult;
use node::Event;
use node::Peer;
use rand::RngExt;
use units::Incarnation;
use units::UpstreamName;
use units::ZoneName;

use crate::fabric::hit;
use crate::fabric::millis;
use crate::fault::Behaviour;
use crate::job::Job;
use crate::job::RequestId;
use crate::upstream::Reception;
use crate::violation::Promise;
use crate::violation::Violation;
use crate::world::CallRef;
use crate::world::Happening;
use crate::world::World;

/// How long an instance waits for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// A call on its way.
#[derive(Debug)]
pub(crate) struct Flight {
    call: Call,
    /// The life of an upstream that runs it.
    running: Option<(UpstreamName, Incarnation)>,
    /// Whether the instance still waits for its result.
    wanted: bool,
}

impl World {
    /// An instance makes a call.
    pub(crate) fn depart(&mut self, peer: &Peer, call: Call) -> Result<(), Violation> {
        self.check_leaving(peer, &call)?;
        let job = Job::parse(&call.body).ok().map(|job| job.id);
        self.note(
            job,
            format!(
                "{} calls {} as call {} for {}",
                peer.name, call.upstream, call.id, call.seq
            ),
        );
        let name = CallRef {
            by: peer.name.clone(),
            incarnation: peer.incarnation,
            id: call.id,
        };
        let delay = millis(&mut self.rng, 1, 4);
        self.queue
            .push(self.now + call.timeout, Happening::Expire(name.clone()));
        self.queue.push(self.now + delay, Happening::Arrive(name.clone()));
        let flight = Flight {
            call,
            running: None,
            wanted: true,
        };
        self.flights.insert(name, flight);
        Ok(())
    }

    /// An instance closes a call's connection. The call may arrive for all that.
    pub(crate) fn cancel(&mut self, name: &CallRef) {
        let Some(flight) = self.flights.get_mut(name) else {
            return;
        };
        flight.wanted = false;
        if flight.running.is_none() && hit(&mut self.rng, 50) {
            self.flights.remove(name);
        }
    }

    pub(crate) fn upstream_at(&self, address: SocketAddr) -> Option<UpstreamName> {
        let mut all = self.upstreams.values();
        all.find(|upstream| upstream.spec.address == address)
            .map(|upstream| upstream.spec.name.clone())
    }

    /// The upstream that answers at the address of a call.
    pub(crate) fn called(&self, name: &CallRef) -> Option<UpstreamName> {
        let flight = self.flights.get(name)?;
        self.upstream_at(flight.call.address)
    }

    fn zone_of(&self, name: &CallRef) -> Option<ZoneName> {
        self.instances.get(&name.by).map(|instance| instance.spec.zone.clone())
    }

    /// A call reaches an upstream.
    pub(crate) fn arrive(&mut self, name: CallRef) -> Result<(), Violation> {
        let Some(flight) = self.flights.get(&name) else {
            return Ok(());
        };
        let call = flight.call.clone();
        let zone = self.zone_of(&name);
        let target = self.upstream_at(call.address);
        let upstream = target.and_then(|target| self.upstreams.get_mut(&target));
        let Some((upstream, zone)) = upstream.zip(zone) else {
            return self.conclude(&name, CallResult::Unreachable);
        };
        if !self.cuts.joined(&zone, &upstream.spec.zone) {
            self.queue.push(self.now + CONNECT_TIMEOUT, Happening::Unreached(name));
            return Ok(());
        }
        match upstream.receive() {
            Reception::Closed => return self.conclude(&name, CallResult::Unreachable),
            Reception::Draining => return self.conclude(&name, CallResult::Draining),
            Reception::Shed => return self.conclude(&name, CallResult::Shed),
            Reception::Run => {}
        }
        let life = (upstream.spec.name.clone(), upstream.incarnation);
        let service = upstream.spec.service.clone();
        let time = upstream.service_time(self.now, &mut self.rng);
        if let Some(flight) = self.flights.get_mut(&name) {
            flight.running = Some(life);
        }
        self.queue.push(self.now + time, Happening::Finish(name));
        self.run(&call, &service)
    }

    fn run(&mut self, call: &Call, service: &units::ServiceName) -> Result<(), Violation> {
        let Ok(job) = Job::parse(&call.body) else {
            return Err(self.violation(Promise::OwnAnswer, None, format!("a body was altered: {call:?}")));
        };
        self.note(Some(job.id), format!("{} runs it", call.upstream));
        if &job.service != service || &call.service != service {
            let text = format!(
                "a request for {} reaches {}, which serves {service}",
                job.service, call.upstream
            );
            return Err(self.violation(Promise::RightService, Some(job.id), text));
        }
        let id = RequestId {
            caller: job.id.caller,
            seq: call.seq,
        };
        self.book.run(self.now, id, job.id)
    }

    /// No connection could be made.
    pub(crate) fn unreached(&mut self, name: &CallRef) -> Result<(), Violation> {
        self.conclude(name, CallResult::Unreachable)
    }

    /// An upstream has done its work.
    pub(crate) fn finish(&mut self, name: &CallRef) -> Result<(), Violation> {
        let Some(flight) = self.flights.get(name) else {
            return Ok(());
        };
        let Some((upstream, incarnation)) = flight.running.clone() else {
            return Ok(());
        };
        let answer = Job::parse(&flight.call.body)
            .map(|job| job.answer())
            .unwrap_or_default();
        let zone = self.zone_of(name);
        let Some(upstream) = self.upstreams.get_mut(&upstream) else {
            return Ok(());
        };
        if upstream.incarnation != incarnation {
            return Ok(());
        }
        upstream.busy -= 1;
        let behaviour = upstream.behaviour;
        if !zone.is_some_and(|zone| self.cuts.joined(&zone, &upstream.spec.zone)) {
            // The answer never gets through; the deadline ends the call.
            return Ok(());
        }
        let result = match behaviour {
            Behaviour::FailingHealthy => CallResult::Failed,
            Behaviour::Crossed => CallResult::Mismatched,
            _ => CallResult::Answered(answer.clone()),
        };
        if behaviour == Behaviour::Twice {
            self.answer_again(name, millis_span(20), answer);
        }
        self.conclude(name, result)
    }

    /// A call's deadline passes. An upstream that was late answers all the same, and the instance must not care.
    pub(crate) fn expire(&mut self, name: &CallRef) -> Result<(), Violation> {
        let Some(flight) = self.flights.get(name) else {
            return Ok(());
        };
        if !flight.wanted {
            return Ok(());
        }
        let answer = Job::parse(&flight.call.body)
            .map(|job| job.answer())
            .unwrap_or_default();
        let late = millis_span(self.rng.random_range(1..500));
        self.answer_again(name, late, answer);
        self.tell(name, CallResult::TimedOut)
    }

    /// Every call that runs at an upstream fails, since its process has ended.
    pub(crate) fn fail_runs(&mut self, upstream: &UpstreamName) -> Result<(), Violation> {
        let runs = |flight: &Flight| flight.running.as_ref().is_some_and(|(name, _)| name == upstream);
        let names: Vec<CallRef> = self
            .flights
            .iter()
            .filter(|(_, f)| runs(f))
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            self.conclude(&name, CallResult::Failed)?;
        }
        Ok(())
    }

    /// How many calls of a life are in progress, whose results it still wants.
    pub(crate) fn in_progress(&self, peer: &Peer) -> usize {
        let mine = |name: &CallRef| name.by == peer.name && name.incarnation == peer.incarnation;
        self.flights
            .iter()
            .filter(|(name, flight)| mine(name) && flight.wanted)
            .count()
    }

    fn conclude(&mut self, name: &CallRef, result: CallResult) -> Result<(), Violation> {
        self.tell(name, result)?;
        self.flights.remove(name);
        Ok(())
    }

    /// An answer comes after the call has ended.
    fn answer_again(&mut self, name: &CallRef, wait: Duration, answer: Vec<u8>) {
        let peer = Peer {
            name: name.by.clone(),
            incarnation: name.incarnation,
        };
        let event = Event::CallEnded(name.id, CallResult::Answered(answer));
        self.queue
            .push(self.now + wait, Happening::Event(peer, Box::new(event)));
    }

    fn tell(&mut self, name: &CallRef, result: CallResult) -> Result<(), Violation> {
        let Some(flight) = self.flights.get_mut(name) else {
            return Ok(());
        };
        if !flight.wanted {
            return Ok(());
        }
        flight.wanted = false;
        let job = Job::parse(&flight.call.body).ok().map(|job| job.id);
        let text = match &result {
            CallResult::Answered(_) => "the answer".to_owned(),
            other => format!("{other:?}"),
        };
        self.note(job, format!("{} is told of call {}: {text}", name.by, name.id));
        let peer = Peer {
            name: name.by.clone(),
            incarnation: name.incarnation,
        };
        self.feed(&peer, Event::CallEnded(name.id, result))
    }
}

fn millis_span(millis: u64) -> Duration {
    Duration::from_millis(millis)
}
