//! Whether a demo held what the system promises, judged from both ends: what callers were told, and what upstreams ran.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use jayquayd::ExitReason;
use serde::Serialize;
use standin::upstream::expected_answer;
use units::Bytes;
use wire::Digest;
use wire::Verdict;

use crate::demo::world::Upstream;
use crate::demo::world::World;
use crate::traffic::Ended;
use crate::traffic::Summary;

/// How long after the first sign a leaving upstream may still get new work.
const LEAVING_WITHIN: Duration = Duration::from_secs(3);
/// The digits of a body's digest that upstreams report.
const DIGITS: usize = 16;

/// A promise, and how often it was broken.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Invariant {
    promise: &'static str,
    cases: usize,
    violations: usize,
}

impl Invariant {
    /// Judges each case of a promise.
    fn judge<T>(promise: &'static str, cases: impl IntoIterator<Item = T>, holds: impl Fn(&T) -> bool) -> Self {
        let mut judged = Self {
            promise,
            cases: 0,
            violations: 0,
        };
        for case in cases {
            judged.cases += 1;
            judged.violations += usize::from(!holds(&case));
        }
        judged
    }

    /// Whether it was never broken. One that was never put to the test does not hold.
    pub fn holds(&self) -> bool {
        self.violations == 0 && self.cases > 0
    }
}

impl fmt::Display for Invariant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let word = if self.holds() { "held  " } else { "BROKEN" };
        write!(f, "{word} {} ({} cases", self.promise, self.cases)?;
        if self.violations > 0 {
            write!(f, ", {} violations", self.violations)?;
        }
        f.write_str(")")
    }
}

/// Judges a demo by all promises.
pub fn invariants(ends: &[Ended], traffic: &Summary, world: &World) -> Vec<Invariant> {
    let runs = runs(world);
    let runs_of = |ended: &Ended| runs.get(&short_digest(&ended.body)).copied().unwrap_or(0);
    let holds = || ends.iter().filter(|ended| !ended.kind.idempotent);
    let not_run = |ended: &Ended| {
        ended
            .result
            .as_ref()
            .is_err_and(|failure| failure.verdict == Verdict::NotRun)
    };
    let answered = ends.iter().filter(|ended| ended.result.is_ok());
    vec![
        Invariant::judge("a hold runs at most once", holds(), |hold| runs_of(hold) <= 1),
        Invariant::judge(
            "an answered hold ran",
            holds().filter(|hold| hold.result.is_ok()),
            |hold| runs_of(hold) == 1,
        ),
        Invariant::judge(
            "a hold refused with `not run` did not run",
            holds().filter(|hold| not_run(hold)),
            |hold| runs_of(hold) == 0,
        ),
        Invariant::judge("an answer is the whole answer to its own request", answered, |ended| {
            is_own_answer(ended)
        }),
        Invariant::judge("an upstream sees only its own service", &world.upstreams, |upstream| {
            upstream.handle.counts().violations == 0
        }),
        Invariant {
            promise: "no flow breaks",
            cases: traffic.flows(),
            violations: traffic.broken(),
        },
        Invariant::judge(
            "a planned stop ends by itself and leaves nothing in doubt",
            world.replaced,
            |end| *end == ExitReason::Stopped(0),
        ),
        Invariant::judge(
            "a leaving upstream gets no new work after 3 s",
            world.draining.map(|index| &world.upstreams[index]),
            |upstream| upstream.handle.counts().last_after_drain_ms.duration() <= LEAVING_WITHIN,
        ),
    ]
}

/// How many holds ran so often at the upstreams.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct HoldRuns {
    never: usize,
    once: usize,
    more: usize,
}

impl HoldRuns {
    /// Counts the holds.
    pub fn new(ends: &[Ended], world: &World) -> Self {
        let runs = runs(world);
        let mut counted = Self::default();
        for hold in ends.iter().filter(|ended| !ended.kind.idempotent) {
            match runs.get(&short_digest(&hold.body)) {
                None => counted.never += 1,
                Some(1) => counted.once += 1,
                Some(_) => counted.more += 1,
            }
        }
        counted
    }
}

impl fmt::Display for HoldRuns {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { never, once, more } = self;
        write!(
            f,
            "holds at the upstreams: {once} ran once, {never} never, {more} more than once"
        )
    }
}

/// How often each request ran, by the digest of its body.
fn runs(world: &World) -> HashMap<String, u32> {
    let mut runs = HashMap::new();
    for run in world.upstreams.iter().flat_map(|upstream| upstream.handle.runs()) {
        *runs.entry(run.body).or_insert(0) += run.runs;
    }
    runs
}

fn short_digest(body: &[u8]) -> String {
    let mut digest = Digest::of(body).to_string();
    digest.truncate(DIGITS);
    digest
}

fn is_own_answer(ended: &Ended) -> bool {
    let Ok(answer) = &ended.result else {
        return false;
    };
    let service = crate::demo::world::SERVICES
        .iter()
        .find(|service| service.name == ended.service.as_str());
    let len = service.map_or(Bytes(0), |service| service.answer_len);
    *answer == expected_answer(&ended.service, &ended.kind.name, &ended.body, len)
}

/// How evenly a service's requests were spread over its upstreams while all took work.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Imbalance {
    service: String,
    /// How many requests each upstream ran.
    runs: Vec<u64>,
    max_over_mean: f64,
}

impl Imbalance {
    fn new(upstreams: &[&Upstream]) -> Self {
        let runs: Vec<u64> = upstreams.iter().map(|upstream| upstream.runs_before_drain).collect();
        let mean = runs.iter().sum::<u64>() as f64 / runs.len() as f64;
        let max = runs.iter().max().copied().unwrap_or(0);
        Self {
            service: upstreams[0].service.to_string(),
            max_over_mean: if mean > 0.0 { max as f64 / mean } else { 1.0 },
            runs,
        }
    }
}

impl fmt::Display for Imbalance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: upstreams ran {:?} requests before the drain, max/mean {:.2}",
            self.service, self.runs, self.max_over_mean
        )
    }
}

/// How evenly requests were spread, service by service.
pub fn imbalance(world: &World) -> Vec<Imbalance> {
    let upstreams: Vec<&Upstream> = world.upstreams.iter().collect();
    upstreams
        .chunk_by(|a, b| a.service == b.service)
        .map(Imbalance::new)
        .collect()
}
