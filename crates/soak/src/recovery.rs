//! What must hold a while after the last fault.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use adapter_standin::Client;
use adapter_standin::Reply;

use crate::burst;
use crate::upstreams::LEAVES_AFTER;
use crate::violation::Violation;
use crate::world::STEP;
use crate::world::World;
use crate::world::ZONES;
use crate::world::own_route;

/// How long everything may take to come back after the last fault.
const RECOVERY: Duration = Duration::from_secs(12);

/// Duration of the last burst.
const LAST_BURST: Duration = Duration::from_secs(4);
/// Time without faults before it, in which all instances get to know the upstreams.
const PAUSE_BEFORE_BURST: Duration = Duration::from_secs(4);
/// With fewer refusals than this, their shares say nothing about priorities.
const MIN_REFUSALS: u64 = 30;
/// How much larger the share of refusals of the urgent route may be by chance.
const SHARE_MARGIN: f64 = 0.1;

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
    last_burst(world).await?;
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

/// Runs a burst without faults, and records as violations more open flows than an upstream's limit, and a larger
/// share of refusals on the urgent route than on the other one beyond chance.
async fn last_burst(world: &mut World) -> io::Result<()> {
    let Some(burst) = world.burst.clone() else {
        return Ok(());
    };
    wait(world, PAUSE_BEFORE_BURST).await?;
    world.upstreams.living.restart_count();
    burst.take_openings();
    burst.set(true);
    wait(world, LAST_BURST).await?;
    burst.set(false);
    let (urgent, other) = burst.take_openings();
    log::info!("soak: last burst: urgent {urgent:?}, other {other:?}");
    let is_unfair = urgent.refused_share() > other.refused_share() + SHARE_MARGIN;
    if urgent.refused + other.refused >= MIN_REFUSALS && is_unfair {
        let text = format!("urgent {urgent:?}, other {other:?}");
        world.book.add(Violation::Priority(text));
    }
    for (id, count) in world.upstreams.living.above(burst::MAX_CONNS) {
        let text = format!("upstream {id} had {count} flows open of {}", burst::MAX_CONNS);
        world.book.add(Violation::Connections(text));
    }
    Ok(())
}

/// Waits, and maintains the world meanwhile.
async fn wait(world: &mut World, time: Duration) -> io::Result<()> {
    let begin = Instant::now();
    while begin.elapsed() < time {
        world.tend().await?;
        tokio::time::sleep(STEP).await;
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
