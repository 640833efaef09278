//! How many flows each client address opens here, relative to the other addresses of the same route.
//!
//! Addresses are compared within a route, as some routes need a flow for each request and others keep flows open.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use units::Time;

use crate::decaying_count::DecayingCount;

/// Time constant of the counts. An instance of a large fleet sees only some openings of each address.
const SPAN: Duration = Duration::from_secs(10);
/// How many times the mean of the other addresses an address may open.
const TOLERATED_MULTIPLE: f64 = 2.0;
/// Openings that an address may have beyond that. With means of some openings within the span, chance rarely explains
/// more.
const TOLERATED_EXCESS: f64 = 4.0;
/// Count below which an address is forgotten.
const NEGLIGIBLE: f64 = 0.5;
/// The maximum number of addresses of all routes. Addresses beyond it are not limited until a sweep has made room.
const MAX_ADDRESSES: usize = 4_096;

#[derive(Debug, Default, Clone, Copy)]
struct Address {
    count: DecayingCount,
    /// Its count in the latest sweep, zero if it was not part of that.
    swept: f64,
}

/// Sums over the addresses of a route in the latest sweep.
#[derive(Debug, Default, Clone, Copy)]
struct Totals {
    count: f64,
    addresses: u32,
}

/// Openings by route and client address.
#[derive(Debug, Default)]
pub(super) struct FairShares {
    addresses: BTreeMap<(SocketAddrV4, Ipv4Addr), Address>,
    totals: BTreeMap<SocketAddrV4, Totals>,
}

impl FairShares {
    /// Records an opening.
    pub(super) fn record(&mut self, route: SocketAddrV4, client: Ipv4Addr, now: Time) {
        let key = (route, client);
        if self.addresses.len() >= MAX_ADDRESSES && !self.addresses.contains_key(&key) {
            return;
        }
        self.addresses.entry(key).or_default().count.add(1, SPAN, now);
    }

    /// Whether an address opens more than its share, while others ask too.
    pub(super) fn is_over(&self, route: SocketAddrV4, client: Ipv4Addr, now: Time) -> bool {
        let (Some(address), Some(totals)) = (self.addresses.get(&(route, client)), self.totals.get(&route)) else {
            return false;
        };
        let others = totals.addresses - u32::from(address.swept > 0.0);
        if others == 0 {
            return false;
        }
        let mean = (totals.count - address.swept).max(0.0) / f64::from(others);
        address.count.value(SPAN, now) > mean * TOLERATED_MULTIPLE + TOLERATED_EXCESS
    }

    /// Forgets addresses that have opened little recently, and updates the sums. If the table is more than half full,
    /// the addresses that open no more than the mean of all are forgotten too.
    pub(super) fn sweep(&mut self, now: Time) {
        let sum: f64 = self
            .addresses
            .values()
            .map(|address| address.count.value(SPAN, now))
            .sum();
        let is_crowded = self.addresses.len() > MAX_ADDRESSES / 2;
        let mean = sum / self.addresses.len().max(1) as f64;
        let minimum = if is_crowded { mean.max(NEGLIGIBLE) } else { NEGLIGIBLE };
        self.totals.clear();
        for ((route, _), address) in &mut self.addresses {
            address.swept = address.count.value(SPAN, now);
            if address.swept < NEGLIGIBLE {
                continue;
            }
            let totals = self.totals.entry(*route).or_default();
            totals.count += address.swept;
            totals.addresses += 1;
        }
        self.addresses.retain(|_, address| address.swept > minimum);
    }
}
