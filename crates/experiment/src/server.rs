//! An upstream of the model.

use std::collections::VecDeque;

use units::Time;

use crate::job::Ticket;

/// An upstream of the model: some slots and, for the baselines only, a queue.
#[derive(Debug, Clone)]
pub(crate) struct Server {
    pub(crate) zone: usize,
    pub(crate) slots: u32,
    pub(crate) running: u32,
    pub(crate) queue: VecDeque<Ticket>,
    /// Requests that reached it before and during the event.
    pub(crate) calls: [u64; 2],
    area: f64,
    area_at: Time,
}

impl Server {
    pub(crate) fn new(zone: usize, slots: u32) -> Self {
        Self {
            zone,
            slots,
            running: 0,
            queue: VecDeque::new(),
            calls: [0, 0],
            area: 0.0,
            area_at: Time(0),
        }
    }

    /// How many requests are at it.
    pub(crate) fn present(&self) -> usize {
        self.running as usize + self.queue.len()
    }

    /// Must be called before `running` or `queue` change.
    pub(crate) fn note(&mut self, now: Time) {
        let span = now.since(self.area_at).as_secs_f64();
        self.area += span * self.present() as f64 / f64::from(self.slots);
        self.area_at = now;
    }

    /// The load since this was last asked for: requests at it over slots, times seconds.
    pub(crate) fn take_area(&mut self, now: Time) -> f64 {
        self.note(now);
        std::mem::take(&mut self.area)
    }
}
