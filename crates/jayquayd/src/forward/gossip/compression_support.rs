//! Addresses whose instances support compressed messages, as their own messages say. During a rolling upgrade, some
//! don't.

use std::collections::HashSet;
use std::net::SocketAddr;

/// Maximum number of addresses, more than a fleet has, since restarted instances use new addresses. When it is
/// reached, the set is cleared, which costs one uncompressed message per address.
const MAX_ADDRESSES: usize = 8_192;

/// The addresses that support compressed messages.
#[derive(Debug, Default)]
pub(super) struct CompressionSupport(HashSet<SocketAddr>);

impl CompressionSupport {
    pub(super) fn insert(&mut self, address: SocketAddr) {
        if self.0.len() >= MAX_ADDRESSES {
            self.0.clear();
        }
        self.0.insert(address);
    }

    pub(super) fn contains(&self, address: &SocketAddr) -> bool {
        self.0.contains(address)
    }
}
