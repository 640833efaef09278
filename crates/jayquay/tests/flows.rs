//! `jayquay flows` over real processes in flow mode and the platform's stand-in.

mod fleet;

use std::fs;
use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;

use adapter_standin::Fault;
use adapter_standin::Store;
use fleet::jayquay;
use fleet::process::daemon;
use fleet::wait_for;
use flow::UpstreamId;

const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
const OTHER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 444);

/// An instance. Dropping it kills it.
struct Instance(Child);

impl Drop for Instance {
    fn drop(&mut self) {
        let _ended = self.0.kill();
        let _reaped = self.0.wait();
    }
}

/// The instances' addresses: one port at two hosts.
fn peers(net: u8) -> [SocketAddr; 2] {
    let first = Ipv4Addr::new(127, net, 7, 1);
    let socket = UdpSocket::bind((first, 0)).unwrap();
    let port = socket.local_addr().unwrap().port();
    [first, Ipv4Addr::new(127, net, 7, 2)].map(|ip| SocketAddr::from((ip, port)))
}

fn start(folder: &Path, name: &str, peers: SocketAddr, seed: SocketAddr, store: &Store) -> Instance {
    let settings = folder.join(format!("{name}.yaml"));
    let ip = peers.ip();
    let text = format!(
        "name: {name}\nzone: zone-a\nstore: \"{}\"\nseeds: [\"{seed}\"]\ngrace_s: 6\nmax_flow_s: 60\n\
         listen: {{packets: \"{ip}:0\", ready: \"{ip}:0\", peers: \"{peers}\"}}\n",
        store.address()
    );
    fs::write(&settings, text).unwrap();
    let log = File::create(folder.join(format!("{name}.log"))).unwrap();
    let child = Command::new(daemon())
        .args(["--flows", "--settings"])
        .arg(&settings)
        .stdout(log)
        .spawn()
        .unwrap();
    Instance(child)
}

fn run(arguments: &[&str]) -> (Option<i32>, String) {
    let output = jayquay(arguments);
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8_lossy(&text).into_owned())
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_see_what_is_in_force_what_differs_and_what_happened() {
    let store = Store::start().await.unwrap();
    let upstream = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9);
    store.put_upstream(UpstreamId(0xa1), "search", upstream, "zone-a", "ready");
    store.put_document(4, &[(ROUTE, "search")]);
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("flows");
    fs::create_dir_all(&folder).unwrap();
    let [first, second] = peers(61);
    let _one = start(&folder, "entry-1", first, first, &store);
    let two = start(&folder, "entry-2", second, first, &store);
    let stored = store.address().to_string();
    // One instance is named, and tells of the other.
    let named = first.to_string();
    let status = || run(&["flows", "status", "--store", &stored, "--instance", &named]);
    // One that is alone is in order too.
    wait_for("both hold what is stored", || {
        let (code, text) = status();
        code == Some(0) && text.contains("entry-2")
    });
    let (_, text) = status();
    assert!(text.starts_with("store: revision 4, digest "), "{text}");
    for line in [
        "  entry-1 in zone-a: revision 4, 1 upstreams",
        "  entry-2 in zone-a: revision 4, 1 upstreams",
    ] {
        assert!(text.contains(line), "{text}");
    }

    let holder = format!("instance:{first}");
    let (code, shown) = run(&["flows", "show", &holder]);
    assert_eq!(code, Some(0), "{shown}");
    assert!(
        shown.contains("r-443: 198.18.0.1:443 to search:1, idempotent, aim 120 ms, timeout 800 ms, priority 2"),
        "{shown}"
    );
    let (_, same) = run(&["flows", "show", &format!("store:{stored}")]);
    assert_eq!(same, shown);

    // A store that does not tell of a change leaves the instances behind, which shows.
    let newer = Store::start().await.unwrap();
    newer.put_document(5, &[(ROUTE, "photos"), (OTHER, "search")]);
    let (_, text) = run(&["flows", "diff", &holder, &format!("store:{}", newer.address())]);
    let expected = "from revision 4 to revision 5\n  ~ r-443: 198.18.0.1:443 to search:1, idempotent, aim 120 ms, \
                    timeout 800 ms, priority 2, now 198.18.0.1:443 to photos:1, idempotent, aim 120 ms, \
                    timeout 800 ms, priority 2\n  + r-444: 198.18.0.1:444 to search:1, idempotent, aim 120 ms, \
                    timeout 800 ms, priority 2\n";
    assert_eq!(text, expected);
    let (code, text) = run(&[
        "flows",
        "status",
        "--store",
        &newer.address().to_string(),
        "--instance",
        &named,
    ]);
    assert_eq!(code, Some(1));
    assert!(text.contains("! entry-1 holds revision 4, the store 5"), "{text}");

    drop(two);
    let both = format!("{first},{second}");
    let (code, text) = run(&["flows", "status", "--store", &stored, "--instance", &both]);
    assert_eq!(code, Some(1));
    assert!(text.contains(&format!("! {second}: no answer: ")), "{text}");

    let logs = ["entry-1.log", "entry-2.log"].map(|name| folder.join(name).to_string_lossy().into_owned());
    let (code, text) = run(&["flows", "timeline", &logs[0], &logs[1], "--part", "daemon"]);
    assert_eq!(code, Some(0), "{text}");
    for name in ["entry-1", "entry-2"] {
        let started = format!(" {name} info daemon: started instance={name} zone=zone-a");
        assert!(text.contains(&started), "{text}");
    }
    let times: Vec<&str> = text.lines().filter_map(|line| line.split(' ').next()).collect();
    assert!(times.is_sorted(), "{text}");
    store.set_fault(Fault::Unavailable);
    let (code, text) = status();
    assert_eq!(
        (code, text.contains("the store: refused with status 503")),
        (Some(1), true),
        "{text}"
    );
}

/// A document that no instance can read is the first thing that an operator sees, and whether anything is served.
#[tokio::test(flavor = "multi_thread")]
async fn a_document_that_cannot_be_read_stands_in_the_first_line() {
    let store = Store::start().await.unwrap();
    let upstream = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9);
    store.put_upstream(UpstreamId(0xa1), "search", upstream, "zone-a", "ready");
    store.put_route(4, "feed", None, "search", "idempotent");
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("flows-unreadable");
    fs::create_dir_all(&folder).unwrap();
    let [first, _] = peers(62);
    let _one = start(&folder, "entry-1", first, first, &store);
    let stored = store.address().to_string();
    let named = first.to_string();
    let status = || run(&["flows", "status", "--store", &stored, "--instance", &named]);
    let log = folder.join("entry-1.log");
    wait_for("the instance has read it", || {
        let log = fs::read_to_string(&log).unwrap_or_default();
        log.contains("store: nothing is served, document unreadable")
    });
    let (code, text) = status();
    assert_eq!(code, Some(1));
    assert!(
        text.starts_with("! nothing is served: no instance holds a document"),
        "{text}"
    );
    assert!(text.lines().next().unwrap().contains("route feed: address"), "{text}");

    store.put_document(5, &[(ROUTE, "search")]);
    wait_for("a later one is in force", || status().0 == Some(0));
    store.put_route(6, "feed", None, "search", "idempotent");
    wait_for("the earlier one stays in force", || {
        let (_, text) = status();
        text.starts_with("! the store's document can't be read, an earlier one stays in force")
            && text.contains("  revision 5 is in force at 1 instances")
    });

    store.put_route(7, "feed", Some(ROUTE), "search", "stream");
    let warning = "! route feed: kind \"stream\" can't be read, requests run once at most";
    wait_for("one with an unknown word is in force, and its warning is shown", || {
        let (code, text) = status();
        code == Some(0) && text.lines().nth(1) == Some(warning)
    });
    let log = fs::read_to_string(&log).unwrap();
    assert_eq!(log.matches("routes: unread document=7 route feed").count(), 1, "{log}");
}
