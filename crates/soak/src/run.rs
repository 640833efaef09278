//! Runs one soak from its seed to its verdict.

use std::fs;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use adapter_standin::Client;
use tokio::task::JoinSet;

use crate::burst;
use crate::clients;
use crate::clients::Context;
use crate::clients::Tally;
use crate::instance::Ports;
use crate::options::Options;
use crate::plan::Plan;
use crate::recovery;
use crate::violation::Violation;
use crate::world::SERVICES;
use crate::world::World;
use crate::world::route;
use crate::world::urgent_route;

/// How a soak went.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// Broken promises, each with its time since the start.
    pub violations: Vec<(Duration, Violation)>,
    /// Faults that were brought about.
    pub faults: usize,
    /// Requests that were answered.
    pub answered: u64,
    /// Requests that were rejected by a full upstream.
    pub rejected: u64,
    /// Requests that were not answered in time, during faults.
    pub unanswered: u64,
    /// Flows that ended because their upstream had died.
    pub lost: u64,
}

/// Runs one soak. Its processes are gone when it ends.
pub async fn run(options: &Options) -> io::Result<Outcome> {
    fs::create_dir_all(&options.folder)?;
    // Each process of the test machine may run one soak on each part of the loopback network.
    let net = 128 + u8::try_from(options.seed % 64).expect("below 64");
    let ip = |group: u8, number: usize| Ipv4Addr::new(127, net, group, u8::try_from(number).expect("few") + 1);
    let ports = Ports {
        packets: free_port(ip(1, 0))?,
        ready: free_port(ip(1, 0))?,
        peers: free_port(ip(1, 0))?,
    };
    let mut world = World::start(options, &ip, ports).await?;
    let tally = Arc::new(Tally::default());
    let mut tasks = JoinSet::new();
    for (index, service) in SERVICES.into_iter().enumerate() {
        for number in 0..options.clients {
            let number = index * options.clients + number;
            let own = SocketAddrV4::new(ip(2, number), 20_000);
            let client = Client::new(own, ports.packets).await?;
            let context = Context {
                router: world.router.clone(),
                living: world.upstreams.living.clone(),
                book: world.book.clone(),
                tally: Arc::clone(&tally),
                route: route(index),
                service,
            };
            tasks.spawn(clients::run(client, number, options.seed ^ number as u64, context));
        }
    }
    if let Some(burst) = world.burst.clone() {
        for number in 0..burst::CLIENTS {
            let client = Client::new(SocketAddrV4::new(ip(6, number), 20_000), ports.packets).await?;
            let is_urgent = number % 2 == 0;
            let context = Context {
                router: world.router.clone(),
                living: world.upstreams.living.clone(),
                book: world.book.clone(),
                tally: Arc::clone(&tally),
                route: if is_urgent { urgent_route() } else { route(0) },
                service: SERVICES[0],
            };
            let seed = options.seed ^ (1_000 + number as u64);
            tasks.spawn(burst::run(client, number, seed, context, burst.clone(), is_urgent));
        }
    }
    let mut prober = Client::new(SocketAddrV4::new(ip(4, 0), 20_000), ports.packets).await?;
    prober.set_attempts(1);
    let instances = world.instances.len();
    let mut plan = Plan::draw(options.seed, options.length, instances, world.upstreams.count());
    if options.cuts {
        plan = plan.with_cuts(options.seed, options.length, instances);
    }
    if options.returns {
        plan = plan.with_returns(options.seed, options.length);
    }
    if options.bursts {
        plan = plan.with_bursts(options.seed, options.length, world.upstreams.count());
    }
    world.play(&plan).await?;
    recovery::check(&mut world, &mut prober).await?;
    drop(tasks);
    Ok(Outcome {
        violations: world.book.take(),
        faults: plan.faults.len(),
        answered: tally.answered.load(Ordering::Relaxed),
        rejected: tally.rejected.load(Ordering::Relaxed),
        unanswered: tally.unanswered.load(Ordering::Relaxed),
        lost: tally.lost.load(Ordering::Relaxed),
    })
}

fn free_port(ip: Ipv4Addr) -> io::Result<u16> {
    Ok(UdpSocket::bind((ip, 0))?.local_addr()?.port())
}
