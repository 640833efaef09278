//! A fabric that sprays packets, and one that does what it is told.

use std::time::Duration;

use standin::fabric;
use standin::fabric::Behaviour;
use standin::fabric::Counts;
use standin::fabric::Handle;
use standin::fabric::Options;
use tokio::net::UdpSocket;
use tokio::task::JoinSet;

/// How many packets a test sends.
const PACKETS: u8 = 8;

async fn socket() -> UdpSocket {
    UdpSocket::bind("127.0.0.1:0").await.expect("loopback has free ports")
}

async fn receive(socket: &UdpSocket) -> Vec<u8> {
    let mut buffer = [0; 100];
    let (len, _from) = socket.recv_from(&mut buffer).await.expect("loopback works");
    buffer[..len].to_vec()
}

/// A fabric before these instances, which behaves like this.
async fn start(instances: &[&UdpSocket], behaviour: &str) -> Handle {
    let mut options = Options::new(1);
    options.instances = instances
        .iter()
        .map(|instance| instance.local_addr().expect("bound"))
        .collect();
    options.behaviour = serde_json::from_str(behaviour).expect("a behaviour");
    fabric::start(options).await.expect("loopback has free ports")
}

/// Sends numbered packets, then one more without faults, and returns what reaches the one instance.
async fn check(behaviour: &str, arriving: usize) -> (Vec<u8>, Counts) {
    let instance = socket().await;
    let caller = socket().await;
    let fabric = start(&[&instance], behaviour).await;
    for number in 0..PACKETS {
        caller.send_to(&[number], fabric.services()[0]).await.expect("sent");
    }
    while fabric.counts().from_callers < PACKETS.into() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    fabric.behave(Behaviour::default());
    caller.send_to(&[PACKETS], fabric.services()[0]).await.expect("sent");
    let mut seen = Vec::new();
    for _packet in 0..arriving {
        seen.extend(receive(&instance).await);
    }
    (seen, fabric.counts())
}

#[tokio::test]
async fn packets_pass_in_order() {
    let (seen, _counts) = check("{}", 9).await;
    assert_eq!(seen, [0, 1, 2, 3, 4, 5, 6, 7, 8]);
}

#[tokio::test]
async fn packets_are_lost() {
    let (seen, counts) = check(r#"{"lost": 1}"#, 1).await;
    assert_eq!((seen, counts.lost), (vec![8], 8));
}

#[tokio::test]
async fn packets_are_doubled() {
    let (seen, counts) = check(r#"{"doubled": 1}"#, 17).await;
    assert_eq!(seen, [0, 0, 1, 1, 2, 2, 3, 3, 4, 4, 5, 5, 6, 6, 7, 7, 8]);
    assert_eq!(counts.doubled, 8);
}

#[tokio::test]
async fn packets_are_reordered() {
    let (mut seen, counts) = check(r#"{"reordered": 0.5}"#, 9).await;
    assert!(!seen.is_sorted(), "{seen:?}");
    seen.sort_unstable();
    assert_eq!(seen, [0, 1, 2, 3, 4, 5, 6, 7, 8]);
    assert!(counts.reordered > 0, "{counts:?}");
}

#[tokio::test]
async fn packets_are_delayed() {
    let (mut seen, counts) = check(r#"{"delayed": 1, "delay": 5}"#, 9).await;
    seen.sort_unstable();
    assert_eq!((seen, counts.delayed), (vec![0, 1, 2, 3, 4, 5, 6, 7, 8], 8));
}

#[tokio::test]
async fn any_instance_reaches_the_caller_that_a_packet_came_from() {
    let instances = [socket().await, socket().await, socket().await];
    let fabric = start(&[&instances[0], &instances[1], &instances[2]], "{}").await;
    let service = fabric.services()[0];
    let mut echoes = JoinSet::new();
    for (name, instance) in (b'A'..).zip(instances) {
        echoes.spawn(async move {
            let mut buffer = [0; 100];
            loop {
                let (len, from) = instance.recv_from(&mut buffer).await.expect("loopback works");
                buffer[len] = name;
                instance.send_to(&buffer[..=len], from).await.expect("sent");
            }
        });
    }
    let mut reached = Vec::new();
    for caller in [socket().await, socket().await] {
        for number in 0..PACKETS {
            caller.send_to(&[number], service).await.expect("sent");
            let reply = receive(&caller).await;
            assert_eq!(reply[0], number);
            reached.push(reply[1]);
        }
    }
    reached.sort_unstable();
    reached.dedup();
    assert_eq!(reached, b"ABC");
}

#[tokio::test]
async fn the_control_address_sets_instances() {
    let instance = socket().await;
    let caller = socket().await;
    let fabric = start(&[], "{}").await;
    let service = fabric.services()[0];
    caller.send_to(&[1], service).await.expect("sent");
    while fabric.counts().unroutable == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let instances = [instance.local_addr().expect("bound")];
    let http = reqwest::Client::builder()
        .no_proxy()
        .build()
        .expect("nothing is needed");
    let request = http.put(format!("http://{}/instances", fabric.control()));
    let status = request.json(&instances).send().await.expect("reachable").status();
    assert_eq!(status, 200);
    caller.send_to(&[2], service).await.expect("sent");
    assert_eq!(receive(&instance).await, [2]);
}
