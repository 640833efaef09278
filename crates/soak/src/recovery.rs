//! What must hold a while after the last fault.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use adapter_standin::Client;
use adapter_standin::Reply;

use crate::upstreams::LEAVES_AFTER;
use crate::violation::Violation;
use crate::world::STEP;
use crate::world::World;
use crate::world::ZONES;
use crate::world::own_route;

/// How long everything may take to come back after the last fault.
const RECOVERY: Duration = Duration::from_secs(12);

/// The zone that is emptied then. The services have upstreams in another one as well.
const EMPTIED: &str = ZONES[0];
/// How long after that is asked for its upstreams still accept flows without a fault being found.
const EVACUATED_WITHIN: Duration = Duration::from_secs(3);

/// After the last fault every instance holds the newest document, serves, drains as promised, and leads nothing new to a zone that is
/// emptied.
pub(crate) async fn check(world: &mut World, prober: &mut Client) -> io::Result<()> {
    if !world.until_all_ready(RECOVERY).await? {
        world
            .book
            .add(Violation::Unserved("an instance is not ready".to_owned()));
    }
    world.write_document();
    world.upstreams.leave(0, &world.store).await?;
    world.store.evacuate(EMPTIED);
    let calm = Instant::now();
    while calm.elapsed() < LEAVES_AFTER {
        world.tend().await?;
        tokio::time::sleep(STEP).await;
    }
    for index in 0..world.instances.len() {
        let through = world.instances[index].packets();
        let name = world.instances[index].name().to_owned();
        let new = see(world, prober, world.version, through).await?;
        let old = see(world, prober, world.version - 1, through).await?;
        if new != Reply::Opened || old != Reply::Reset {
            let text = format!("{name} holds an old one: newest {new:?}, the one before {old:?}");
            world.book.add(Violation::Document(text));
        }
    }
    for id in world.upstreams.opened_in(EMPTIED, calm + EVACUATED_WITHIN) {
        let text = format!("upstream {id} got a flow");
        world.book.add(Violation::Evacuated(text));
    }
    Ok(())
}

/// What a flow to a document's own route meets. Lost datagrams are sent again.
async fn see(world: &mut World, prober: &mut Client, version: u64, through: SocketAddr) -> io::Result<Reply> {
    for _ in 0..10 {
        let seen = prober.open(own_route(version), through).await?;
        if seen != Reply::Timeout {
            return Ok(seen);
        }
        world.tend().await?;
    }
    Ok(Reply::Timeout)
}
