//! Admission control under one load at a time, on a simulated service. Each test names the load.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use flow::FlowKey;
use flow::admission::Admission;
use flow::admission::AdmissionPolicy;
use flow::admission::Class;
use flow::admission::Opening;
use flow::admission::Room;
use units::Time;

const SLOTS: usize = 8;
const SERVICE_TIME: Duration = Duration::from_millis(40);
/// Openings per second that the slots can serve.
const CAPACITY: f64 = 200.0;
const TARGET: Duration = Duration::from_millis(400);
/// When a client retransmits an opening packet, after its first transmission.
const RETRANSMISSIONS: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
const MAX_RETRIES: u8 = 2;

const MOST_URGENT: Class = Class { rank: 0, count: 2 };
const LEAST_URGENT: Class = Class { rank: 1, count: 2 };
const ONLY: Class = Class { rank: 0, count: 1 };

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Openings of one kind at a constant rate.
#[derive(Debug, Clone, Copy)]
struct Load {
    class: Class,
    /// Addresses that open flows in turn, from this number on.
    addresses: (u8, u8),
    /// Relative to the capacity.
    rate: f64,
    from: Duration,
    to: Duration,
    /// Whether the clients retransmit and retry.
    is_persistent: bool,
}

impl Load {
    fn new(class: Class, rate: f64) -> Self {
        Self {
            class,
            addresses: (0, 20),
            rate,
            from: Duration::ZERO,
            to: Duration::from_secs(20),
            is_persistent: true,
        }
    }
}

/// A transmission of an opening packet.
#[derive(Debug, Clone, Copy)]
struct Packet {
    load: usize,
    address: u8,
    first_at: Time,
    retransmissions: u32,
    retries: u8,
}

/// What happened to the requests of a load.
#[derive(Debug, Default, Clone, Copy)]
struct Outcome {
    requests: u32,
    in_time: u32,
    late: u32,
    failed: u32,
    held: u32,
}

impl Outcome {
    fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.requests)
    }
}

/// A service with a queue, in front of which openings are admitted.
struct Simulation {
    loads: Vec<Load>,
    policy: AdmissionPolicy,
    free_at: [Time; SLOTS],
    packets: BTreeMap<(Time, u32), Packet>,
    outcomes: Vec<Outcome>,
    /// Times of all refusals, final or not.
    refused_at: Vec<Time>,
    max_wait: Duration,
    max_held: usize,
    port: u32,
}

impl Simulation {
    fn run(loads: Vec<Load>) -> Self {
        let mut simulation = Self {
            outcomes: vec![Outcome::default(); loads.len()],
            loads,
            policy: AdmissionPolicy::default(),
            free_at: [Time(0); SLOTS],
            packets: BTreeMap::new(),
            refused_at: Vec::new(),
            max_wait: Duration::ZERO,
            max_held: 0,
            port: 0,
        };
        simulation.schedule();
        while let Some(((now, port), packet)) = simulation.packets.pop_first() {
            simulation.handle(packet, port, now);
            simulation.max_held = simulation.max_held.max(simulation.policy.held_count());
        }
        simulation
    }

    fn schedule(&mut self) {
        for (index, load) in self.loads.clone().into_iter().enumerate() {
            let interval = Duration::from_secs_f64(1.0 / (load.rate * CAPACITY));
            let mut at = Time(0) + load.from;
            let (first, count) = load.addresses;
            let mut turn = 0;
            while at < Time(0) + load.to {
                let address = first + turn % count;
                turn = turn.wrapping_add(1) % count;
                self.outcomes[index].requests += 1;
                self.send(index, address, 0, at);
                at = at + interval;
            }
        }
    }

    /// Sends the opening packet of a new flow.
    fn send(&mut self, load: usize, address: u8, retries: u8, at: Time) {
        self.port += 1;
        let packet = Packet {
            load,
            address,
            first_at: at,
            retransmissions: 0,
            retries,
        };
        self.packets.insert((at, self.port), packet);
    }

    fn handle(&mut self, packet: Packet, port: u32, now: Time) {
        let load = self.loads[packet.load];
        let room = self.room(now);
        let opening = opening(load.class, packet.address, port, packet.retransmissions);
        let outcome = &mut self.outcomes[packet.load];
        match self.policy.decide("search", &opening, room, now) {
            Admission::Admit => {
                let slot = self.free_at.iter_mut().min().unwrap();
                self.max_wait = self.max_wait.max(now.until(*slot));
                *slot = now.max(*slot) + SERVICE_TIME;
                if slot.since(packet.first_at) <= TARGET {
                    outcome.in_time += 1;
                } else {
                    outcome.late += 1;
                }
            }
            Admission::Hold => {
                outcome.held += 1;
                if !load.is_persistent {
                    return;
                }
                let next = RETRANSMISSIONS[usize::try_from(packet.retransmissions).unwrap()];
                let again = Packet {
                    retransmissions: packet.retransmissions + 1,
                    ..packet
                };
                self.packets.insert((packet.first_at + next, port), again);
            }
            Admission::Refuse => {
                self.refused_at.push(now);
                if load.is_persistent && packet.retries < MAX_RETRIES {
                    self.send(packet.load, packet.address, packet.retries + 1, now + millis(6));
                } else {
                    outcome.failed += 1;
                }
            }
        }
    }

    fn room(&self, now: Time) -> Room {
        let free_at = *self.free_at.iter().min().unwrap();
        Room {
            has_free_slot: free_at <= now,
            expected: Some(now.until(free_at) + SERVICE_TIME),
            service_time: Some(SERVICE_TIME),
        }
    }

    /// The share of the capacity that was used for answers in time.
    fn use_of_capacity(&self) -> f64 {
        let in_time: u32 = self.outcomes.iter().map(|outcome| outcome.in_time).sum();
        f64::from(in_time) / (CAPACITY * 20.0)
    }
}

fn opening(class: Class, address: u8, port: u32, retransmissions: u32) -> Opening {
    let client = Ipv4Addr::new(198, 18, u8::try_from(port >> 16).unwrap(), address);
    let client = SocketAddrV4::new(client, (port & 0xffff) as u16);
    let route = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 440 + u16::from(class.rank));
    Opening {
        flow: FlowKey { client, route },
        class,
        target: Some(TARGET),
        timeout: Some(Duration::from_secs(5)),
        retransmissions,
    }
}

fn full(expected: Duration) -> Room {
    Room {
        has_free_slot: false,
        expected: Some(expected),
        service_time: Some(SERVICE_TIME),
    }
}

/// Guards against urgent openings being refused because less urgent ones have taken the queue.
#[test]
fn a_flood_of_less_urgent_openings_beside_urgent_ones() {
    let loads = vec![Load::new(MOST_URGENT, 0.7), Load::new(LEAST_URGENT, 3.0)];
    let simulation = Simulation::run(loads);
    let [urgent, other] = simulation.outcomes[..] else {
        panic!()
    };
    assert!(urgent.share_in_time() > 0.99, "{urgent:?}");
    assert!(other.share_in_time() > 0.08, "{other:?}");
    assert!(simulation.use_of_capacity() > 0.95, "{:?}", simulation.outcomes);
}

/// Guards against the least urgent class being starved.
#[test]
fn a_flood_of_urgent_openings_beside_less_urgent_ones() {
    let loads = vec![Load::new(MOST_URGENT, 3.0), Load::new(LEAST_URGENT, 0.5)];
    let simulation = Simulation::run(loads);
    let [urgent, other] = simulation.outcomes[..] else {
        panic!()
    };
    let share = f64::from(other.in_time) / f64::from(other.in_time + urgent.in_time);
    assert!((0.08..0.2).contains(&share), "{share} {:?}", simulation.outcomes);
    assert_eq!(urgent.late + other.late, 0);
}

/// Guards against one client taking the capacity that the others need.
#[test]
fn one_address_that_opens_ten_times_as_many() {
    let heavy = Load {
        addresses: (100, 1),
        ..Load::new(ONLY, 0.45)
    };
    let simulation = Simulation::run(vec![Load::new(ONLY, 0.9), heavy]);
    let [others, heavy] = simulation.outcomes[..] else {
        panic!()
    };
    assert!(others.share_in_time() > 0.97, "{others:?}");
    assert!((0.1..0.5).contains(&heavy.share_in_time()), "{heavy:?}");
    assert!(simulation.use_of_capacity() > 0.95, "{:?}", simulation.outcomes);
}

/// Guards against a second wave: openings that were held or refused must not be served late or refused again after the
/// burst.
#[test]
fn a_burst_that_ends() {
    let burst = Load {
        from: Duration::from_secs(4),
        to: Duration::from_secs(8),
        ..Load::new(ONLY, 4.0)
    };
    let simulation = Simulation::run(vec![Load::new(ONLY, 0.6), burst]);
    let last = simulation.refused_at.iter().max().unwrap();
    assert!(*last < Time(0) + millis(8_450), "the last refusal at {last}");
    assert!(simulation.max_wait <= TARGET, "{:?}", simulation.max_wait);
    assert!(simulation.outcomes.iter().all(|outcome| outcome.late == 0));
}

/// Guards against openings being refused for a shortage that is over before their retransmissions arrive.
#[test]
fn a_burst_that_is_shorter_than_a_retransmission_takes() {
    let burst = Load {
        from: millis(4_000),
        to: millis(4_050),
        ..Load::new(LEAST_URGENT, 9.0)
    };
    let simulation = Simulation::run(vec![Load::new(MOST_URGENT, 0.5), burst]);
    let [normal, burst] = simulation.outcomes[..] else {
        panic!()
    };
    assert!(normal.held + burst.held > 0, "{normal:?} {burst:?}");
    let in_time = normal.in_time + burst.in_time;
    assert_eq!(in_time, normal.requests + burst.requests, "{normal:?} {burst:?}");
}

/// Guards against openings being held while the shortage lasts: their retransmissions would take the place of new
/// openings that have more time left.
#[test]
fn a_shortage_that_lasts() {
    let simulation = Simulation::run(vec![Load::new(ONLY, 0.8), Load::new(LEAST_URGENT, 3.0)]);
    let held: u32 = simulation.outcomes.iter().map(|outcome| outcome.held).sum();
    let requests: u32 = simulation.outcomes.iter().map(|outcome| outcome.requests).sum();
    assert!(f64::from(held) < f64::from(requests) * 0.03, "{held} of {requests}");
}

/// Guards against a service without priorities wasting its capacity on answers that are too late.
#[test]
fn all_openings_of_one_class() {
    let simulation = Simulation::run(vec![Load::new(ONLY, 2.0)]);
    let [only] = simulation.outcomes[..] else { panic!() };
    assert_eq!(only.late, 0);
    assert!(simulation.use_of_capacity() > 0.95, "{only:?}");
}

/// Guards against openings failing that could be served after their retransmission, and against newer ones going first.
#[test]
fn openings_that_are_retransmitted() {
    let mut policy = AdmissionPolicy::default();
    let start = Time(1_000_000);
    let late = full(TARGET + millis(1));
    let first = opening(ONLY, 1, 1, 0);
    assert_eq!(policy.decide("search", &first, late, start), Admission::Hold);
    let newer = opening(ONLY, 1, 2, 0);
    let now = start + millis(190);
    let nearly_full = full(millis(150));
    assert_eq!(policy.assess("search", &newer, nearly_full, now), Admission::Hold);
    let again = opening(ONLY, 1, 1, 1);
    let now = start + millis(200);
    assert_eq!(policy.decide("search", &again, nearly_full, now), Admission::Admit);
    assert_eq!(policy.assess("search", &newer, nearly_full, now), Admission::Admit);
    let other = opening(ONLY, 1, 3, 1);
    assert_eq!(policy.assess("search", &other, late, now), Admission::Refuse);
}

/// Guards against clients that never return: they must not block others, nor fill memory.
#[test]
fn callers_that_never_finish() {
    let gone = Load {
        is_persistent: false,
        ..Load::new(ONLY, 20.0)
    };
    let mut simulation = Simulation::run(vec![gone]);
    assert!(simulation.max_held <= 60, "{}", simulation.max_held);
    let now = Time(0) + Duration::from_secs(21);
    let next = opening(ONLY, 50, 0xffff, 0);
    let admission = simulation.policy.decide("search", &next, full(TARGET), now);
    assert_eq!(admission, Admission::Admit);
}

/// Guards against refusals while capacity is free or unknown.
#[test]
fn any_opening_is_admitted_while_a_slot_is_free_or_the_load_is_unknown() {
    let mut policy = AdmissionPolicy::default();
    let free = Room {
        has_free_slot: true,
        ..full(TARGET * 4)
    };
    for room in [free, Room::default()] {
        for port in 0..1_000 {
            let opening = opening(LEAST_URGENT, 1, port, 2);
            let now = Time(u64::from(port) * 10_000);
            assert_eq!(policy.decide("search", &opening, room, now), Admission::Admit);
        }
    }
}

/// Guards against an answer being computed for a client that has given up, also where the target is longer than that.
#[test]
fn an_opening_that_its_client_gives_up_before_the_answer_is_refused() {
    let mut policy = AdmissionPolicy::default();
    let mut opening = opening(ONLY, 1, 1, 0);
    opening.timeout = Some(millis(210));
    let room = full(millis(220));
    assert_eq!(policy.decide("search", &opening, room, Time(1)), Admission::Refuse);
    opening.timeout = None;
    assert_eq!(policy.decide("search", &opening, room, Time(1)), Admission::Admit);
}

/// Guards against an overflow for an upstream so slow that its response time can't be expressed.
#[test]
fn an_opening_is_refused_where_the_expected_response_time_has_no_bound() {
    let mut policy = AdmissionPolicy::default();
    for retransmissions in 0..=3 {
        let opening = opening(ONLY, 1, retransmissions, retransmissions);
        let room = Room {
            service_time: None,
            ..full(Duration::MAX)
        };
        assert_eq!(policy.decide("search", &opening, room, Time(1)), Admission::Refuse);
    }
}
