//! The exploration of whole nodes: which events are possible, and what must hold.

use std::fmt;
use std::time::Duration;

use node::CallResult;
use node::Event as NodeEvent;
use wire::Frame;

use crate::search::Model;
use crate::setup;
use crate::world::World;

/// Long enough for each wait of a planned stop but the last, and for a request to miss its deadline after three.
const PASS: Duration = Duration::from_millis(350);

/// How large the explored system is. Every bound is on the whole run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// How many instances there are.
    pub instances: usize,
    /// How many requests the caller makes.
    pub requests: usize,
    /// How many copies of packets arrive.
    pub deliveries: u8,
    /// How often time passes.
    pub passes: u8,
    /// How many planned stops begin.
    pub stops: u8,
    /// How many instances crash and are replaced under their name.
    pub crashes: u8,
    /// How often an instance wrongly believes that another was replaced.
    pub errors: u8,
}

/// What may happen next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The caller makes its next request.
    Request,
    /// A copy of a request arrives at an instance.
    Deliver(usize, usize),
    /// The upstream runs a call.
    Run(usize),
    /// A call ends.
    End(usize, CallResult),
    /// A frame that moves ledgers arrives.
    Arrive(usize, &'static str),
    /// An instance begins a planned stop.
    Stop(usize),
    /// Time passes.
    Pass,
    /// A process ends that has said that it may.
    Exit(usize),
    /// An instance crashes and is replaced.
    Crash(usize),
    /// An instance believes that another was replaced, while that one lives.
    Mislead(usize, usize),
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request => f.write_str("caller: makes its next request"),
            Self::Deliver(packet, at) => write!(f, "{}: gets request {}", setup::name(*at), packet + 1),
            Self::Run(call) => write!(f, "upstream: runs call {call}"),
            Self::End(call, result) => write!(f, "upstream: call {call} ends, {result:?}"),
            Self::Arrive(flight, kind) => write!(f, "frame {flight} arrives, {kind}"),
            Self::Stop(at) => write!(f, "{}: begins to stop", setup::name(*at)),
            Self::Pass => f.write_str("time passes"),
            Self::Exit(at) => write!(f, "{}: ends", setup::name(*at)),
            Self::Crash(at) => write!(f, "{}: crashes and is replaced", setup::name(*at)),
            Self::Mislead(at, other) => {
                let (at, other) = (setup::name(*at), setup::name(*other));
                write!(f, "{at}: believes wrongly that {other} was replaced")
            }
        }
    }
}

/// The system of whole nodes, within bounds.
#[derive(Debug, Clone, Copy)]
pub struct Whole {
    bounds: Bounds,
    order: u64,
}

impl Whole {
    /// The system within these bounds.
    pub fn new(bounds: Bounds) -> Self {
        Self { bounds, order: 0 }
    }

    /// The same system, whose events are tried in another order: a search that is not complete sees other states.
    #[must_use]
    pub fn ordered(self, order: u64) -> Self {
        Self { order, ..self }
    }

    fn events_of_calls(world: &World, events: &mut Vec<Event>) {
        for (index, call) in world.calls.iter().enumerate() {
            if !call.ran && !call.shed {
                events.push(Event::Run(index));
            }
            if !call.open {
                continue;
            }
            let end = if call.ran {
                CallResult::Answered(vec![call.seq as u8])
            } else {
                CallResult::Shed
            };
            events.push(Event::End(index, end));
            events.push(Event::End(index, CallResult::Failed));
        }
    }

    fn events_at(&self, world: &World, at: usize, events: &mut Vec<Event>) {
        if world.nodes[at].is_none() {
            return;
        }
        if world.deliveries < self.bounds.deliveries {
            events.extend((0..world.packets.len()).map(|packet| Event::Deliver(packet, at)));
        }
        if world.stops < self.bounds.stops {
            events.push(Event::Stop(at));
        }
        if world.crashes < self.bounds.crashes {
            events.push(Event::Crash(at));
        }
        if world.errors < self.bounds.errors {
            let others = (0..self.bounds.instances).filter(|other| *other != at);
            events.extend(others.map(|other| Event::Mislead(at, other)));
        }
        if world.ended.contains(&at) {
            events.push(Event::Exit(at));
        }
    }
}

impl Model for Whole {
    type State = World;
    type Action = Event;

    fn start(&self) -> World {
        World::new(self.bounds.instances, self.bounds.requests)
    }

    fn actions(&self, world: &World) -> Vec<Event> {
        let mut events = Vec::new();
        if world.packets.len() < self.bounds.requests {
            events.push(Event::Request);
        }
        Self::events_of_calls(world, &mut events);
        for (index, flight) in world.flights.iter().enumerate() {
            if flight.copies > 0 {
                events.push(Event::Arrive(index, kind(&flight.frame)));
            }
        }
        for at in 0..self.bounds.instances {
            self.events_at(world, at, &mut events);
        }
        if world.passes < self.bounds.passes {
            events.push(Event::Pass);
        }
        if self.order > 0 && !events.is_empty() {
            let shift = world.mixed(self.order) % events.len();
            events.rotate_left(shift);
        }
        events
    }

    fn step(&self, world: &World, event: &Event) -> World {
        let mut next = world.clone();
        match event {
            Event::Request => next.request(),
            Event::Deliver(packet, at) => {
                next.deliveries += 1;
                let bytes = next.packets[*packet].clone();
                next.event(*at, NodeEvent::Datagram(setup::caller(), bytes));
            }
            Event::Run(call) => next.run(*call),
            Event::End(call, result) => next.end_call(*call, result.clone()),
            Event::Arrive(flight, _) => {
                next.flights[*flight].copies -= 1;
                let flight = next.flights[*flight].clone();
                next.event(flight.to, NodeEvent::Frame(flight.from, flight.frame));
            }
            Event::Stop(at) => {
                next.stops += 1;
                next.event(*at, NodeEvent::Stop);
            }
            Event::Pass => {
                next.passes += 1;
                next.pass(PASS);
            }
            Event::Exit(at) => next.nodes[*at] = None,
            Event::Crash(at) => {
                next.crashes += 1;
                next.replace(*at);
            }
            Event::Mislead(at, other) => {
                next.errors += 1;
                next.mislead(*at, *other);
            }
        }
        next.seal();
        next
    }

    fn violation(&self, world: &World) -> Option<String> {
        if let Some(panicked) = &world.panicked {
            return Some(panicked.clone());
        }
        for (seq, runs) in world.runs.iter().enumerate() {
            if *runs > 1 {
                return Some(format!("request {seq} ran {runs} times"));
            }
            if *runs > 0 && world.said.contains(&(seq as u64, true)) {
                return Some(format!("request {seq} ran, and the caller was told `not run`"));
            }
        }
        None
    }
}

fn kind(frame: &Frame) -> &'static str {
    match frame {
        Frame::Handover(_) => "a hand-over",
        Frame::HandoverDone(_) => "word that it is done",
        Frame::HandoverRefused(_) => "word that it is refused",
        Frame::Resolved(_) => "word of a request's end",
        _ => "another frame",
    }
}
