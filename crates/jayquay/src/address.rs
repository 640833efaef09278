//! The platform's addresses, as an operator gives them.

use std::fmt;
use std::net::AddrParseError;
use std::net::SocketAddr;
use std::str::FromStr;

use bpaf::Bpaf;
use platform::Client;
use platform::Options;

/// One or more addresses, separated by commas.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Addresses(pub Vec<SocketAddr>);

/// A text is not a list of addresses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseAddressesError(AddrParseError);

impl fmt::Display for ParseAddressesError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}, such as 10.20.9.1:7000, or several with commas between", self.0)
    }
}

impl std::error::Error for ParseAddressesError {}

impl FromStr for Addresses {
    type Err = ParseAddressesError;

    fn from_str(text: &str) -> Result<Self, ParseAddressesError> {
        let addresses: Result<_, _> = text.split(',').map(|address| address.trim().parse()).collect();
        addresses.map(Self).map_err(ParseAddressesError)
    }
}

/// Where the platform is.
#[derive(Debug, Clone, PartialEq, Eq, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct PlatformArgs {
    /// The platform's addresses, with commas between.
    #[bpaf(long("platform"), env("JAYQUAY_PLATFORM"), argument("ADDRESSES"))]
    pub addresses: Addresses,
}

impl PlatformArgs {
    /// A client for these addresses.
    pub fn client(self) -> Client {
        Client::new(Options::new(self.addresses.0))
    }
}
