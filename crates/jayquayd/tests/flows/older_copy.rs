//! The store comes back from a copy of itself that is some seconds old.
//!
//! Seen: a route that a document had taken away was still served four seconds after that document had been accepted, at instances that
//! nothing had disturbed, some seconds after the store had been away for a moment.

use std::net::SocketAddrV4;

use adapter_standin::Seen;

use crate::world::ROUTE;
use crate::world::World;
use crate::world::until_open;

/// A route that only this document has.
fn own_route(version: u64) -> SocketAddrV4 {
    SocketAddrV4::new(*ROUTE.ip(), 1_000 + u16::try_from(version).unwrap())
}

#[tokio::test(flavor = "multi_thread")]
async fn documents_are_in_force_after_the_store_came_back_from_an_older_copy() {
    let world = World::new().await;
    world.store.put_document(1, &[(ROUTE, "search")]);
    let _upstream = world.upstream(0x81, "one", "search").await;
    let instances = [world.start_ready(1).await, world.start_ready(2).await];
    let mut client = world.client(1).await;
    let copy = world.store.copy();
    for version in 2..=5 {
        world
            .store
            .put_document(version, &[(ROUTE, "search"), (own_route(version), "search")]);
    }
    for instance in &instances {
        until_open(&mut client, own_route(5), instance.packets(), &Seen::Opened).await;
    }
    world.store.come_back_from(&copy);
    world
        .store
        .put_document(6, &[(ROUTE, "search"), (own_route(6), "search")]);
    for instance in &instances {
        until_open(&mut client, own_route(6), instance.packets(), &Seen::Opened).await;
        let taken_away = client.open(own_route(5), instance.packets()).await.unwrap();
        assert_eq!(taken_away, Seen::Reset);
    }
}
