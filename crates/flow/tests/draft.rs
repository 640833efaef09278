//! An unreadable part of a document affects as little else as possible, whatever document was in effect before.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::num::NonZeroU32;
use std::time::Duration;

use flow::Core;
use flow::Decision;
use flow::Document;
use flow::Echo;
use flow::Fallback;
use flow::Flags;
use flow::Options;
use flow::Packet;
use flow::Priority;
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
        priority: DraftValue::Absent,
        timeout: DraftValue::Absent,
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

/// Reads a document of two routes after changing the first.
fn read_changed(change: impl FnOnce(&mut draft::Route)) -> Document {
    let mut changed = route(1);
    change(&mut changed);
    Document::try_from(document(1, vec![changed, route(2)])).unwrap()
}

/// The only warning of a document.
fn warning(document: &Document) -> (Subject, Fallback) {
    let [warning] = document.warnings.as_slice() else {
        panic!("one warning expected: {:?}", document.warnings);
    };
    (warning.subject.clone(), warning.reading)
}

#[test]
fn a_route_of_unknown_kind_is_served_as_not_idempotent() {
    for kind in [unknown(), DraftValue::Absent] {
        let document = read_changed(|route| route.kind = kind);
        assert_eq!(warning(&document), (Subject::Route("r-1".to_owned()), Fallback::Once));
        assert!(!document.routes["r-1"].idempotent && document.routes["r-2"].idempotent);
    }
}

#[test]
fn an_unknown_optional_value_is_treated_as_absent() {
    let document = read_changed(|route| route.aim = unknown());
    assert_eq!(warning(&document).1, Fallback::Absent);
    assert_eq!(document.routes["r-1"].aim, Duration::ZERO);
    let absent = read_changed(|route| route.aim = DraftValue::Absent);
    assert_eq!(absent.warnings, []);

    let document = read_changed(|route| route.timeout = unknown());
    assert_eq!(warning(&document).1, Fallback::Absent);
    assert_eq!(document.routes["r-1"].timeout, None);

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
        connection_limit: DraftValue::Absent,
    };
    draft::Document {
        services: vec![service],
        ..document(1, vec![route(1)])
    }
}

#[test]
fn an_unknown_share_alone_is_omitted_and_one_without_a_weight_gets_no_flows() {
    let document = read_changed(|route| {
        route.shares.push(draft::Share {
            service: unknown(),
            weight: DraftValue::Known(Weight(3)),
        });
    });
    assert_eq!(warning(&document).1, Fallback::ShareLeftOut);
    assert_eq!(document.routes["r-1"].shares.len(), 1);

    let document = read_changed(|route| {
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
fn an_unusable_route_alone_is_omitted() {
    let without_services = |route: &mut draft::Route| route.shares.clear();
    let without_address = |route: &mut draft::Route| route.address = unknown();
    for document in [read_changed(without_services), read_changed(without_address)] {
        assert_eq!(
            warning(&document),
            (Subject::Route("r-1".to_owned()), Fallback::LeftOut)
        );
        assert_eq!(document.routes.keys().collect::<Vec<_>>(), ["r-2"]);
    }
}

#[test]
fn a_document_without_any_usable_route_is_rejected() {
    let mut unusable = route(1);
    unusable.address = unknown();
    let error = Document::try_from(document(1, vec![unusable])).unwrap_err();
    let NoRouteError { first } = &error;
    assert_eq!(first.subject, Subject::Route("r-1".to_owned()));
    assert!(error.to_string().contains("\"later\""), "{error}");
    let empty = Document::try_from(document(1, Vec::new())).unwrap();
    assert_eq!(empty.warnings, [], "a document without routes is valid");
}

#[test]
fn warnings_are_not_part_of_the_digest_of_a_document() {
    let with = read_changed(|route| route.kind = unknown());
    let mut without = with.clone();
    without.warnings.clear();
    assert_eq!(with.digest(), without.digest());
}

#[test]
fn an_unknown_priority_is_the_least_urgent() {
    for (priority, warnings) in [(unknown(), 1), (DraftValue::Absent, 0)] {
        let document = read_changed(|route| route.priority = priority);
        assert_eq!(document.warnings.len(), warnings);
        assert_eq!(document.routes["r-1"].priority, Priority::LEAST_URGENT);
    }
}

/// During a rolling update an instance of the earlier release rejects a document step whose digest is not the one that
/// it computes. The digest was computed by that release.
#[test]
fn the_digest_is_that_of_the_release_before_priorities() {
    let cold_for = DraftValue::Known(Duration::from_secs(2));
    let draft = document_with_service(cold_for, DraftValue::Known("4".parse().unwrap()));
    let mut document = Document::try_from(draft).unwrap();
    assert_eq!(document.digest().to_string(), "cfa2ab4f1c6447cda275e1ecd1e38cb4");
    let route = document.routes.get_mut("r-1").unwrap();
    route.priority = Priority::new(1).unwrap();
    route.timeout = Some(Duration::from_secs(5));
    let limit = NonZeroU32::new(2_000).unwrap();
    document.connection_limits.insert("search".to_owned(), limit);
    assert_eq!(document.digest().to_string(), "cfa2ab4f1c6447cda275e1ecd1e38cb4");
}

/// A core with one upstream, to which documents are applied one after the other.
struct Harness {
    core: Core,
    now: Time,
}

impl Harness {
    fn new() -> Self {
        let core = Core::new(Options {
            zone: "zone-a".parse().unwrap(),
            max_flow: Duration::from_mins(1),
            awaits_evacuations: false,
            seed: 1,
        });
        let mut harness = Self { core, now: Time(1) };
        let now = harness.now;
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
        harness
            .core
            .learn(now, |knowledge| knowledge.apply_list(Revision(1), list, now));
        harness
    }

    fn apply(&mut self, at: u64, draft: draft::Document) {
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

    /// The revisions of the documents with new warnings.
    fn documents_with_warnings(&mut self) -> Vec<Revision> {
        let decisions = self.core.take_decisions().into_iter();
        let documents_with_warnings = decisions.filter_map(|decision| match decision {
            Decision::DocumentWarning { document, .. } => Some(document),
            _ => None,
        });
        documents_with_warnings.collect()
    }
}

fn has_no_route(verdict: Verdict) -> bool {
    matches!(verdict, Verdict::Reset(reset) if reset.cause == ResetCause::NoRoute)
}

/// No document was in effect before.
#[test]
fn without_an_earlier_document_only_the_unusable_route_is_refused() {
    let mut harness = Harness::new();
    let mut unusable = route(1);
    unusable.address = unknown();
    harness.apply(2, document(1, vec![unusable, route(2)]));
    assert!(has_no_route(harness.open(1)));
    assert!(matches!(harness.open(2), Verdict::Forward { .. }));
}

/// An earlier document was in effect. The newer one takes effect for the other routes, and the omitted route is refused
/// at every instance, whether it knew the earlier document or not.
#[test]
fn after_an_earlier_document_only_the_unusable_route_is_refused() {
    let mut harness = Harness::new();
    harness.apply(2, document(1, vec![route(1)]));
    assert!(matches!(harness.open(1), Verdict::Forward { .. }));
    let mut unusable = route(1);
    unusable.shares.clear();
    harness.apply(3, document(2, vec![unusable, route(2)]));
    assert!(has_no_route(harness.open(1)));
    assert!(matches!(harness.open(2), Verdict::Forward { .. }));
}

#[test]
fn a_warning_is_reported_once_for_each_cause() {
    let mut harness = Harness::new();
    let with_unknown = || {
        let mut later = route(1);
        later.kind = unknown();
        later
    };
    harness.apply(2, document(1, vec![with_unknown()]));
    assert_eq!(harness.documents_with_warnings(), [Revision(1)]);
    harness.apply(3, document(2, vec![with_unknown(), route(2)]));
    assert_eq!(harness.documents_with_warnings(), []);
    harness.apply(4, document(3, vec![route(1)]));
    harness.apply(5, document(4, vec![with_unknown()]));
    assert_eq!(harness.documents_with_warnings(), [Revision(4)], "the cause reappeared");
}
