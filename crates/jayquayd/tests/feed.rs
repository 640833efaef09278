//! How often an instance reads the platform's instance list.

use jayquayd::feed::DesiredState;
use jayquayd::feed::PlatformSync;
use jayquayd::input::Input;
use jayquayd::input::InputQueues;
use jayquayd::input::InputSender;
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

/// Number of times that the test itself reads the list.
const OTHER_READS: u64 = 50;

async fn start() -> (Handle, Client) {
    let platform = stand_in::start(stand_in::Options::default())
        .await
        .expect("the stand-in starts");
    let client = Client::new(Options::new(vec![platform.address()]));
    (platform, client)
}

/// Waits for the next report on whether the platform is reachable.
async fn next_reachability(queues: &mut InputQueues) -> bool {
    loop {
        let input = queues.control.recv().await.expect("the task is running");
        if let Input::Event(Event::PlatformReachable(is_reachable)) = input {
            return is_reachable;
        }
    }
}

#[tokio::test]
async fn a_non_watcher_reads_the_list_once() {
    let (platform, client) = start().await;
    let down = Behaviour {
        unavailable: true,
        ..Behaviour::default()
    };
    platform.behave(down).await;
    let (input_sender, mut queues) = InputSender::new();
    let (desired, desired_receiver) = watch::channel(DesiredState::default());
    let sync = PlatformSync::new(client.clone(), input_sender, desired_receiver);
    let reading = tokio::spawn(sync.sync_list("north".parse().expect("a name")));
    // A failed read is repeated.
    assert!(!next_reachability(&mut queues).await);
    platform.behave(Behaviour::default()).await;
    while !next_reachability(&mut queues).await {}
    let first = platform.counts().lists;
    // A change other than of `watching` wakes the task, but it reads nothing while the test reads the list many times.
    desired.send_modify(|desired| desired.leaving = true);
    for _ in 0..OTHER_READS {
        client.list().await.expect("the platform serves");
    }
    let first = first + OTHER_READS;
    assert_eq!(platform.counts().lists, first);
    desired.send_modify(|desired| desired.watching = true);
    assert!(next_reachability(&mut queues).await);
    assert_eq!(platform.counts().lists, first + 1);
    // A watcher keeps reading.
    assert!(next_reachability(&mut queues).await);
    assert!(platform.counts().lists >= first + 2);
    reading.abort();
}

#[tokio::test]
async fn a_new_watcher_finds_instances_of_other_zones_that_started_with_it() {
    let (platform, client) = start().await;
    let (input_sender, mut queues) = InputSender::new();
    let watching = DesiredState {
        watching: true,
        ..DesiredState::default()
    };
    let (_desired, desired_receiver) = watch::channel(watching);
    let sync = PlatformSync::new(client.clone(), input_sender, desired_receiver);
    let reading = tokio::spawn(sync.sync_list("north".parse().expect("a name")));
    // The list is empty at first.
    assert!(next_reachability(&mut queues).await);
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
        let input = queues.control.recv().await.expect("the task is running");
        if matches!(&input, Input::Event(Event::InstanceList(list)) if *list == found) {
            break;
        }
    }
    assert!(platform.counts().lists <= before + 2);
    reading.abort();
}
