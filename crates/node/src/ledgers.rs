//! The ledgers of all flows that an instance owns, and their expiry.

use std::collections::VecDeque;
use std::time::Duration;

use thin_vec::ThinVec;
use units::Incarnation;
use units::RequestSeq;
use units::Time;
use wire::Answer;
use wire::Reason;
use wire::TicketId;
use wire::Verdict;

use crate::FlowKey;
use crate::Ledger;
use crate::LedgerEntry;
use crate::RequestState;
use crate::flow_table::CallerGroup;
use crate::flow_table::FlowTable;

/// The maximum time that a copy of a datagram may be in flight. The ledger of a closed flow is kept for this long.
const MAX_PACKET_LIFETIME: Duration = Duration::from_mins(2);
/// The spare capacity that a queue may keep regardless of its length.
const SPARE_CAPACITY: usize = 256;
/// How soon a ledger that is due but still in use is checked again.
const RECHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The panic message if a request that is looked up, started or refused has no ledger.
const LEDGER_EXISTS: &str = "a request must be looked up first, which creates its flow's ledger";

/// The result of looking up a request that has been received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Lookup<'a> {
    /// It has not been received before and may start.
    New,
    /// It is at or below the floor, and there is no entry for it.
    TooOld,
    /// It has been received before.
    Known(&'a RequestState),
    /// The ledger is full of requests in progress.
    Full,
}

/// When the entry of an ended request is evicted.
#[derive(Debug, Clone)]
struct EntryExpiry {
    at: Time,
    key: FlowKey,
    seq: RequestSeq,
}

/// The ledgers of all flows that an instance owns.
#[derive(Debug, Clone)]
pub struct Ledgers {
    flows: FlowTable,
    ended: VecDeque<EntryExpiry>,
    /// Requests whose answers may still be held, oldest first.
    answers: VecDeque<(FlowKey, RequestSeq)>,
    answer_bytes: u64,
    ledger_retention: Duration,
    answer_retention: Duration,
}

impl Ledgers {
    /// Creates an empty set of ledgers.
    ///
    /// A ledger is kept for `ledger_retention` after its flow's last request, which must be longer than any token is
    /// valid. An answer is held for `answer_retention`.
    pub fn new(ledger_retention: Duration, answer_retention: Duration) -> Self {
        Self {
            flows: FlowTable::default(),
            ended: VecDeque::new(),
            answers: VecDeque::new(),
            answer_bytes: 0,
            ledger_retention,
            answer_retention,
        }
    }

    /// The number of flows with a ledger.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Whether no flow has a ledger.
    pub fn is_empty(&self) -> bool {
        self.flows.len() == 0
    }

    /// The number of bytes of answers that are held.
    pub fn answer_bytes(&self) -> u64 {
        self.answer_bytes
    }

    /// The number of expiry times that are queued for flows.
    pub fn expiries(&self) -> usize {
        self.flows.expiries()
    }

    /// Whether this flow has a ledger.
    pub fn contains(&self, key: FlowKey) -> bool {
        self.flows.contains(key)
    }

    /// Whether a group of callers may have one more flow, given a total limit of `limit` flows.
    ///
    /// A group may have as many flows as are left free, so one group gets at most half of the limit, two get a third
    /// each, and some are always left for others. A fixed share would be too small for a single caller or too large
    /// for the tenth.
    pub(crate) fn has_room(&self, group: CallerGroup, limit: usize) -> bool {
        self.flows.group_size(group) < limit.saturating_sub(self.len())
    }

    /// Assigns a flow to this group unless it already belongs to one. Flows that were handed over belong to no group.
    pub(crate) fn assign_group(&mut self, key: FlowKey, group: CallerGroup) {
        self.flows.assign_group(key, group);
    }

    /// The ledger of a flow.
    pub fn get(&self, key: FlowKey) -> Option<&Ledger> {
        self.flows.get(key)
    }

    /// Records the arrival of a request and returns its state. `floor` is taken from the token, `sent` from the packet.
    pub fn look_up(
        &mut self,
        key: FlowKey,
        floor: RequestSeq,
        seq: RequestSeq,
        sent: RequestSeq,
        now: Time,
    ) -> Lookup<'_> {
        let keep_until = now + self.ledger_retention;
        if !self.flows.contains(key) {
            let ledger = Ledger {
                floor,
                ..Ledger::default()
            };
            self.flows.insert(key, ledger, keep_until);
        }
        let ledger = self.flows.get_mut(key).expect(LEDGER_EXISTS);
        ledger.keep_until = keep_until;
        ledger.sent = ledger.sent.max(sent).max(seq);
        if let Some(index) = ledger.entries.iter().position(|entry| entry.seq == seq) {
            return Lookup::Known(&ledger.entries[index].state);
        }
        // The token's floor applies to this packet even if the ledger was created with a lower one.
        if seq <= ledger.floor.max(floor) {
            return Lookup::TooOld;
        }
        if !ledger.make_room() {
            return Lookup::Full;
        }
        // Making room may have raised the floor above this request.
        if seq <= ledger.floor {
            return Lookup::TooOld;
        }
        Lookup::New
    }

    /// Records that a request starts. May only follow a [`Lookup::New`].
    pub fn begin(&mut self, key: FlowKey, seq: RequestSeq, ticket: TicketId) {
        self.insert_new(key, seq, RequestState::Running(ticket));
    }

    fn insert_new(&mut self, key: FlowKey, seq: RequestSeq, state: RequestState) {
        let ledger = self.flows.get_mut(key).expect(LEDGER_EXISTS);
        assert!(
            ledger.entry(seq).is_none(),
            "a request must start or be refused at most once"
        );
        assert!(
            seq > ledger.floor,
            "a request at or below the floor may have run and must not start"
        );
        ledger.entries.push(LedgerEntry { seq, state });
    }

    /// Records how a request ended. If it has ended before, its first final state is kept.
    pub fn end(&mut self, key: FlowKey, seq: RequestSeq, state: RequestState, now: Time) {
        let Some(entry) = entry_mut(&mut self.flows, key, seq) else {
            return;
        };
        if entry.state.is_final() {
            return;
        }
        if let RequestState::Answered(answer) = &state {
            self.answer_bytes += answer.body.len() as u64;
            self.answers.push_back((key, seq));
        }
        let ended = state.is_final();
        entry.state = state;
        if ended {
            self.schedule_eviction(key, seq, now);
        }
    }

    /// Records the final refusal of a request that never started. May only follow a [`Lookup::New`].
    pub fn refuse(&mut self, key: FlowKey, seq: RequestSeq, reason: Reason, now: Time) {
        self.insert_new(key, seq, RequestState::Refused(Verdict::NotRun, reason));
        self.schedule_eviction(key, seq, now);
    }

    /// Schedules the eviction of an ended request's entry for when its answer need no longer be kept.
    fn schedule_eviction(&mut self, key: FlowKey, seq: RequestSeq, now: Time) {
        let at = now + self.answer_retention;
        self.ended.push_back(EntryExpiry { at, key, seq });
    }

    /// The answer of a request, if it is held.
    pub fn answer(&self, key: FlowKey, seq: RequestSeq) -> Option<&Answer> {
        let entry = self.get(key)?.entry(seq)?;
        match &entry.state {
            RequestState::Answered(answer) => Some(answer),
            _ => None,
        }
    }

    /// Discards an answer that the caller has received completely.
    pub fn forget_answer(&mut self, key: FlowKey, seq: RequestSeq) {
        let Some(entry) = entry_mut(&mut self.flows, key, seq) else {
            return;
        };
        if let RequestState::Answered(answer) = &entry.state {
            self.answer_bytes -= answer.body.len() as u64;
            entry.state = RequestState::AnswerDiscarded;
        }
    }

    /// Discards expired entries and ledgers, and the oldest answers beyond `max_bytes`.
    pub fn expire(&mut self, now: Time, max_bytes: u64) {
        while self.answer_bytes > max_bytes {
            let Some((key, seq)) = self.answers.pop_front() else {
                break;
            };
            self.forget_answer(key, seq);
        }
        while self.ended.front().is_some_and(|expiry| expiry.at <= now) {
            let Some(expiry) = self.ended.pop_front() else {
                break;
            };
            self.expire_entry(&expiry);
        }
        shrink_queue(&mut self.ended);
        shrink_queue(&mut self.answers);
        while let Some(key) = self.flows.first_due(now) {
            self.expire_flow(key, now);
        }
    }

    fn expire_entry(&mut self, expiry: &EntryExpiry) {
        self.forget_answer(expiry.key, expiry.seq);
        // Answers expire in the order in which they were added, so the front of the queue is this answer or an earlier
        // one.
        while let Some((key, seq)) = self.answers.front() {
            if self.answer(*key, *seq).is_some() {
                break;
            }
            self.answers.pop_front();
        }
        let Some(ledger) = self.flows.get_mut(expiry.key) else {
            return;
        };
        let ended = |entry: &LedgerEntry| entry.seq == expiry.seq && entry.state.is_final();
        let Some(index) = ledger.entries.iter().position(ended) else {
            return;
        };
        // Requests below this number that have not arrived yet are refused as too old from now on. They have been in
        // flight for so long that no caller waits for them.
        ledger.evict(index);
        if ledger.entries.is_empty() {
            ledger.entries = ThinVec::new();
        }
    }

    fn expire_flow(&mut self, key: FlowKey, now: Time) {
        let Some(ledger) = self.flows.get(key) else {
            return;
        };
        // Requests that were running at another instance have ended by now; the message that said so was lost.
        let running = |entry: &LedgerEntry| matches!(entry.state, RequestState::Running(_));
        if ledger.keep_until > now || ledger.entries.iter().any(running) {
            let due = ledger.keep_until.max(now + RECHECK_INTERVAL);
            return self.flows.set_due(key, due);
        }
        self.remove(key);
    }

    /// Records that the caller has closed a flow. Its ledger is kept for as long as copies of its packets may be in
    /// flight.
    pub fn close(&mut self, key: FlowKey, now: Time) {
        let Some(ledger) = self.flows.get_mut(key) else {
            return;
        };
        let keep_until = now + MAX_PACKET_LIFETIME;
        if ledger.keep_until <= keep_until {
            return;
        }
        ledger.keep_until = keep_until;
        self.flows.set_due(key, keep_until);
    }

    fn remove(&mut self, key: FlowKey) {
        let Some(ledger) = self.flows.remove(key) else {
            return;
        };
        for entry in ledger.entries {
            if let RequestState::Answered(answer) = entry.state {
                self.answer_bytes -= answer.body.len() as u64;
            }
        }
    }

    /// Installs a ledger that was handed over, retained as if a request had just arrived. An existing ledger of the
    /// flow is left unchanged.
    pub fn install(&mut self, key: FlowKey, mut ledger: Ledger, now: Time) {
        if self.flows.contains(key) {
            return;
        }
        ledger.keep_until = now + self.ledger_retention;
        for entry in &ledger.entries {
            if let RequestState::Answered(answer) = &entry.state {
                self.answer_bytes += answer.body.len() as u64;
                self.answers.push_back((key, entry.seq));
            }
            if entry.state.is_final() {
                self.schedule_eviction(key, entry.seq, now);
            }
        }
        let due = ledger.keep_until;
        self.flows.insert(key, ledger, due);
    }

    /// Marks a request that was in progress elsewhere as running here, because the other instance never ran it.
    pub fn resume(&mut self, key: FlowKey, seq: RequestSeq, ticket: TicketId) -> bool {
        let Some(entry) = entry_mut(&mut self.flows, key, seq) else {
            return false;
        };
        if !matches!(entry.state, RequestState::RunningElsewhere(_)) {
            return false;
        }
        entry.state = RequestState::Running(ticket);
        true
    }

    /// The other incarnation at which a request is in progress, if any.
    pub fn running_elsewhere_at(&self, key: FlowKey, seq: RequestSeq) -> Option<Incarnation> {
        let entry = self.get(key)?.entry(seq)?;
        match entry.state {
            RequestState::RunningElsewhere(incarnation) => Some(incarnation),
            _ => None,
        }
    }

    /// The requests that are in progress at this other incarnation.
    pub fn requests_running_at(&self, incarnation: Incarnation) -> Vec<(FlowKey, RequestSeq)> {
        let mut found = Vec::new();
        for (key, ledger) in self.flows.iter() {
            for entry in &ledger.entries {
                if entry.state == RequestState::RunningElsewhere(incarnation) {
                    found.push((key, entry.seq));
                }
            }
        }
        found.sort_unstable();
        found
    }

    /// Removes and returns all ledgers in a deterministic order.
    pub fn drain(&mut self) -> Vec<(FlowKey, Ledger)> {
        self.ended.clear();
        self.answers.clear();
        self.answer_bytes = 0;
        self.flows.drain()
    }
}

fn entry_mut(flows: &mut FlowTable, key: FlowKey, seq: RequestSeq) -> Option<&mut LedgerEntry> {
    let ledger = flows.get_mut(key)?;
    ledger.entries.iter_mut().find(|entry| entry.seq == seq)
}

/// Releases memory after a peak.
fn shrink_queue<T>(queue: &mut VecDeque<T>) {
    if queue.capacity() > 4 * queue.len() + SPARE_CAPACITY {
        queue.shrink_to(2 * queue.len() + SPARE_CAPACITY);
    }
}
