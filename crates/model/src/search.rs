//! Breadth-first search over all states of a model, with the shortest way to a violation.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::collections::hash_map::DefaultHasher;
use std::fmt;
use std::hash::Hash;
use std::hash::Hasher;

/// Something whose states can be explored.
pub trait Model {
    /// A state.
    type State: Hash;
    /// A step from one state to another.
    type Action: Clone + fmt::Display;

    /// The state at the beginning.
    fn start(&self) -> Self::State;

    /// The steps that are possible.
    fn actions(&self, state: &Self::State) -> Vec<Self::Action>;

    /// The state after a step.
    fn step(&self, state: &Self::State, action: &Self::Action) -> Self::State;

    /// What is wrong with a state, if anything.
    fn violation(&self, state: &Self::State) -> Option<String>;
}

/// A state that must not be, and the shortest way to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Found {
    /// What is wrong.
    pub violation: String,
    /// The steps that lead there.
    pub trace: Vec<String>,
}

impl fmt::Display for Found {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for step in &self.trace {
            writeln!(f, "{step}")?;
        }
        write!(f, "=> {}", self.violation)
    }
}

/// What a search has seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// How many different states were reached.
    pub states: usize,
    /// How many steps were taken.
    pub steps: usize,
    /// The length of the longest of the shortest ways.
    pub depth: usize,
    /// Whether every state was reached that there is.
    pub complete: bool,
    /// The violation, if there was one. The search ends with the first.
    pub found: Option<Found>,
}

impl Report {
    /// Where only the state that a model starts in was seen.
    fn of_start() -> Self {
        Self {
            states: 1,
            steps: 0,
            depth: 0,
            complete: true,
            found: None,
        }
    }
}

/// How a state was reached first.
struct Origin<A> {
    parent: usize,
    action: Option<A>,
    depth: usize,
}

/// Explores a model until every state was seen, a violation was found, or there are `max_states`.
///
/// States are told apart by a hash of 128 bits. Of ten million states, two share one with a chance below 10^-24.
pub fn explore<M: Model>(model: &M, max_states: usize) -> Report {
    let mut report = Report::of_start();
    let start = model.start();
    let mut seen = HashSet::from([fingerprint(&start)]);
    let mut origins = vec![Origin {
        parent: 0,
        action: None,
        depth: 0,
    }];
    let mut frontier = VecDeque::from([(0, start)]);
    while let Some((index, state)) = frontier.pop_front() {
        for action in model.actions(&state) {
            report.steps += 1;
            let next = model.step(&state, &action);
            if !seen.insert(fingerprint(&next)) {
                continue;
            }
            let depth = origins[index].depth + 1;
            origins.push(Origin {
                parent: index,
                action: Some(action),
                depth,
            });
            report.states += 1;
            report.depth = depth;
            if let Some(violation) = model.violation(&next) {
                let trace = trace(&origins, origins.len() - 1);
                report.found = Some(Found { violation, trace });
                report.complete = false;
                return report;
            }
            if report.states >= max_states {
                report.complete = false;
                return report;
            }
            frontier.push_back((origins.len() - 1, next));
        }
    }
    report
}

/// A state on the way to the one that is being looked at.
struct Stage<M: Model> {
    state: M::State,
    reached_by: Option<M::Action>,
    left: std::vec::IntoIter<M::Action>,
}

/// Explores a model as [`explore`] does, but depth first. It holds only the states on one way, so they may be large;
/// the way to a violation is not the shortest. The model must bound the length of every way.
pub fn explore_deep<M: Model>(model: &M, max_states: usize) -> Report {
    let mut report = Report::of_start();
    let start = model.start();
    let mut seen = HashSet::from([fingerprint(&start)]);
    let mut stages: Vec<Stage<M>> = vec![stage(model, start, None)];
    while let Some(last) = stages.last_mut() {
        let Some(action) = last.left.next() else {
            stages.pop();
            continue;
        };
        report.steps += 1;
        let next = model.step(&last.state, &action);
        if !seen.insert(fingerprint(&next)) {
            continue;
        }
        report.states += 1;
        let violation = model.violation(&next);
        stages.push(stage(model, next, Some(action)));
        report.depth = report.depth.max(stages.len() - 1);
        if let Some(violation) = violation {
            let steps = stages.iter().filter_map(|stage| stage.reached_by.as_ref());
            let trace = steps.map(ToString::to_string).collect();
            report.found = Some(Found { violation, trace });
        }
        if report.found.is_some() || report.states >= max_states {
            report.complete = false;
            return report;
        }
    }
    report
}

fn stage<M: Model>(model: &M, state: M::State, reached_by: Option<M::Action>) -> Stage<M> {
    let left = model.actions(&state).into_iter();
    Stage {
        state,
        reached_by,
        left,
    }
}

fn trace<A: fmt::Display>(origins: &[Origin<A>], last: usize) -> Vec<String> {
    let mut steps = Vec::new();
    let mut index = last;
    while let Some(action) = &origins[index].action {
        steps.push(action.to_string());
        index = origins[index].parent;
    }
    steps.reverse();
    steps
}

/// Two hashes of 64 bits over the same state, the second one salted.
fn fingerprint<S: Hash>(state: &S) -> (u64, u64) {
    let mut first = DefaultHasher::new();
    state.hash(&mut first);
    let mut second = DefaultHasher::new();
    0x9e37_79b9_7f4a_7c15_u64.hash(&mut second);
    state.hash(&mut second);
    (first.finish(), second.finish())
}
