//! One direction of one caller's traffic, and what becomes of each packet on it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::net::UdpSocket;

use crate::fabric::Behaviour;
use crate::fabric::Counts;
use crate::fabric::Options;

/// What all links of a fabric share.
#[derive(Debug)]
pub(crate) struct Shared(Mutex<State>);

/// Where packets go and how they fare.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) instances: Vec<SocketAddr>,
    pub(crate) behaviour: Behaviour,
    pub(crate) counts: Counts,
    random: StdRng,
}

impl Shared {
    /// The state of a fabric that starts.
    pub(crate) fn new(options: &Options) -> Self {
        Self(Mutex::new(State {
            instances: options.instances.clone(),
            behaviour: options.behaviour,
            counts: Counts::default(),
            random: StdRng::seed_from_u64(options.seed),
        }))
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Draws an instance for a packet.
    fn draw_instance(&mut self) -> Option<SocketAddr> {
        if self.instances.is_empty() {
            self.counts.unroutable += 1;
            return None;
        }
        let index = self.random.random_range(0..self.instances.len());
        Some(self.instances[index])
    }

    /// Draws what becomes of a packet.
    fn draw_fate(&mut self) -> Fate {
        let behaviour = self.behaviour;
        if behaviour.lost.draw(&mut self.random) {
            self.counts.lost += 1;
            return Fate::Lost;
        }
        if behaviour.reordered.draw(&mut self.random) {
            self.counts.reordered += 1;
            return Fate::Held;
        }
        let doubled = behaviour.doubled.draw(&mut self.random);
        let delayed = behaviour.delayed.draw(&mut self.random);
        self.counts.doubled += u64::from(doubled);
        self.counts.delayed += u64::from(delayed);
        Fate::Sent {
            copies: 1 + usize::from(doubled),
            delay: delayed.then(|| behaviour.delay.duration()),
        }
    }
}

/// What becomes of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Lost,
    /// It waits until another packet has passed.
    Held,
    Sent {
        copies: usize,
        delay: Option<Duration>,
    },
}

/// Where the packets of a link go.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Target {
    /// To an instance drawn for each copy.
    AnyInstance,
    /// To this caller.
    Caller(SocketAddr),
}

/// One direction of one caller's traffic.
#[derive(Debug)]
pub(crate) struct Link {
    shared: Arc<Shared>,
    socket: Arc<UdpSocket>,
    target: Target,
    /// Packets that wait until another has passed.
    held: Vec<Vec<u8>>,
}

impl Link {
    /// A link that sends through this socket.
    pub(crate) fn new(shared: Arc<Shared>, socket: Arc<UdpSocket>, target: Target) -> Self {
        Self {
            shared,
            socket,
            target,
            held: Vec::new(),
        }
    }

    /// Passes a packet on, or does with it what the fabric's behaviour says.
    pub(crate) async fn pass(&mut self, packet: &[u8]) {
        let fate = self.shared.lock().draw_fate();
        match fate {
            Fate::Lost => return,
            Fate::Held => {
                self.held.push(packet.to_vec());
                return;
            }
            Fate::Sent { copies, delay } => {
                for _copy in 0..copies {
                    self.send(packet, delay).await;
                }
            }
        }
        for held in std::mem::take(&mut self.held) {
            self.send(&held, None).await;
        }
    }

    async fn send(&self, packet: &[u8], delay: Option<Duration>) {
        let target = match self.target {
            Target::AnyInstance => self.shared.lock().draw_instance(),
            Target::Caller(address) => Some(address),
        };
        let Some(target) = target else {
            return;
        };
        let Some(delay) = delay else {
            transmit(&self.socket, packet, target).await;
            return;
        };
        let socket = Arc::clone(&self.socket);
        let packet = packet.to_vec();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            transmit(&socket, &packet, target).await;
        });
    }
}

/// Sends a datagram. One that cannot be sent is lost, as on any network.
async fn transmit(socket: &UdpSocket, packet: &[u8], target: SocketAddr) {
    if let Err(error) = socket.send_to(packet, target).await {
        log::debug!("stand-in: a packet to {target} was lost: {error}");
    }
}
