//! Why a command of the flow mode brought nothing.

use std::fmt;
use std::io;
use std::path::PathBuf;

use crate::flows::holder::Holder;

/// Why a command brought nothing.
#[derive(Debug)]
pub enum Error {
    /// The store can't be read.
    Store(adapter::store::Error),
    /// An instance gave no answer, or one that can't be read.
    Instance(Holder, String),
    /// A holder has no document.
    NoDocument(Holder),
    /// A holder has a document that can't be read, and why.
    UnreadableDocument(Holder, String),
    /// A log can't be read.
    Log(PathBuf, io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store(error) => write!(f, "the store: {error}"),
            Self::Instance(holder, why) => write!(f, "{holder}: {why}"),
            Self::NoDocument(holder) => write!(f, "{holder} holds no document"),
            Self::UnreadableDocument(holder, why) => write!(f, "{holder} holds a document that can't be read: {why}"),
            Self::Log(path, error) => write!(f, "{}: {error}", path.display()),
        }
    }
}

impl std::error::Error for Error {}

impl From<adapter::store::Error> for Error {
    fn from(error: adapter::store::Error) -> Self {
        Self::Store(error)
    }
}
