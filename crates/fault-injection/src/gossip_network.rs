//! Simulated network for gossip datagrams between schedulers. Each direction of each pair of schedulers is a path that
//! can be degraded or partitioned.
//!
//! Each scheduler sends its datagrams to one ingress socket. The network delivers them from a separate egress socket
//! per sender and receiver, so that the receiver can tell its peers apart by their addresses.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::plan::Degradation;

/// Delay of a healthy path.
const DELAY_MS: Range<u64> = 3..22;
/// Maximum datagram length that the platform allows.
const MAX_DATAGRAM_BYTES: usize = 256;

/// Datagrams by outcome. Scripts read the JSON keys, so they must not change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct DatagramCounts {
    /// Datagrams sent by schedulers, counted once per receiver.
    pub sent: u64,
    /// Datagrams delivered, not counting duplicates.
    pub arrived: u64,
    /// Duplicates delivered.
    #[serde(rename = "doubled")]
    pub duplicated: u64,
    /// Datagrams lost at random.
    pub lost: u64,
    /// Datagrams lost in a partition.
    #[serde(rename = "cut")]
    pub partitioned: u64,
    /// Datagrams to a scheduler that was not running.
    #[serde(rename = "to_nobody")]
    pub without_receiver: u64,
    /// Datagrams that were dropped because they exceeded the maximum length.
    pub too_long: u64,
}

/// Network paths between all schedulers.
pub struct GossipNetwork {
    /// Sockets that receive the datagrams of each scheduler, by sender.
    ingress_sockets: Vec<UdpSocket>,
    /// Sockets that deliver datagrams, by receiver and sender.
    egress_sockets: Vec<Vec<UdpSocket>>,
    /// Gossip address of each scheduler; `None` while it is not running.
    receiver_addresses: Vec<Cell<Option<SocketAddr>>>,
    /// Number of active partitions, by sender and receiver.
    active_partitions: Vec<Vec<Cell<u32>>>,
    /// Degradation of the paths from and to each scheduler.
    degradations: Vec<Cell<Degradation>>,
    random: RefCell<StdRng>,
    counts: Cell<DatagramCounts>,
}

impl GossipNetwork {
    /// Starts a network of healthy paths between `nodes` schedulers. `seed` determines delays, loss and duplication.
    ///
    /// # Errors
    /// Returns an error if a socket cannot be bound.
    pub async fn start(nodes: usize, seed: u64) -> io::Result<Rc<Self>> {
        let mut ingress_sockets = Vec::new();
        let mut egress_sockets = Vec::new();
        for _ in 0..nodes {
            ingress_sockets.push(UdpSocket::bind("127.0.0.1:0").await?);
            let mut sockets = Vec::new();
            for _ in 0..nodes {
                sockets.push(UdpSocket::bind("127.0.0.1:0").await?);
            }
            egress_sockets.push(sockets);
        }
        let network = Rc::new(GossipNetwork {
            ingress_sockets,
            egress_sockets,
            receiver_addresses: vec![Cell::default(); nodes],
            active_partitions: vec![vec![Cell::default(); nodes]; nodes],
            degradations: vec![Cell::default(); nodes],
            random: RefCell::new(StdRng::seed_from_u64(seed)),
            counts: Cell::default(),
        });
        for node in 0..nodes {
            spawn_local(Rc::clone(&network).forward_from(node));
        }
        Ok(network)
    }

    /// Forwards datagrams from one scheduler to all others.
    async fn forward_from(self: Rc<Self>, node: usize) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        while let Ok((length, _)) = self.ingress_sockets[node].recv_from(&mut bytes).await {
            for to in (0..self.ingress_sockets.len()).filter(|to| *to != node) {
                self.forward(node, to, &bytes[..length]);
            }
        }
    }

    /// Returns the addresses for a scheduler's configuration: the address that it sends to, and the source addresses of
    /// its peers.
    ///
    /// # Errors
    /// Returns an error if the local address of a socket cannot be determined.
    pub fn addresses(&self, node: usize) -> io::Result<(SocketAddr, Vec<SocketAddr>)> {
        let peers = self.egress_sockets[node].iter().map(UdpSocket::local_addr).collect::<Result<_, _>>()?;
        Ok((self.ingress_sockets[node].local_addr()?, peers))
    }

    /// Sets the gossip address of a scheduler; `None` if it is not running.
    pub fn set_receiver(&self, node: usize, address: Option<SocketAddr>) {
        self.receiver_addresses[node].set(address);
    }

    /// Begins a one-way partition. A path stays partitioned until all overlapping partitions have ended.
    pub fn begin_partition(&self, from: usize, to: usize) {
        let active = &self.active_partitions[from][to];
        active.set(active.get() + 1);
    }

    /// Ends a one-way partition.
    pub fn end_partition(&self, from: usize, to: usize) {
        let active = &self.active_partitions[from][to];
        active.set(active.get().saturating_sub(1));
    }

    /// Sets the degradation of the paths from and to a scheduler.
    pub fn set_degradation(&self, node: usize, degradation: Degradation) {
        self.degradations[node].set(degradation);
    }

    /// Returns the number of datagrams by outcome.
    pub fn counts(&self) -> DatagramCounts {
        self.counts.get()
    }

    fn update_counts(&self, update: impl FnOnce(&mut DatagramCounts)) {
        let mut counts = self.counts.get();
        update(&mut counts);
        self.counts.set(counts);
    }

    fn forward(self: &Rc<Self>, from: usize, to: usize, bytes: &[u8]) {
        self.update_counts(|counts| counts.sent += 1);
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return self.update_counts(|counts| counts.too_long += 1);
        }
        if self.active_partitions[from][to].get() > 0 {
            return self.update_counts(|counts| counts.partitioned += 1);
        }
        let degradation = worst_of(self.degradations[from].get(), self.degradations[to].get());
        let mut random = self.random.borrow_mut();
        if random.random_bool(degradation.lost.clamp(0.0, 1.0)) {
            return self.update_counts(|counts| counts.lost += 1);
        }
        let copies = 1 + u32::from(random.random_bool(degradation.duplicated.clamp(0.0, 1.0)));
        for copy in 0..copies {
            let delay = Duration::from_millis(random.random_range(DELAY_MS));
            let added_delay = degradation.max_delay.mul_f64(random.random_range(0.0..1.0));
            let (network, bytes) = (Rc::clone(self), bytes.to_vec());
            spawn_local(async move {
                sleep(delay + added_delay).await;
                network.deliver(from, to, &bytes, copy > 0).await;
            });
        }
    }

    async fn deliver(&self, from: usize, to: usize, bytes: &[u8], is_duplicate: bool) {
        let Some(address) = self.receiver_addresses[to].get() else {
            return self.update_counts(|counts| counts.without_receiver += 1);
        };
        if self.egress_sockets[to][from].send_to(bytes, address).await.is_err() {
            return; // a failed send counts as a lost datagram to the scheduler
        }
        self.update_counts(|counts| match is_duplicate {
            false => counts.arrived += 1,
            true => counts.duplicated += 1,
        });
    }
}

/// Combines two degradations by taking the worse value of each field.
fn worst_of(one: Degradation, other: Degradation) -> Degradation {
    Degradation {
        lost: one.lost.max(other.lost),
        duplicated: one.duplicated.max(other.duplicated),
        max_delay: one.max_delay.max(other.max_delay),
    }
}
