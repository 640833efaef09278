//! `jayquay flows status` shows the load of services as instances report it.

mod fleet;

use std::collections::BTreeMap;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::thread;

use adapter_standin::Store;
use fleet::jayquay;
use flow::CapacityState;
use flow::Priority;
use jayquayd::forward::status::OpeningCount;
use jayquayd::forward::status::ServiceStatus;
use jayquayd::forward::status::Status;
use jayquayd::forward::status::ZoneStatus;
use units::Incarnation;
use units::Position;

const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

/// Answers each request with a status, and returns its address.
fn serve(status: &Status) -> SocketAddr {
    let body = serde_json::to_string(status).unwrap();
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let _request = stream.read(&mut [0; 4_096]).unwrap();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n", body.len());
            let _gone = write!(stream, "{head}Connection: close\r\n\r\n{body}");
        }
    });
    address
}

fn zone(slots: u32, in_flight: u32, service_time_us: Option<u64>) -> ZoneStatus {
    ZoneStatus {
        slots,
        in_flight,
        service_time_us,
    }
}

/// An instance's status, with its view of the load in zones a and b.
fn status(name: &str, state: CapacityState, zones: [(&str, ZoneStatus); 2], refused: u64) -> Status {
    let zones = zones.map(|(zone, load)| (zone.parse().unwrap(), load));
    let service = ServiceStatus {
        state,
        demand: 30,
        zones: BTreeMap::from(zones),
    };
    Status {
        name: name.parse().unwrap(),
        incarnation: Incarnation(1),
        zone: format!("zone-{}", &name[name.len() - 1..]).parse().unwrap(),
        is_ready: true,
        is_stopping: false,
        watches: false,
        document: None,
        document_digest: None,
        unreadable_document: None,
        why_unreadable: None,
        warnings: Vec::new(),
        upstreams_at: Position::default(),
        upstreams: BTreeMap::new(),
        ejected: Vec::new(),
        evacuated: BTreeMap::new(),
        capacity: BTreeMap::from([("search".to_owned(), service)]),
        openings: vec![OpeningCount {
            result: "refused".to_owned(),
            cause: "overload".to_owned(),
            priority: Priority::new(2).expect("2 is a priority"),
            count: refused,
        }],
        flows: 0,
        members: Vec::new(),
    }
}

/// Guards against the load of a zone being added up over instances, which all report the same sums, and against that of
/// another zone's older view.
#[tokio::test(flavor = "multi_thread")]
async fn the_load_of_a_zone_is_shown_once_and_what_instances_counted_is_added_up() {
    let store = Store::start().await.unwrap();
    store.put_document(1, &[(ROUTE, "search")]);
    let (near, older) = (zone(40, 52, Some(55_500)), zone(40, 10, None));
    let (far, far_older) = (zone(20, 5, None), zone(20, 19, Some(70_000)));
    let instances = [
        status(
            "entry-a",
            CapacityState::Short,
            [("zone-a", near), ("zone-b", far_older)],
            3,
        ),
        status(
            "entry-b",
            CapacityState::Ordinary,
            [("zone-a", older), ("zone-b", far)],
            4,
        ),
    ];
    let named = instances.each_ref().map(|status| serve(status).to_string()).join(",");
    let stored = store.address().to_string();
    let output = jayquay(&["flows", "status", "--store", &stored, "--instance", &named]);
    let text = String::from_utf8(output.stdout).unwrap();
    let expected = "  service search: 60 openings in the last second, short at 1 of 2 instances\n    \
                    zone-a: 52 in flight at 40 slots, 55.5 ms each\n    zone-b: 5 in flight at 20 slots\n  \
                    openings refused: 7 of priority 2, cause overload\n";
    assert!(text.contains(expected), "{text}");
}
