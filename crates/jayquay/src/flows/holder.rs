//! Who holds a document: the store, or an instance.

use std::fmt;
use std::net::AddrParseError;
use std::net::SocketAddr;
use std::str::FromStr;

/// Who holds a document, as an operator names it: `store:ADDRESS` or `instance:ADDRESS`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Holder {
    /// The platform's store.
    Store(SocketAddr),
    /// An instance, by its peers' address.
    Instance(SocketAddr),
}

impl fmt::Display for Holder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store(address) => write!(f, "store:{address}"),
            Self::Instance(address) => write!(f, "instance:{address}"),
        }
    }
}

/// A text names no holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParseHolderError {
    /// It is neither a store nor an instance.
    Kind,
    /// Its address is none.
    Address(AddrParseError),
}

impl fmt::Display for ParseHolderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Kind => f.write_str("write store:ADDRESS or instance:ADDRESS"),
            Self::Address(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for ParseHolderError {}

impl FromStr for Holder {
    type Err = ParseHolderError;

    fn from_str(text: &str) -> Result<Self, ParseHolderError> {
        let (kind, address) = text.split_once(':').ok_or(ParseHolderError::Kind)?;
        let address = || address.parse().map_err(ParseHolderError::Address);
        match kind {
            "store" => Ok(Self::Store(address()?)),
            "instance" => Ok(Self::Instance(address()?)),
            _ => Err(ParseHolderError::Kind),
        }
    }
}
