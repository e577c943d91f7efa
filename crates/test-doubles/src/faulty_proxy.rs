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
const CHUNK_BYTES: usize = 4096;

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
        let outward = Direction {
            delay: delay.clone(),
            seed: seeds[0],
            state: self.state.subscribe(),
            carries: |state| state != ProxyState::Partitioned,
        };
        let back = Direction {
            delay,
            seed: seeds[1],
            state: self.state.subscribe(),
            carries: |state| state == ProxyState::Healthy,
        };
        let (there, back) = (outward.copy(near_in, far_out), back.copy(far_in, near_out));
        tokio::select! {
            () = async { tokio::join!(there, back); } => {}
            _ = resets.changed() => {}
        }
    }
}

/// What happens to the bytes of one connection in one direction.
struct Direction {
    delay: RangeInclusive<Duration>,
    seed: u64,
    state: watch::Receiver<ProxyState>,
    /// Whether bytes pass in a state.
    carries: fn(ProxyState) -> bool,
}

impl Direction {
    /// Copies until one of the ends is closed.
    async fn copy(self, from: OwnedReadHalf, to: OwnedWriteHalf) {
        let (sender, chunks) = mpsc::channel(MOST_CHUNKS);
        let Direction { delay, seed, state, carries } = self;
        let read = read_chunks(from, sender, delay, seed);
        let write = write_chunks(to, chunks, state, carries);
        tokio::join!(read, write);
    }
}

/// Bytes under way, and when they arrive.
struct Chunk {
    arrives_at: Instant,
    bytes: Vec<u8>,
}

async fn read_chunks(
    mut from: OwnedReadHalf,
    sender: mpsc::Sender<Chunk>,
    delay: RangeInclusive<Duration>,
    seed: u64,
) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut arrives_at = Instant::now();
    loop {
        let mut bytes = vec![0; CHUNK_BYTES];
        let Ok(read @ 1..) = from.read(&mut bytes).await else { return };
        bytes.truncate(read);
        // In order, as on one connection.
        arrives_at = arrives_at.max(Instant::now() + random.random_range(delay.clone()));
        if sender.send(Chunk { arrives_at, bytes }).await.is_err() {
            return;
        }
    }
}

async fn write_chunks(
    mut to: OwnedWriteHalf,
    mut chunks: mpsc::Receiver<Chunk>,
    mut state: watch::Receiver<ProxyState>,
    carries: fn(ProxyState) -> bool,
) {
    while let Some(chunk) = chunks.recv().await {
        sleep_until(chunk.arrives_at).await;
        // It fails only when the proxy is gone, and then nobody cares for the bytes.
        let _ = state.wait_for(|state| carries(*state)).await;
        if to.write_all(&chunk.bytes).await.is_err() {
            return;
        }
    }
    // The other end may have closed before.
    let _ = to.shutdown().await;
}
