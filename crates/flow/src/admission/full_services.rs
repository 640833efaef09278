//! Services in which a search has just found no free slot.

use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;
use units::Time;

use super::Room;

/// How long the result of a search is used. It is short compared to the age of the view of load.
const VALIDITY: Duration = Duration::from_millis(20);

/// Services in which a search has just found no free slot, with their room as of then. There is at most one entry for
/// each service with a route.
#[derive(Debug, Default)]
pub(crate) struct FullServices {
    rooms: HashMap<CompactString, (Time, Room)>,
    /// When free slots were last searched for.
    searched_at: HashMap<CompactString, Time>,
}

impl FullServices {
    pub(crate) fn insert(&mut self, service: &str, room: Room, now: Time) {
        self.rooms.insert(service.into(), (now, room));
    }

    /// Records a search for free slots. Returns the time since the previous one.
    pub(crate) fn record_search(&mut self, service: &str, now: Time) -> Duration {
        let previous = self.searched_at.insert(service.into(), now);
        previous.map_or(Duration::MAX, |previous| now.since(previous))
    }

    /// The room of a service without free slots, if a search was recent enough.
    pub(crate) fn room(&self, service: &str, now: Time) -> Option<Room> {
        let (at, room) = self.rooms.get(service)?;
        (now.since(*at) < VALIDITY).then_some(*room)
    }
}
