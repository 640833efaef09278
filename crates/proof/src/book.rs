//! What is known of every operation and request of a run, and the checks on it.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use caller::Failure;
use units::Time;
use wire::Verdict;

use crate::job::Job;
use crate::job::JobId;
use crate::job::RequestId;
use crate::violation::Promise;
use crate::violation::Violation;

/// How an operation ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// With the right answer.
    Answered,
    /// Without one.
    Failed(Failure),
}

#[derive(Debug)]
struct Operation {
    job: Job,
    idempotent: bool,
    deadline: Time,
    /// Whether it was asked for in a flow that was open before.
    established: bool,
    runs: u32,
    end: Option<End>,
}

#[derive(Debug, Default)]
struct Request {
    runs: u32,
    not_run: bool,
}

/// How the operations of a run ended.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Summary {
    /// Asked for.
    pub asked: u32,
    /// Answered, whole and right.
    pub answered: u32,
    /// Refused, and surely not run.
    pub not_run: u32,
    /// Refused, and possibly run.
    pub may_have_run: u32,
    /// Without any final answer.
    pub open: u32,
    /// The most runs of one operation that is not idempotent.
    pub most_runs: u32,
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "asked {}, answered {}", self.asked, self.answered)?;
        write!(f, ", not run {}, may have run {}", self.not_run, self.may_have_run)?;
        write!(f, ", open {}", self.open)?;
        write!(f, ", most runs of one hold {}", self.most_runs)
    }
}

/// The book of a run.
#[derive(Debug, Default)]
pub(crate) struct Book {
    operations: BTreeMap<JobId, Operation>,
    requests: BTreeMap<RequestId, Request>,
    /// Whether only planned changes have happened so far, so that no flow may break.
    pub(crate) planned_only: bool,
}

impl Book {
    /// A caller asks for something.
    pub(crate) fn ask(&mut self, job: &Job, idempotent: bool, deadline: Time, established: bool) {
        let operation = Operation {
            job: job.clone(),
            idempotent,
            deadline,
            established,
            runs: 0,
            end: None,
        };
        self.operations.insert(job.id, operation);
    }

    /// An upstream begins to run a request.
    pub(crate) fn run(&mut self, now: Time, id: RequestId, job: JobId) -> Result<(), Violation> {
        let request = self.requests.entry(id).or_default();
        request.runs += 1;
        if request.not_run {
            let text = format!("request {id} runs after it was refused as not run");
            return Err(violation(Promise::NotRunIsTrue, now, job, text));
        }
        let Some(operation) = self.operations.get_mut(&job) else {
            let text = format!("operation {job} was never asked for");
            return Err(violation(Promise::RightService, now, job, text));
        };
        operation.runs += 1;
        if operation.told_not_run() {
            let text = format!("operation {job} runs as request {id} after it failed as not run");
            return Err(violation(Promise::NotRunIsTrue, now, job, text));
        }
        if !operation.idempotent && operation.runs > 1 {
            let text = format!("operation {job} runs {} times, now as request {id}", operation.runs);
            return Err(violation(Promise::AtMostOnce, now, job, text));
        }
        Ok(())
    }

    /// An instance says that a request has not run and never will.
    pub(crate) fn say_not_run(&mut self, now: Time, id: RequestId, job: Option<JobId>) -> Result<(), Violation> {
        let request = self.requests.entry(id).or_default();
        request.not_run = true;
        if request.runs == 0 {
            return Ok(());
        }
        let text = format!("request {id} is refused as not run after it ran");
        Err(violation(Promise::NotRunIsTrue, now, job.unwrap_or_default(), text))
    }

    /// A caller gets a whole answer.
    pub(crate) fn answer(&mut self, now: Time, job: JobId, body: &[u8]) -> Result<(), Violation> {
        let Some(operation) = self.operations.get_mut(&job) else {
            return Ok(());
        };
        if body != operation.job.answer() {
            let got = String::from_utf8_lossy(&body[..body.len().min(40)]).into_owned();
            let text = format!("operation {job} gets {} bytes: {got}", body.len());
            return Err(violation(Promise::OwnAnswer, now, job, text));
        }
        operation.finish(now, End::Answered)
    }

    /// A caller gives an operation up.
    pub(crate) fn fail(&mut self, now: Time, job: JobId, end: End) -> Result<(), Violation> {
        let Some(operation) = self.operations.get_mut(&job) else {
            return Ok(());
        };
        operation.finish(now, end)?;
        let End::Failed(failure) = end else {
            return Ok(());
        };
        let told_not_run = operation.told_not_run();
        if told_not_run && operation.runs > 0 {
            let text = format!("operation {job} fails as not run, and ran");
            return Err(violation(Promise::NotRunIsTrue, now, job, text));
        }
        if self.planned_only && operation.established && !told_not_run {
            let text = format!("operation {job} breaks under planned changes only: {failure}");
            return Err(violation(Promise::FlowSurvives, now, job, text));
        }
        Ok(())
    }

    /// No operation is open past its deadline and `margin`.
    pub(crate) fn check_ends(&self, now: Time, margin: Duration) -> Result<(), Violation> {
        for (id, operation) in &self.operations {
            if operation.end.is_none() && now > operation.deadline + margin {
                let text = format!("operation {id} has no final answer");
                return Err(violation(Promise::FinalAnswer, now, *id, text));
            }
        }
        Ok(())
    }

    /// How the operations ended.
    pub(crate) fn summary(&self) -> Summary {
        let mut summary = Summary::default();
        for operation in self.operations.values() {
            summary.asked += 1;
            match operation.end {
                Some(End::Answered) => summary.answered += 1,
                Some(End::Failed(failure)) if failure.verdict == Verdict::NotRun => summary.not_run += 1,
                Some(End::Failed(_)) => summary.may_have_run += 1,
                None => summary.open += 1,
            }
            if !operation.idempotent {
                summary.most_runs = summary.most_runs.max(operation.runs);
            }
        }
        summary
    }

    /// How many operations ended in each way, in words.
    pub(crate) fn endings(&self) -> BTreeMap<String, u32> {
        let mut endings = BTreeMap::new();
        for operation in self.operations.values() {
            let words = match operation.end {
                Some(End::Failed(failure)) => format!("{}: {}", failure.verdict, failure.reason),
                _ => continue,
            };
            *endings.entry(words).or_default() += 1;
        }
        endings
    }

    /// How one operation ended, in words.
    pub(crate) fn told(&self, job: JobId) -> String {
        let Some(operation) = self.operations.get(&job) else {
            return "unknown".to_owned();
        };
        match operation.end {
            None => "open".to_owned(),
            Some(End::Answered) => "answered".to_owned(),
            Some(End::Failed(failure)) => failure.verdict.to_string(),
        }
    }
}

impl Operation {
    fn told_not_run(&self) -> bool {
        matches!(self.end, Some(End::Failed(failure)) if failure.verdict == Verdict::NotRun)
    }

    fn finish(&mut self, now: Time, end: End) -> Result<(), Violation> {
        if self.end.is_some() {
            let text = format!("operation {} ends twice", self.job.id);
            return Err(violation(Promise::OwnAnswer, now, self.job.id, text));
        }
        self.end = Some(end);
        Ok(())
    }
}

fn violation(promise: Promise, at: Time, job: JobId, text: String) -> Violation {
    Violation {
        promise,
        at,
        job: Some(job),
        text,
    }
}
