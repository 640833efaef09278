//! Why a command about the document failed.

use std::fmt;
use std::io;
use std::path::PathBuf;

use units::Revision;

/// Why a command about the document failed.
#[derive(Debug)]
pub enum Error {
    /// A file could not be read.
    File(PathBuf, io::Error),
    /// A document could not be applied, or whether it was is not known.
    Apply(apply::Refusal),
    /// The platform did not do its part.
    Platform(platform::Error),
    /// The platform holds no document.
    NoDocument,
    /// The platform does not hold this revision.
    NoRevision(Revision),
}

impl From<apply::Refusal> for Error {
    fn from(refusal: apply::Refusal) -> Self {
        Self::Apply(refusal)
    }
}

impl From<platform::Error> for Error {
    fn from(error: platform::Error) -> Self {
        Self::Platform(error)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File(path, error) => write!(f, "{} cannot be read: {error}", path.display()),
            Self::Apply(refusal) => refusal.fmt(f),
            Self::Platform(error) => error.fmt(f),
            Self::NoDocument => f.write_str("the platform holds no document yet"),
            Self::NoRevision(revision) => write!(f, "the platform does not hold revision {revision}"),
        }
    }
}

impl std::error::Error for Error {}
