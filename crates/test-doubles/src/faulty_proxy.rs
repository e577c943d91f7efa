//! A proxy between two sites: carries connections to a target with a delay each way, and fails on command.
//!
//! It works like a fault-injecting TCP proxy such as Toxiproxy. Bytes are neither lost nor reordered within a
//! connection, as TCP would not either; they are delayed, held back, or the connection is reset.

use std::io;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::{sleep_until, Instant};

/// What a proxy lets through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyState {
    /// Everything, in both directions.
    Healthy,
    /// Nothing, in either direction. What was sent arrives once it is healthy again, if anybody still listens.
    Partitioned,
    /// What the dialling side sends; nothing comes back.
    PartitionedReturn,
}

/// A proxy from a port of its own to a target.
pub struct FaultyProxy {
    /// Where to dial.
    pub address: SocketAddr,
    target: watch::Sender<Option<SocketAddr>>,
    state: watch::Sender<ProxyState>,
    /// Grows with each reset: connections that began before it are closed.
    resets: watch::Sender<u64>,
}

/// Chunks under way in one direction, at most.
const MOST_CHUNKS: usize = 1024;

impl FaultyProxy {
    /// A proxy without a target yet, with a delay drawn for each chunk from this range, each way.
    ///
    /// # Errors
    /// If it cannot listen.
    pub async fn start(delay: RangeInclusive<Duration>, seed: u64) -> io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (state, resets) = (watch::Sender::new(ProxyState::Healthy), watch::Sender::new(0));
        let proxy = Rc::new(FaultyProxy { address, target: watch::Sender::new(None), state, resets });
        let carrier = Rc::clone(&proxy);
        spawn_local(async move {
            let mut random = StdRng::seed_from_u64(seed);
            while let Ok((near, _)) = listener.accept().await {
                let seeds = [random.random(), random.random()];
                let (carrier, delay) = (Rc::clone(&carrier), delay.clone());
                spawn_local(async move { carrier.carry(near, delay, seeds).await });
            }
        });
        Ok(proxy)
    }

    /// New connections are carried to this target from now on.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }

    /// Changes what is let through.
    pub fn set_state(&self, state: ProxyState) {
        self.state.send_replace(state);
    }

    /// Resets every connection.
    pub fn reset(&self) {
        self.resets.send_modify(|resets| *resets += 1);
    }

    async fn carry(&self, near: TcpStream, delay: RangeInclusive<Duration>, seeds: [u64; 2]) {
        let mut resets = self.resets.subscribe();
        let mut state = self.state.subscribe();
        // While it is partitioned, a new connection never comes up.
        let _ = state.wait_for(|state| *state != ProxyState::Partitioned).await;
        let target = *self.target.borrow();
        let Some(target) = target else { return };
        let Ok(far) = TcpStream::connect(target).await else { return };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
        let there = one_way(near_in, far_out, delay.clone(), seeds[0], self.state.subscribe(), |s| {
            s != ProxyState::Partitioned
        });
        let back =
            one_way(far_in, near_out, delay, seeds[1], self.state.subscribe(), |s| s == ProxyState::Healthy);
        tokio::select! {
            () = async { tokio::join!(there, back); } => {}
            _ = resets.changed() => {}
        }
    }
}

async fn one_way(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    delay: RangeInclusive<Duration>,
    seed: u64,
    mut state: watch::Receiver<ProxyState>,
    carries: impl Fn(ProxyState) -> bool,
) {
    let (sender, mut chunks) = mpsc::channel::<(Instant, Vec<u8>)>(MOST_CHUNKS);
    let read = async move {
        let mut random = StdRng::seed_from_u64(seed);
        let mut last_arrival = Instant::now();
        loop {
            let mut bytes = vec![0; 4096];
            let Ok(read @ 1..) = from.read(&mut bytes).await else { return };
            bytes.truncate(read);
            // In order, as on one connection.
            last_arrival = last_arrival.max(Instant::now() + random.random_range(delay.clone()));
            if sender.send((last_arrival, bytes)).await.is_err() {
                return;
            }
        }
    };
    let write = async move {
        while let Some((at, bytes)) = chunks.recv().await {
            sleep_until(at).await;
            let _ = state.wait_for(|state| carries(*state)).await;
            if to.write_all(&bytes).await.is_err() {
                return;
            }
        }
        let _ = to.shutdown().await;
    };
    tokio::join!(read, write);
}
