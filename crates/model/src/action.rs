//! The steps of the explored system, and which of them are possible.

use std::fmt;

use crate::protocol::Protocol;
use crate::state::Frame;
use crate::state::Packet;
use crate::state::Phase;
use crate::state::Reply;
use crate::state::State;
use crate::state::Stop;
use crate::state::Word;

/// A step of the explored system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Action(pub(crate) Step);

#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Step {
    /// The caller sends its next request.
    Send,
    /// The caller sends a used number under the token it holds now.
    Restamp(u8),
    /// The caller gets a reply.
    Receive(Reply),
    /// An owner gets a packet.
    Own(u8, Packet),
    /// An instance gets a packet whose owner it takes for gone, and offers a token of this home.
    Orphan(u8, Packet, u8),
    /// An owner calls an upstream with a request that waits.
    Call(u8, (u8, u8)),
    /// The upstream runs a call.
    Run(u8),
    /// A call ends with an answer.
    Answer(u8, (u8, u8), Option<u8>),
    /// A call is turned away before it begins.
    Shed(u8, (u8, u8)),
    /// An owner gives a request up: its deadline has passed, or its call has failed.
    GiveUp(u8, (u8, u8)),
    /// An instance hands its ledgers over to another.
    HandOver(u8, u8),
    /// An instance gets a frame.
    Deliver(u8, Frame),
    /// An instance takes another for dead.
    TakeForDead(u8, u8),
    /// Ended lines sink below the floor.
    Sink(u8),
    /// An instance is gone.
    Crash(u8),
}

impl Protocol {
    /// The steps that are possible in a state.
    pub(crate) fn steps(&self, state: &State) -> Vec<Step> {
        let mut steps = Vec::new();
        if state.used < self.scope.requests {
            steps.push(Step::Send);
        }
        if self.scope.careless && state.used > 0 {
            steps.push(Step::Restamp(state.used));
        }
        let news = state.replies.iter().filter(|reply| self.adopts(state, **reply));
        steps.extend(news.map(|reply| Step::Receive(*reply)));
        let open = state
            .calls
            .iter()
            .enumerate()
            .filter(|(_, call)| !call.ran && !call.shed);
        steps.extend(open.map(|(index, _)| Step::Run(index as u8)));
        for at in 0..self.scope.instances {
            if state.instances[usize::from(at)].alive {
                self.steps_at(state, at, &mut steps);
            }
        }
        steps
    }

    fn steps_at(&self, state: &State, at: u8, steps: &mut Vec<Step>) {
        let instance = &state.instances[usize::from(at)];
        for packet in &state.packets {
            if self.owns(instance, packet.token.owner) {
                steps.push(Step::Own(at, *packet));
            } else {
                let homes = self.scope.homes.iter();
                steps.extend(homes.map(|home| Step::Orphan(at, *packet, *home)));
            }
        }
        for (request, phase) in &instance.tickets {
            match phase {
                Phase::Waiting => steps.push(Step::Call(at, *request)),
                Phase::Calling(call) => self.steps_of_call(state, at, *request, *call, steps),
            }
            if self.scope.gives_up {
                steps.push(Step::GiveUp(at, *request));
            }
        }
        for frame in &state.frames {
            if is_for(frame, at) {
                steps.push(Step::Deliver(at, frame.clone()));
            }
        }
        for other in (0..self.scope.instances).filter(|other| *other != at) {
            let doubts = instance.books.values().any(|book| !book.elsewhere(other).is_empty());
            if doubts {
                steps.push(Step::TakeForDead(at, other));
            }
            if state.stops < self.scope.stops && instance.stop == Stop::Serving {
                steps.push(Step::HandOver(at, other));
            }
        }
        if self.scope.sinks && !instance.books.is_empty() {
            steps.push(Step::Sink(at));
        }
        if state.crashes < self.scope.crashes {
            steps.push(Step::Crash(at));
        }
    }

    fn steps_of_call(&self, state: &State, at: u8, request: (u8, u8), call: u8, steps: &mut Vec<Step>) {
        let call = state.calls[usize::from(call)];
        if call.ran {
            steps.push(Step::Answer(at, request, None));
            let homes = self.scope.homes.iter().filter(|home| **home != request.0);
            steps.extend(homes.map(|home| Step::Answer(at, request, Some(*home))));
        } else if state.sheds < self.scope.sheds {
            steps.push(Step::Shed(at, request));
        }
    }
}

fn is_for(frame: &Frame, at: u8) -> bool {
    match frame {
        Frame::Handover(handover) => handover.to == at,
        Frame::Done { from, .. } | Frame::Refused { from, .. } => *from == at,
        Frame::Resolved(resolved) => resolved.at != at,
    }
}

fn name(instance: u8) -> char {
    char::from(b'A' + instance)
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Step::Send => f.write_str("caller: sends its next request"),
            Step::Restamp(seq) => write!(f, "caller: sends request {seq} anew under its present token"),
            Step::Receive(reply) => write!(f, "caller: gets {reply}"),
            Step::Own(at, packet) => write!(f, "{}: as owner gets {packet}", name(*at)),
            Step::Orphan(at, packet, home) => {
                write!(
                    f,
                    "{}: takes the owner for gone, {packet}, offers {}",
                    name(*at),
                    name(*home)
                )
            }
            Step::Call(at, (_, seq)) => write!(f, "{}: calls an upstream with request {seq}", name(*at)),
            Step::Run(call) => write!(f, "upstream: runs call {call}"),
            Step::Answer(at, (_, seq), home) => {
                write!(f, "{}: has the answer of request {seq}", name(*at))?;
                home.map_or(Ok(()), |home| write!(f, ", offers {}", name(home)))
            }
            Step::Shed(at, (_, seq)) => write!(f, "{}: request {seq} was turned away", name(*at)),
            Step::GiveUp(at, (_, seq)) => write!(f, "{}: gives request {seq} up", name(*at)),
            Step::HandOver(at, to) => write!(f, "{}: hands its ledgers over to {}", name(*at), name(*to)),
            Step::Deliver(at, frame) => write!(f, "{}: gets {frame}", name(*at)),
            Step::TakeForDead(at, other) => write!(f, "{}: takes {} for dead", name(*at), name(*other)),
            Step::Sink(at) => write!(f, "{}: lets ended lines sink", name(*at)),
            Step::Crash(at) => write!(f, "{}: crashes", name(*at)),
        }
    }
}

impl fmt::Display for Packet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "request {} (token of {}, floor {})",
            self.seq,
            name(self.token.owner),
            self.token.floor
        )
    }
}

impl fmt::Display for Reply {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let word = match self.word {
            Word::Answer => "the answer",
            Word::NotRun => "`not run`",
            Word::MayHaveRun => "`may have run`",
        };
        write!(f, "{word} of request {}", self.seq)?;
        let Some(token) = self.granted else {
            return Ok(());
        };
        write!(f, " and a token of {}, floor {}", name(token.owner), token.floor)
    }
}

impl fmt::Display for Frame {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Handover(handover) => write!(f, "the ledgers of {}", name(handover.from)),
            Self::Done { to, .. } => write!(f, "word that {} has taken over", name(*to)),
            Self::Refused { to, .. } => write!(f, "word that {} takes nothing", name(*to)),
            Self::Resolved(resolved) => {
                let what = if resolved.word.is_some() {
                    "ended"
                } else {
                    "goes on elsewhere"
                };
                write!(f, "word that request {} of {} {what}", resolved.seq, name(resolved.at))
            }
        }
    }
}
