//! How often an instance reads the platform's list.

use jayquayd::feed::Feed;
use jayquayd::feed::Wish;
use jayquayd::intake::Input;
use jayquayd::intake::Intake;
use jayquayd::intake::Queues;
use node::Event;
use node::Listed;
use platform::Client;
use platform::Lease;
use platform::Options;
use standin::platform as stand_in;
use standin::platform::Behaviour;
use standin::platform::Handle;
use tokio::sync::watch;
use units::Incarnation;
use units::Millis;

/// How often the test itself reads the list.
const OTHER_READS: u64 = 50;

async fn start() -> (Handle, Client) {
    let platform = stand_in::start(stand_in::Options::default())
        .await
        .expect("the stand-in starts");
    let client = Client::new(Options::new(vec![platform.address()]));
    (platform, client)
}

/// Waits until the feed tells that the platform answered, or did not.
async fn answered(queues: &mut Queues) -> bool {
    loop {
        let input = queues.control.recv().await.expect("the feed runs");
        if let Input::Event(Event::PlatformReachable(answers)) = input {
            return answers;
        }
    }
}

#[tokio::test]
async fn an_instance_that_is_no_watcher_reads_the_list_once() {
    let (platform, client) = start().await;
    let down = Behaviour {
        unavailable: true,
        ..Behaviour::default()
    };
    platform.behave(down).await;
    let (intake, mut queues) = Intake::new();
    let (wish, wished) = watch::channel(Wish::default());
    let feed = Feed::new(client.clone(), intake, wished);
    let reading = tokio::spawn(feed.read_list("north".parse().expect("a name")));
    // What failed is tried again.
    assert!(!answered(&mut queues).await);
    platform.behave(Behaviour::default()).await;
    while !answered(&mut queues).await {}
    let first = platform.counts().lists;
    // Another wish than that to watch wakes it, and it reads nothing in the time that others read often.
    wish.send_modify(|wish| wish.leaving = true);
    for _ in 0..OTHER_READS {
        client.list().await.expect("the platform serves");
    }
    let first = first + OTHER_READS;
    assert_eq!(platform.counts().lists, first);
    wish.send_modify(|wish| wish.watching = true);
    assert!(answered(&mut queues).await);
    assert_eq!(platform.counts().lists, first + 1);
    // A watcher goes on.
    assert!(answered(&mut queues).await);
    assert!(platform.counts().lists >= first + 2);
    reading.abort();
}

#[tokio::test]
async fn a_new_watcher_finds_those_that_started_in_other_zones_with_it() {
    let (platform, client) = start().await;
    let (intake, mut queues) = Intake::new();
    let watching = Wish {
        watching: true,
        ..Wish::default()
    };
    let (_wish, wished) = watch::channel(watching);
    let feed = Feed::new(client.clone(), intake, wished);
    let reading = tokio::spawn(feed.read_list("north".parse().expect("a name")));
    // Nobody is on the list at first.
    assert!(answered(&mut queues).await);
    let other = Listed::Entry {
        name: "entry-2".parse().expect("a name"),
        incarnation: Incarnation(1),
        zone: "south".parse().expect("a name"),
        address: "127.0.0.1:7".parse().expect("an address"),
        admin: None,
        leaving: false,
    };
    let mut lease = Lease::new(other.clone(), Millis(600_000));
    client.renew(&mut lease).await.expect("the platform serves");
    let before = platform.counts().lists;
    let found = vec![other];
    loop {
        let input = queues.control.recv().await.expect("the feed runs");
        if matches!(&input, Input::Event(Event::InstanceList(list)) if *list == found) {
            break;
        }
    }
    assert!(platform.counts().lists <= before + 2);
    reading.abort();
}
