//! The network between schedulers for gossip datagrams: a path for each direction of each pair, healthy or not.
//!
//! Each scheduler sends to one socket of the network and is sent to from one socket for each other scheduler, so that
//! it sees them as its peers.

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

/// The delay of a healthy path.
const DELAY_MS: Range<u64> = 3..22;
/// The longest datagram that the platform allows.
const MOST_DATAGRAM_BYTES: usize = 256;

/// What the network did with datagrams. The printed keys are those of the trials' report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct DatagramCounts {
    /// Datagrams that schedulers sent, counted once for each receiver.
    pub sent: u64,
    /// Of these, the ones that arrived, counted once.
    pub arrived: u64,
    /// Arrivals beyond the first.
    #[serde(rename = "doubled")]
    pub duplicated: u64,
    /// Lost by chance.
    pub lost: u64,
    /// Lost in a partition.
    #[serde(rename = "cut")]
    pub partitioned: u64,
    /// For a scheduler that was not running.
    #[serde(rename = "to_nobody")]
    pub without_receiver: u64,
    /// Longer than the platform allows, and therefore not delivered.
    pub too_long: u64,
}

/// All paths among a number of schedulers.
pub struct GossipNetwork {
    /// By sender: what it sends to all others goes to this socket.
    inlets: Vec<UdpSocket>,
    /// By receiver, then sender: what arrives comes from this socket.
    outlets: Vec<Vec<UdpSocket>>,
    /// Where each scheduler listens, while it does.
    receivers: Vec<Cell<Option<SocketAddr>>>,
    /// By sender, then receiver: how many partitions hold.
    partitions: Vec<Vec<Cell<u32>>>,
    /// By scheduler: what the paths from and to it do.
    degradations: Vec<Cell<Degradation>>,
    random: RefCell<StdRng>,
    counts: Cell<DatagramCounts>,
}

impl GossipNetwork {
    /// Healthy paths among `nodes` schedulers; delays and chances go by the seed.
    ///
    /// # Errors
    /// If sockets cannot be bound.
    pub async fn start(nodes: usize, seed: u64) -> io::Result<Rc<Self>> {
        let mut inlets = Vec::new();
        let mut outlets = Vec::new();
        for _ in 0..nodes {
            inlets.push(UdpSocket::bind("127.0.0.1:0").await?);
            let mut from_each = Vec::new();
            for _ in 0..nodes {
                from_each.push(UdpSocket::bind("127.0.0.1:0").await?);
            }
            outlets.push(from_each);
        }
        let network = Rc::new(GossipNetwork {
            inlets,
            outlets,
            receivers: vec![Cell::default(); nodes],
            partitions: vec![vec![Cell::default(); nodes]; nodes],
            degradations: vec![Cell::default(); nodes],
            random: RefCell::new(StdRng::seed_from_u64(seed)),
            counts: Cell::default(),
        });
        for node in 0..nodes {
            spawn_local(Rc::clone(&network).forward_from(node));
        }
        Ok(network)
    }

    /// Forwards what a scheduler sends to all others.
    async fn forward_from(self: Rc<Self>, node: usize) {
        let mut bytes = [0; MOST_DATAGRAM_BYTES + 1];
        while let Ok((length, _)) = self.inlets[node].recv_from(&mut bytes).await {
            for to in (0..self.inlets.len()).filter(|to| *to != node) {
                self.forward(node, to, &bytes[..length]);
            }
        }
    }

    /// The addresses for one scheduler's configuration: where it sends to, and from where the others' datagrams come.
    ///
    /// # Errors
    /// If the system does not say where a socket is bound.
    pub fn addresses(&self, node: usize) -> io::Result<(SocketAddr, Vec<SocketAddr>)> {
        let peers = self.outlets[node].iter().map(UdpSocket::local_addr).collect::<Result<_, _>>()?;
        Ok((self.inlets[node].local_addr()?, peers))
    }

    /// A scheduler listens at this address from now on, or nowhere.
    pub fn set_receiver(&self, node: usize, address: Option<SocketAddr>) {
        self.receivers[node].set(address);
    }

    /// A partition in one direction begins. Partitions that overlap hold until the last has ended.
    pub fn begin_partition(&self, from: usize, to: usize) {
        let holding = &self.partitions[from][to];
        holding.set(holding.get() + 1);
    }

    /// A partition in one direction ends.
    pub fn end_partition(&self, from: usize, to: usize) {
        let holding = &self.partitions[from][to];
        holding.set(holding.get().saturating_sub(1));
    }

    /// What the paths from and to a scheduler do from now on.
    pub fn set_degradation(&self, node: usize, degradation: Degradation) {
        self.degradations[node].set(degradation);
    }

    /// What became of the datagrams so far.
    pub fn counts(&self) -> DatagramCounts {
        self.counts.get()
    }

    fn count(&self, change: impl FnOnce(&mut DatagramCounts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    fn forward(self: &Rc<Self>, from: usize, to: usize, bytes: &[u8]) {
        self.count(|counts| counts.sent += 1);
        if bytes.len() > MOST_DATAGRAM_BYTES {
            return self.count(|counts| counts.too_long += 1);
        }
        if self.partitions[from][to].get() > 0 {
            return self.count(|counts| counts.partitioned += 1);
        }
        let worst = worse(self.degradations[from].get(), self.degradations[to].get());
        let mut random = self.random.borrow_mut();
        if random.random_bool(worst.lost.clamp(0.0, 1.0)) {
            return self.count(|counts| counts.lost += 1);
        }
        let copies = 1 + u32::from(random.random_bool(worst.duplicated.clamp(0.0, 1.0)));
        for copy in 0..copies {
            let delay = Duration::from_millis(random.random_range(DELAY_MS));
            let extra = worst.longest_delay.mul_f64(random.random_range(0.0..1.0));
            let (network, bytes) = (Rc::clone(self), bytes.to_vec());
            spawn_local(async move {
                sleep(delay + extra).await;
                network.deliver(from, to, &bytes, copy > 0).await;
            });
        }
    }

    async fn deliver(&self, from: usize, to: usize, bytes: &[u8], is_duplicate: bool) {
        let Some(address) = self.receivers[to].get() else {
            return self.count(|counts| counts.without_receiver += 1);
        };
        if self.outlets[to][from].send_to(bytes, address).await.is_err() {
            return; // a datagram that the system does not take is lost like any other
        }
        self.count(|counts| match is_duplicate {
            false => counts.arrived += 1,
            true => counts.duplicated += 1,
        });
    }
}

/// The worse of two in each respect.
fn worse(one: Degradation, other: Degradation) -> Degradation {
    Degradation {
        lost: one.lost.max(other.lost),
        duplicated: one.duplicated.max(other.duplicated),
        longest_delay: one.longest_delay.max(other.longest_delay),
    }
}
