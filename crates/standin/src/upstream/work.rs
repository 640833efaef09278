//! The slots of an upstream and what it has run.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng;
use rand::rngs::StdRng;
use units::Incarnation;
use units::Slots;

use crate::Share;
use crate::upstream::Counts;
use crate::upstream::Options;
use crate::upstream::RequestKey;
use crate::upstream::Run;
use crate::upstream::routes::Answer;

/// For how long the past load is kept, so that reports can lag.
const MAX_LAG: Duration = Duration::from_mins(1);

/// A short digest of a body.
type BodyDigest = [u8; 8];

/// What an upstream runs and has run.
#[derive(Debug)]
pub(crate) struct Work {
    slots: Slots,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    incarnation: Incarnation,
    started: Instant,
    draining_since: Option<Instant>,
    counts: Counts,
    runs: BTreeMap<(RequestKey, BodyDigest), u32>,
    /// How many requests ran from each of these instants on, oldest first.
    past: VecDeque<(Instant, Slots)>,
    random: StdRng,
    last_answer: Answer,
}

impl State {
    fn set_busy(&mut self, busy: u64) {
        let now = Instant::now();
        self.counts.busy = busy;
        self.counts.max_busy = self.counts.max_busy.max(busy);
        self.past.push_back((now, Slots(busy as u16)));
        // The newest entry that is older than the longest lag still tells the load at that time.
        while self
            .past
            .get(1)
            .is_some_and(|(at, _busy)| now.duration_since(*at) > MAX_LAG)
        {
            self.past.pop_front();
        }
    }
}

impl Work {
    /// An upstream that has run nothing.
    pub(crate) fn new(options: &Options) -> Self {
        let state = State {
            incarnation: options.incarnation,
            started: Instant::now(),
            draining_since: None,
            counts: Counts::default(),
            runs: BTreeMap::new(),
            past: VecDeque::new(),
            random: StdRng::seed_from_u64(options.seed),
            last_answer: Answer::default(),
        };
        Self {
            slots: options.slots,
            state: Mutex::new(state),
        }
    }

    /// Begins to run a request if a slot is free.
    pub(crate) fn begin(&self, request: RequestKey, body: &[u8]) -> Option<Slot<'_>> {
        let mut state = self.lock();
        if state.counts.busy >= u64::from(self.slots.0) {
            state.counts.shed += 1;
            return None;
        }
        let busy = state.counts.busy + 1;
        state.set_busy(busy);
        state.counts.runs += 1;
        *state.runs.entry((request, digest(body))).or_default() += 1;
        Some(Slot {
            work: self,
            finished: false,
        })
    }

    /// How many requests ran this long ago.
    pub(crate) fn busy(&self, ago: Duration) -> Slots {
        let state = self.lock();
        let Some(at) = Instant::now().checked_sub(ago) else {
            return Slots(0);
        };
        let past = state.past.iter().rev().find(|(since, _busy)| *since <= at);
        past.map(|(_since, busy)| *busy).unwrap_or_default()
    }

    /// Which life this is and how long it has lasted.
    pub(crate) fn life(&self) -> (Incarnation, Duration) {
        let state = self.lock();
        (state.incarnation, state.started.elapsed())
    }

    /// Begins the next life.
    pub(crate) fn next_life(&self) -> Incarnation {
        let mut state = self.lock();
        state.incarnation = Incarnation(state.incarnation.0 + 1);
        state.started = Instant::now();
        state.incarnation
    }

    /// Notes since when no new work is taken.
    pub(crate) fn note_draining(&self, draining: bool) {
        let mut state = self.lock();
        if !draining {
            state.draining_since = None;
            return;
        }
        state.draining_since.get_or_insert_with(Instant::now);
    }

    /// Counts a request that came while draining.
    pub(crate) fn refuse_draining(&self) {
        let mut state = self.lock();
        let since = state.draining_since.map(|since| since.elapsed());
        state.counts.refused_draining += 1;
        state.counts.last_after_drain_ms = since.unwrap_or_default().into();
    }

    /// Draws whether the next request or answer belongs to a share, and counts it if it does.
    pub(crate) fn draw(&self, share: Share) -> bool {
        let mut state = self.lock();
        let drawn = share.draw(&mut state.random);
        state.counts.disturbed += u64::from(drawn);
        drawn
    }

    /// Draws how long the next request takes.
    pub(crate) fn draw_time(&self, options: &Options) -> Duration {
        let mut state = self.lock();
        let factor = options.cold_start.factor_at(state.started.elapsed());
        options.service_time.draw(&mut state.random).mul_f64(factor)
    }

    /// What was counted so far.
    pub(crate) fn counts(&self) -> Counts {
        self.lock().counts
    }

    /// Counts something.
    pub(crate) fn count<F: FnOnce(&mut Counts)>(&self, change: F) {
        change(&mut self.lock().counts);
    }

    /// Keeps an answer and returns the one before it, which belongs to no request if there was none.
    pub(crate) fn swap_last_answer(&self, answer: Answer) -> Answer {
        std::mem::replace(&mut self.lock().last_answer, answer)
    }

    /// How often each request ran.
    pub(crate) fn runs(&self) -> Vec<Run> {
        let state = self.lock();
        let run = |((request, body), runs): (&(RequestKey, BodyDigest), &u32)| Run {
            request: *request,
            body: format!("{:016x}", u64::from_be_bytes(*body)),
            runs: *runs,
        };
        state.runs.iter().map(run).collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A slot that runs a request, freed when this is dropped. Dropped before its work is finished, it counts as
/// cancelled.
#[derive(Debug)]
pub(crate) struct Slot<'a> {
    work: &'a Work,
    finished: bool,
}

impl Slot<'_> {
    /// The request is no longer being run.
    pub(crate) fn finish(mut self) {
        self.finished = true;
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        let mut state = self.work.lock();
        let busy = state.counts.busy - 1;
        state.set_busy(busy);
        state.counts.cancelled += u64::from(!self.finished);
    }
}

fn digest(body: &[u8]) -> BodyDigest {
    let hash = blake3::hash(body);
    let mut short = [0; 8];
    short.copy_from_slice(&hash.as_bytes()[..8]);
    short
}
