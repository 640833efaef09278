//! What of a document can't be read costs as little as it can, whatever was in force before.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use flow::Core;
use flow::Decision;
use flow::Document;
use flow::Echo;
use flow::Fallback;
use flow::Flags;
use flow::Options;
use flow::Packet;
use flow::ResetCause;
use flow::Subject;
use flow::Upstream;
use flow::UpstreamId;
use flow::Verdict;
use flow::draft;
use flow::draft::DraftValue;
use flow::draft::Kind;
use flow::draft::LONGEST_IDLE;
use flow::draft::NoRouteError;
use units::Position;
use units::Revision;
use units::Slots;
use units::Time;
use units::Weight;

fn address(port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), port)
}

fn share(service: &str) -> draft::Share {
    draft::Share {
        service: DraftValue::Known(service.to_owned()),
        weight: DraftValue::Known(Weight(1)),
    }
}

fn route(port: u16) -> draft::Route {
    draft::Route {
        name: format!("r-{port}"),
        address: DraftValue::Known(address(port)),
        kind: DraftValue::Known(Kind::Idempotent),
        aim: DraftValue::Known(Duration::from_millis(120)),
        shares: vec![share("search")],
    }
}

fn document(revision: u64, routes: Vec<draft::Route>) -> draft::Document {
    draft::Document {
        revision: Revision(revision),
        routes,
        idle_timeout: DraftValue::Known(Duration::from_secs(15)),
        services: Vec::new(),
    }
}

fn unknown<T>() -> DraftValue<T> {
    DraftValue::Unknown("later".to_owned())
}

/// Reads a document of two routes, the first of which was changed.
fn read(change: impl FnOnce(&mut draft::Route)) -> Document {
    let mut changed = route(1);
    change(&mut changed);
    Document::try_from(document(1, vec![changed, route(2)])).unwrap()
}

/// The one warning of a document.
fn warning(document: &Document) -> (Subject, Fallback) {
    let [warning] = document.warnings.as_slice() else {
        panic!("one warning expected: {:?}", document.warnings);
    };
    (warning.subject.clone(), warning.reading)
}

#[test]
fn a_route_whose_kind_is_unknown_is_served_and_runs_once_at_most() {
    for kind in [unknown(), DraftValue::Absent] {
        let document = read(|route| route.kind = kind);
        assert_eq!(warning(&document), (Subject::Route("r-1".to_owned()), Fallback::Once));
        assert!(!document.routes["r-1"].idempotent && document.routes["r-2"].idempotent);
    }
}

#[test]
fn a_value_that_little_hangs_on_is_taken_for_not_told() {
    let document = read(|route| route.aim = unknown());
    assert_eq!(warning(&document).1, Fallback::Absent);
    assert_eq!(document.routes["r-1"].aim, Duration::ZERO);
    let not_told = read(|route| route.aim = DraftValue::Absent);
    assert_eq!(not_told.warnings, []);

    let mut draft = document_with_service(unknown(), DraftValue::Known("4".parse().unwrap()));
    let cold = Document::try_from(draft.clone()).unwrap();
    assert_eq!(
        warning(&cold),
        (Subject::Service("search".to_owned()), Fallback::Absent)
    );
    assert_eq!(cold.cold_starts["search"].lasts, Duration::ZERO);
    draft.idle_timeout = unknown();
    draft.services.clear();
    let idle = Document::try_from(draft).unwrap();
    assert_eq!(warning(&idle), (Subject::Document, Fallback::LongestIdle));
    assert_eq!(idle.idle_timeout, LONGEST_IDLE);
}

fn document_with_service(lasts: DraftValue<Duration>, rate: DraftValue<units::Rate>) -> draft::Document {
    let service = draft::Service {
        name: "search".to_owned(),
        lasts,
        rate,
    };
    draft::Document {
        services: vec![service],
        ..document(1, vec![route(1)])
    }
}

#[test]
fn a_share_is_left_out_alone_and_one_without_a_weight_gets_nothing_beside_others() {
    let document = read(|route| {
        route.shares.push(draft::Share {
            service: unknown(),
            weight: DraftValue::Known(Weight(3)),
        });
    });
    assert_eq!(warning(&document).1, Fallback::ShareLeftOut);
    assert_eq!(document.routes["r-1"].shares.len(), 1);

    let document = read(|route| {
        route.shares.push(draft::Share {
            service: DraftValue::Known("photos".to_owned()),
            weight: unknown(),
        });
    });
    assert_eq!(warning(&document).1, Fallback::NoWeight);
    for port in 1..200 {
        let client = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
        assert_eq!(document.routes["r-1"].service_for(client), Some("search"));
    }
}

#[test]
fn a_route_that_cannot_be_used_is_left_out_alone() {
    let without_services = |route: &mut draft::Route| route.shares.clear();
    let without_address = |route: &mut draft::Route| route.address = unknown();
    for document in [read(without_services), read(without_address)] {
        assert_eq!(
            warning(&document),
            (Subject::Route("r-1".to_owned()), Fallback::LeftOut)
        );
        assert_eq!(document.routes.keys().collect::<Vec<_>>(), ["r-2"]);
    }
}

#[test]
fn a_document_none_of_whose_routes_can_be_used_is_none() {
    let mut unusable = route(1);
    unusable.address = unknown();
    let error = Document::try_from(document(1, vec![unusable])).unwrap_err();
    let NoRouteError { first } = &error;
    assert_eq!(first.subject, Subject::Route("r-1".to_owned()));
    assert!(error.to_string().contains("\"later\""), "{error}");
    let empty = Document::try_from(document(1, Vec::new())).unwrap();
    assert_eq!(empty.warnings, [], "one without routes says what it means");
}

#[test]
fn warnings_travel_with_a_document_and_are_no_part_of_its_digest() {
    let with = read(|route| route.kind = unknown());
    let mut without = with.clone();
    without.warnings.clear();
    assert_eq!(with.digest(), without.digest());
}

/// A core that holds documents, one after the other, and an upstream of each service.
struct World {
    core: Core,
    now: Time,
}

impl World {
    fn new() -> Self {
        let core = Core::new(Options {
            zone: "zone-a".parse().unwrap(),
            max_flow: Duration::from_mins(1),
            awaits_evacuations: false,
            seed: 1,
        });
        let mut world = Self { core, now: Time(1) };
        let now = world.now;
        let upstream = Upstream {
            service: "search".into(),
            address: address(9),
            zone: "zone-a".parse().unwrap(),
            slots: Slots(2),
            leaving: false,
            cold_for: Duration::ZERO,
            started: None,
        };
        let list = vec![(UpstreamId(1), Revision(1), upstream)];
        world
            .core
            .learn(now, |knowledge| knowledge.apply_list(Revision(1), list, now));
        world
    }

    fn take(&mut self, at: u64, draft: draft::Document) {
        let document = Document::try_from(draft).unwrap();
        let at = Position::from(Revision(at));
        self.core
            .learn(self.now, |knowledge| knowledge.apply_document(at, document));
    }

    fn open(&mut self, port: u16) -> Verdict {
        let packet = Packet {
            client: address(4_000),
            route: address(port),
            flags: Flags::SYN,
            seq: 1,
            ack: 0,
            echo: Echo::NONE,
            len: 0,
        };
        self.core.handle_packet(&packet, self.now)
    }

    /// The documents of which something new can't be read.
    fn unread(&mut self) -> Vec<Revision> {
        let decisions = self.core.take_decisions().into_iter();
        let unread = decisions.filter_map(|decision| match decision {
            Decision::DocumentWarning { document, .. } => Some(document),
            _ => None,
        });
        unread.collect()
    }
}

fn is_refused(verdict: Verdict) -> bool {
    matches!(verdict, Verdict::Reset(reset) if reset.cause == ResetCause::NoRoute)
}

/// The first of two ways: nothing was in force.
#[test]
fn at_a_start_all_routes_are_served_but_the_one_that_is_left_out() {
    let mut world = World::new();
    let mut unusable = route(1);
    unusable.address = unknown();
    world.take(2, document(1, vec![unusable, route(2)]));
    assert!(is_refused(world.open(1)));
    assert!(matches!(world.open(2), Verdict::Forward { .. }));
}

/// The second: an earlier document was. What the newer one says of other routes is in force, and the route that it leaves out is
/// refused at every instance, whether it knew the earlier one or not.
#[test]
fn after_an_earlier_document_the_same_holds_as_at_a_start() {
    let mut world = World::new();
    world.take(2, document(1, vec![route(1)]));
    assert!(matches!(world.open(1), Verdict::Forward { .. }));
    let mut unusable = route(1);
    unusable.shares.clear();
    world.take(3, document(2, vec![unusable, route(2)]));
    assert!(is_refused(world.open(1)));
    assert!(matches!(world.open(2), Verdict::Forward { .. }));
}

#[test]
fn what_cannot_be_read_is_told_once_for_each_cause() {
    let mut world = World::new();
    let with_unknown = || {
        let mut later = route(1);
        later.kind = unknown();
        later
    };
    world.take(2, document(1, vec![with_unknown()]));
    assert_eq!(world.unread(), [Revision(1)]);
    world.take(3, document(2, vec![with_unknown(), route(2)]));
    assert_eq!(world.unread(), []);
    world.take(4, document(3, vec![route(1)]));
    world.take(5, document(4, vec![with_unknown()]));
    assert_eq!(world.unread(), [Revision(4)], "it has come back");
}
