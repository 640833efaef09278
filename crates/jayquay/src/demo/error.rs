//! Why a demo could not be run.

use std::fmt;
use std::io;

use caller::OpenError;
use jayquayd::StartError;

/// Why a demo could not be run.
#[derive(Debug)]
pub enum Error {
    /// A stand-in could not be started.
    StandIn(io::Error),
    /// An instance could not be started.
    Instance(StartError),
    /// The instances were not ready to serve in time.
    NotReady,
    /// No flow could be opened.
    Open(OpenError),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::StandIn(error) => write!(f, "a stand-in could not be started: {error}"),
            Self::Instance(error) => write!(f, "an instance could not be started: {error}"),
            Self::NotReady => f.write_str("the instances were not ready to serve in time"),
            Self::Open(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Self::StandIn(error)
    }
}

impl From<StartError> for Error {
    fn from(error: StartError) -> Self {
        Self::Instance(error)
    }
}

impl From<OpenError> for Error {
    fn from(error: OpenError) -> Self {
        Self::Open(error)
    }
}
