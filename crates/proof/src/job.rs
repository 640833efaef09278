//! What callers ask for. A request's body says what it is, so that an upstream and a check need no table.

use std::fmt;
use std::str::FromStr;

use units::KindName;
use units::RequestSeq;
use units::ServiceName;

/// Names one operation of one caller. A retry is the same operation under another request number.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId {
    /// The caller.
    pub caller: u32,
    /// The operation, counted per caller.
    pub number: u32,
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "c{}/{}", self.caller, self.number)
    }
}

/// Names one request: one attempt at an operation.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId {
    /// The caller.
    pub caller: u32,
    /// The request's number. A caller uses none twice, whatever flow it is in.
    pub seq: RequestSeq,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "c{}#{}", self.caller, self.seq)
    }
}

/// A text is not what a body says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseJobError;

impl FromStr for JobId {
    type Err = ParseJobError;

    fn from_str(text: &str) -> Result<Self, ParseJobError> {
        let rest = text.strip_prefix('c').ok_or(ParseJobError)?;
        let (caller, number) = rest.split_once('/').ok_or(ParseJobError)?;
        Ok(Self {
            caller: caller.parse().map_err(|_| ParseJobError)?,
            number: number.parse().map_err(|_| ParseJobError)?,
        })
    }
}

/// One operation as a request's body says it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// The operation.
    pub id: JobId,
    /// The service that the caller means.
    pub service: ServiceName,
    /// The kind of request.
    pub kind: KindName,
    /// How long the answer is, in bytes.
    pub answer_len: u32,
}

impl Job {
    /// The body.
    pub fn body(&self) -> Vec<u8> {
        format!("{} {} {} {}", self.id, self.service, self.kind, self.answer_len).into_bytes()
    }

    /// Reads a body.
    pub fn parse(body: &[u8]) -> Result<Self, ParseJobError> {
        let text = std::str::from_utf8(body).map_err(|_| ParseJobError)?;
        let mut parts = text.split(' ');
        let mut next = || parts.next().ok_or(ParseJobError);
        Ok(Self {
            id: next()?.parse()?,
            service: next()?.parse().map_err(|_| ParseJobError)?,
            kind: next()?.parse().map_err(|_| ParseJobError)?,
            answer_len: next()?.parse().map_err(|_| ParseJobError)?,
        })
    }

    /// The one right answer. It repeats what it answers, so that crossed chunks show.
    pub fn answer(&self) -> Vec<u8> {
        let line = format!("{} at {};", self.id, self.service);
        line.bytes().cycle().take(self.answer_len as usize).collect()
    }
}
