//! The upstreams of a soak: which lived when, and what became of them.

use std::collections::HashMap;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use adapter_standin::Store;
use adapter_standin::Upstream;
use adapter_standin::WorkLimits;
use flow::Echo;
use flow::UpstreamId;

use crate::violation::Book;
use crate::violation::Violation;

/// How long a leaving upstream still accepts flows without a fault being found, counted from its entry's change.
const DRAIN: Duration = Duration::from_secs(3);
/// How long a leaving upstream goes on.
pub(crate) const LEAVES_AFTER: Duration = Duration::from_secs(5);

/// One place for an upstream, which one after another holds.
#[derive(Debug)]
struct Seat {
    service: &'static str,
    zone: &'static str,
    id: UpstreamId,
    upstream: Upstream,
}

/// One that leaves.
#[derive(Debug)]
struct Leaving {
    service: &'static str,
    zone: &'static str,
    id: UpstreamId,
    upstream: Upstream,
    since: Instant,
    /// Whether a flow that came too late was noted.
    is_noted: bool,
}

/// Which upstreams live, as clients may ask.
#[derive(Debug, Clone, Default)]
pub(crate) struct Living {
    by_echo: Arc<Mutex<HashMap<Echo, Life>>>,
}

/// What is known of one upstream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Life {
    pub(crate) id: UpstreamId,
    pub(crate) service: &'static str,
    pub(crate) is_alive: bool,
    /// Flows that clients have open there, and the largest number of them at a time.
    open: u32,
    most_open: u32,
}

impl Living {
    fn lives(&self) -> MutexGuard<'_, HashMap<Echo, Life>> {
        self.by_echo.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The upstream that an echo stands for.
    pub(crate) fn find(&self, echo: Echo) -> Option<Life> {
        self.lives().get(&echo).copied()
    }

    /// Notes that a client has opened a flow.
    pub(crate) fn note_open(&self, echo: Echo) {
        if let Some(life) = self.lives().get_mut(&echo) {
            life.open += 1;
            life.most_open = life.most_open.max(life.open);
        }
    }

    /// Notes that a client has ended a flow.
    pub(crate) fn note_closed(&self, echo: Echo) {
        if let Some(life) = self.lives().get_mut(&echo) {
            life.open = life.open.saturating_sub(1);
        }
    }

    /// Counts the largest numbers of open flows from now on.
    pub(crate) fn restart_count(&self) {
        for life in self.lives().values_mut() {
            life.most_open = life.open;
        }
    }

    /// The living upstreams that had more flows open than a limit, each with the largest number of them.
    pub(crate) fn above(&self, limit: u32) -> Vec<(UpstreamId, u32)> {
        let lives = self.lives();
        let above = lives.values().filter(|life| life.is_alive && life.most_open > limit);
        above.map(|life| (life.id, life.most_open)).collect()
    }

    fn end(&self, id: UpstreamId) {
        if let Some(life) = self.lives().get_mut(&id.echo()) {
            life.is_alive = false;
        }
    }
}

/// The upstreams of a soak.
#[derive(Debug)]
pub(crate) struct Upstreams {
    ip: Ipv4Addr,
    port: u16,
    next: u64,
    /// The work that each upstream does at a time.
    limits: Option<WorkLimits>,
    seats: Vec<Seat>,
    leaving: Vec<Leaving>,
    /// Those that have ended.
    ended: Vec<UpstreamId>,
    pub(crate) living: Living,
}

impl Upstreams {
    pub(crate) fn new(ip: Ipv4Addr, port: u16, limits: Option<WorkLimits>) -> Self {
        Self {
            ip,
            port,
            next: 0x10,
            limits,
            seats: Vec::new(),
            leaving: Vec::new(),
            ended: Vec::new(),
            living: Living::default(),
        }
    }

    /// Starts an upstream at a new address.
    pub(crate) async fn add(&mut self, store: &Store, service: &'static str, zone: &'static str) -> io::Result<()> {
        let address = SocketAddrV4::new(self.ip, 0);
        let seat = self.start(store, service, zone, address).await?;
        self.seats.push(seat);
        Ok(())
    }

    async fn start(
        &mut self,
        store: &Store,
        service: &'static str,
        zone: &'static str,
        address: SocketAddrV4,
    ) -> io::Result<Seat> {
        self.next += 1;
        let id = UpstreamId(self.next);
        let upstream = Upstream::start(id, &id.to_string(), address, self.port).await?;
        upstream.set_limits(self.limits);
        let life = Life {
            id,
            service,
            is_alive: true,
            open: 0,
            most_open: 0,
        };
        self.living.lives().insert(id.echo(), life);
        store.put_upstream(id, service, upstream.address(), zone, "ready");
        Ok(Seat {
            service,
            zone,
            id,
            upstream,
        })
    }

    /// An upstream crashes. The next one, of the same service, starts at its address at once.
    pub(crate) async fn crash(&mut self, index: usize, store: &Store) -> io::Result<()> {
        let old = self.seats.remove(index);
        let address = old.upstream.address();
        self.living.end(old.id);
        old.upstream.crash().await;
        store.remove_upstream(old.id);
        self.ended.push(old.id);
        let new = self.start(store, old.service, old.zone, address).await?;
        self.seats.insert(index, new);
        Ok(())
    }

    /// An upstream leaves. The next one starts first.
    pub(crate) async fn leave(&mut self, index: usize, store: &Store) -> io::Result<()> {
        let (service, zone) = (self.seats[index].service, self.seats[index].zone);
        let new = self.start(store, service, zone, SocketAddrV4::new(self.ip, 0)).await?;
        let old = std::mem::replace(&mut self.seats[index], new);
        store.put_upstream(old.id, service, old.upstream.address(), zone, "draining");
        self.leaving.push(Leaving {
            service,
            zone,
            id: old.id,
            upstream: old.upstream,
            since: Instant::now(),
            is_noted: false,
        });
        Ok(())
    }

    /// Ends those whose time is up. `calm_since` is when the last disturbance of instances and store ended: a flow that
    /// was opened at a leaving upstream later than the bound, in calm, is a broken promise.
    pub(crate) fn tend(&mut self, store: &Store, calm_since: Instant, book: &Book) {
        for leaving in &mut self.leaving {
            let bound = (leaving.since + DRAIN).max(calm_since + DRAIN);
            let is_late = leaving.upstream.last_opened().is_some_and(|at| at > bound);
            if is_late && !std::mem::replace(&mut leaving.is_noted, true) {
                book.add(Violation::Drained(format!("upstream {}", leaving.id)));
            }
        }
        let over = self
            .leaving
            .extract_if(.., |leaving| leaving.since.elapsed() > LEAVES_AFTER);
        for leaving in over {
            self.living.end(leaving.id);
            store.remove_upstream(leaving.id);
            self.ended.push(leaving.id);
        }
    }

    /// All write their entries again, as a store that has come back from an older copy may have lost them, and those of upstreams that
    /// have ended lapse.
    pub(crate) fn write_again(&self, store: &Store) {
        for seat in &self.seats {
            store.put_upstream(seat.id, seat.service, seat.upstream.address(), seat.zone, "ready");
        }
        for leaving in &self.leaving {
            let address = leaving.upstream.address();
            store.put_upstream(leaving.id, leaving.service, address, leaving.zone, "draining");
        }
        for id in &self.ended {
            store.remove_upstream(*id);
        }
    }

    /// Those of a zone that were opened a flow at later than some time.
    pub(crate) fn opened_in(&self, zone: &str, after: Instant) -> Vec<UpstreamId> {
        let seats = self.seats.iter().filter(|seat| seat.zone == zone);
        let late = seats.filter(|seat| seat.upstream.last_opened().is_some_and(|at| at > after));
        late.map(|seat| seat.id).collect()
    }

    /// Sets how long a request takes at an upstream, or ends that.
    pub(crate) fn set_service_time(&self, index: usize, time: Option<Duration>) {
        let limits = self.limits.map(|limits| WorkLimits {
            service_time: time.unwrap_or(limits.service_time),
            ..limits
        });
        self.seats[index].upstream.set_limits(limits);
    }

    /// An upstream of a service that has had a free slot since before some time.
    pub(crate) fn free_since(&self, service: &str, then: Instant) -> Option<UpstreamId> {
        let mut seats = self.seats.iter().filter(|seat| seat.service == service);
        let free = seats.find(|seat| seat.upstream.free_since().is_some_and(|since| since <= then));
        free.map(|seat| seat.id)
    }

    pub(crate) fn count(&self) -> usize {
        self.seats.len()
    }
}
