//! A fake of the fabric between callers and instances: how often and how late a packet arrives.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

use crate::fault::Mishap;

/// What the fabric does to packets, in percent.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Fabric {
    lose: u32,
    double: u32,
    delay: u32,
    reorder: u32,
    replay: u32,
    /// How often a caller sends an earlier request again under another token.
    pub(crate) rewrap: u32,
    /// How often it alters a chunk of an answer.
    pub(crate) corrupt: u32,
    /// How often a stranger sends an altered copy.
    pub(crate) tamper: u32,
}

impl Fabric {
    /// Sets how many packets meet with a mishap.
    pub(crate) fn set(&mut self, mishap: Mishap, percent: u32) {
        match mishap {
            Mishap::Lose => self.lose = percent,
            Mishap::Double => self.double = percent,
            Mishap::Delay => self.delay = percent,
            Mishap::Reorder => self.reorder = percent,
            Mishap::Replay => self.replay = percent,
            Mishap::Rewrap => self.rewrap = percent,
            Mishap::Corrupt => self.corrupt = percent,
            Mishap::Tamper => self.tamper = percent,
        }
    }

    /// How long each copy of a packet takes.
    pub(crate) fn copies(&self, rng: &mut StdRng) -> Vec<Duration> {
        let copies = if hit(rng, self.double) { 2 } else { 1 };
        let mut delays = Vec::new();
        for _ in 0..copies {
            if hit(rng, self.lose) {
                continue;
            }
            delays.push(self.delay(rng));
        }
        if hit(rng, self.replay) {
            delays.push(millis(rng, 5_000, 20_000));
        }
        delays
    }

    fn delay(&self, rng: &mut StdRng) -> Duration {
        let mut micros = rng.random_range(1_000..3_000);
        if hit(rng, self.reorder) {
            micros += rng.random_range(0..50_000);
        }
        if hit(rng, self.delay) {
            micros += rng.random_range(0..2_000_000);
        }
        Duration::from_micros(micros)
    }
}

/// Draws with a chance in percent.
pub(crate) fn hit(rng: &mut StdRng, percent: u32) -> bool {
    percent > 0 && rng.random_range(0..100) < percent
}

/// Draws a span between two bounds in milliseconds.
pub(crate) fn millis(rng: &mut StdRng, low: u64, high: u64) -> Duration {
    Duration::from_micros(rng.random_range(low * 1_000..high * 1_000))
}
