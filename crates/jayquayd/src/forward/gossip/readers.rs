//! Which addresses read compressed messages: those whose own messages say so. While a fleet is rolled out, some don't.

use std::collections::HashSet;
use std::net::SocketAddr;

/// How many addresses are remembered: more than a fleet has, whose instances come and go under new addresses. Beyond, they begin anew,
/// which costs each one message that is not compressed.
const MOST: usize = 8_192;

/// The addresses that read compressed messages.
#[derive(Debug, Default)]
pub(super) struct Readers(HashSet<SocketAddr>);

impl Readers {
    pub(super) fn insert(&mut self, address: SocketAddr) {
        if self.0.len() >= MOST {
            self.0.clear();
        }
        self.0.insert(address);
    }

    pub(super) fn contains(&self, address: &SocketAddr) -> bool {
        self.0.contains(address)
    }
}
