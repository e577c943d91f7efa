//! The wires between schedulers, for datagrams: one for each direction of each pair, sound or not.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::plan::Rough;

/// The delay of a sound wire.
const WAY: (u64, u64) = (3, 22);
/// The longest datagram that the platform allows.
const LONGEST: usize = 256;

/// What the wires carried.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Carried {
    /// Datagrams that schedulers sent, counted once for each receiver.
    pub sent: u64,
    /// Of these, the ones that arrived, counted once.
    pub arrived: u64,
    /// Arrivals beyond the first.
    pub doubled: u64,
    /// Lost by chance.
    pub lost: u64,
    /// Lost in a cut.
    pub cut: u64,
    /// For a scheduler that was not there.
    pub to_nobody: u64,
    /// Longer than the platform allows, and therefore not carried.
    pub too_long: u64,
}

/// All wires among a number of schedulers.
pub struct Wires {
    /// What each sends to all others goes there.
    all: Vec<UdpSocket>,
    /// By receiver, then sender: what arrives comes from there.
    sources: Vec<Vec<UdpSocket>>,
    /// Where each listens, while it does.
    listens: Vec<Cell<Option<SocketAddr>>>,
    /// By sender, then receiver: how many cuts hold.
    cuts: Vec<Vec<Cell<u32>>>,
    /// By scheduler: how rough the wires from and to it are.
    rough: Vec<Cell<Rough>>,
    draws: RefCell<StdRng>,
    carried: Cell<Carried>,
}

impl Wires {
    /// Sound wires among `nodes` schedulers; delays and chances go by the seed.
    ///
    /// # Errors
    /// If sockets cannot be bound.
    pub async fn start(nodes: usize, seed: u64) -> io::Result<Rc<Self>> {
        let mut all = Vec::new();
        let mut sources = Vec::new();
        for _ in 0..nodes {
            all.push(UdpSocket::bind("127.0.0.1:0").await?);
            let mut from = Vec::new();
            for _ in 0..nodes {
                from.push(UdpSocket::bind("127.0.0.1:0").await?);
            }
            sources.push(from);
        }
        let wires = Rc::new(Wires {
            all,
            sources,
            listens: vec![Cell::default(); nodes],
            cuts: vec![vec![Cell::default(); nodes]; nodes],
            rough: vec![Cell::default(); nodes],
            draws: RefCell::new(StdRng::seed_from_u64(seed)),
            carried: Cell::default(),
        });
        for node in 0..nodes {
            let wires = Rc::clone(&wires);
            spawn_local(async move {
                let mut bytes = [0; LONGEST + 1];
                while let Ok((length, _)) = wires.all[node].recv_from(&mut bytes).await {
                    (0..nodes)
                        .filter(|to| *to != node)
                        .for_each(|to| wires.carry(node, to, &bytes[..length]));
                }
            });
        }
        Ok(wires)
    }

    /// The configuration's words for one scheduler: where it sends to, and from where the others' datagrams come.
    ///
    /// # Errors
    /// If the system does not say where a socket is bound.
    pub fn addresses(&self, node: usize) -> io::Result<(SocketAddr, Vec<SocketAddr>)> {
        let peers = self.sources[node].iter().map(UdpSocket::local_addr).collect::<Result<_, _>>()?;
        Ok((self.all[node].local_addr()?, peers))
    }

    /// A scheduler listens there from now on, or nowhere.
    pub fn listens(&self, node: usize, at: Option<SocketAddr>) {
        self.listens[node].set(at);
    }

    /// A cut in one direction begins or ends; cuts that overlap hold until the last has ended.
    pub fn cut(&self, from: usize, to: usize, begins: bool) {
        let holds = &self.cuts[from][to];
        holds.set(if begins { holds.get() + 1 } else { holds.get().saturating_sub(1) });
    }

    /// How rough the wires from and to a scheduler are from now on.
    pub fn roughen(&self, node: usize, rough: Rough) {
        self.rough[node].set(rough);
    }

    /// What was carried so far.
    pub fn carried(&self) -> Carried {
        self.carried.get()
    }

    fn count(&self, change: impl FnOnce(&mut Carried)) {
        let mut carried = self.carried.get();
        change(&mut carried);
        self.carried.set(carried);
    }

    fn carry(self: &Rc<Self>, from: usize, to: usize, bytes: &[u8]) {
        self.count(|c| c.sent += 1);
        if bytes.len() > LONGEST {
            return self.count(|c| c.too_long += 1);
        }
        if self.cuts[from][to].get() > 0 {
            return self.count(|c| c.cut += 1);
        }
        let (one, other) = (self.rough[from].get(), self.rough[to].get());
        let mut draws = self.draws.borrow_mut();
        if draws.random_bool(one.lost.max(other.lost).clamp(0.0, 1.0)) {
            return self.count(|c| c.lost += 1);
        }
        let copies = 1 + u32::from(draws.random_bool(one.doubled.max(other.doubled).clamp(0.0, 1.0)));
        let late = one.late.max(other.late);
        for copy in 0..copies {
            let way = Duration::from_millis(draws.random_range(WAY.0..WAY.1));
            let delay = way + late.mul_f64(draws.random_range(0.0..1.0));
            let (wires, bytes) = (Rc::clone(self), bytes.to_vec());
            spawn_local(async move {
                sleep(delay).await;
                let Some(at) = wires.listens[to].get() else { return wires.count(|c| c.to_nobody += 1) };
                if wires.sources[to][from].send_to(&bytes, at).await.is_ok() {
                    wires.count(|c| if copy == 0 { c.arrived += 1 } else { c.doubled += 1 });
                }
            });
        }
    }
}
