//! A fault-injecting TCP proxy between two sites, similar to Toxiproxy. It forwards connections to a target with a random
//! delay in each direction, and injects faults on command.
//!
//! As with TCP, bytes of a connection are neither lost nor reordered. They are delayed or held back, or the connection
//! is reset.

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

/// Which directions a proxy forwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyState {
    /// Forwards both directions.
    Healthy,
    /// Holds back the bytes of both directions. They arrive once the proxy is healthy again, unless the connection was
    /// closed in the meantime.
    Partitioned,
    /// Forwards to the target, and holds back what the target sends.
    PartitionedReturn,
}

/// A proxy from its own port to a target.
pub struct FaultyProxy {
    /// The address on which the proxy listens.
    pub address: SocketAddr,
    target: watch::Sender<Option<SocketAddr>>,
    state: watch::Sender<ProxyState>,
    /// Number of resets so far. Each change closes all connections.
    resets: watch::Sender<u64>,
}

/// Maximum number of chunks in transit in one direction of a connection.
const MAX_CHUNKS: usize = 1024;
const CHUNK_BYTES: usize = 4096;

impl FaultyProxy {
    /// Starts a proxy without a target. The delay of each chunk is drawn from this range.
    ///
    /// # Errors
    /// If the proxy cannot listen on loopback.
    pub async fn start(delay: RangeInclusive<Duration>, seed: u64) -> io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (state, resets) = (watch::Sender::new(ProxyState::Healthy), watch::Sender::new(0));
        let proxy = Rc::new(FaultyProxy { address, target: watch::Sender::new(None), state, resets });
        let acceptor = Rc::clone(&proxy);
        spawn_local(async move {
            let mut random = StdRng::seed_from_u64(seed);
            while let Ok((client, _)) = listener.accept().await {
                let seeds = [random.random(), random.random()];
                let (forwarder, delay) = (Rc::clone(&acceptor), delay.clone());
                spawn_local(async move { forwarder.forward(client, delay, seeds).await });
            }
        });
        Ok(proxy)
    }

    /// Sets the target of new connections.
    pub fn set_target(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }

    /// Sets which directions the proxy forwards.
    pub fn set_state(&self, state: ProxyState) {
        self.state.send_replace(state);
    }

    /// Resets every connection.
    pub fn reset(&self) {
        self.resets.send_modify(|resets| *resets += 1);
    }

    async fn forward(&self, client: TcpStream, delay: RangeInclusive<Duration>, seeds: [u64; 2]) {
        let mut resets = self.resets.subscribe();
        let mut state = self.state.subscribe();
        // A new connection is not established before the partition heals.
        let _ = state.wait_for(|state| *state != ProxyState::Partitioned).await;
        let target = *self.target.borrow();
        let Some(target_address) = target else { return };
        let Ok(target) = TcpStream::connect(target_address).await else { return };
        let _ = (client.set_nodelay(true), target.set_nodelay(true));
        let ((client_read, client_write), (target_read, target_write)) =
            (client.into_split(), target.into_split());
        let to_target = Direction {
            delay: delay.clone(),
            seed: seeds[0],
            state: self.state.subscribe(),
            forwards: |state| state != ProxyState::Partitioned,
        };
        let to_client = Direction {
            delay,
            seed: seeds[1],
            state: self.state.subscribe(),
            forwards: |state| state == ProxyState::Healthy,
        };
        let (to_target, to_client) =
            (to_target.copy(client_read, target_write), to_client.copy(target_read, client_write));
        tokio::select! {
            () = async { tokio::join!(to_target, to_client); } => {}
            _ = resets.changed() => {}
        }
    }
}

/// One direction of a proxied connection.
struct Direction {
    delay: RangeInclusive<Duration>,
    seed: u64,
    state: watch::Receiver<ProxyState>,
    /// Whether this direction forwards bytes in a state of the proxy.
    forwards: fn(ProxyState) -> bool,
}

impl Direction {
    /// Copies bytes until either side closes the connection.
    async fn copy(self, from: OwnedReadHalf, to: OwnedWriteHalf) {
        let (sender, chunks) = mpsc::channel(MAX_CHUNKS);
        let Direction { delay, seed, state, forwards } = self;
        let read = read_chunks(from, sender, delay, seed);
        let write = write_chunks(to, chunks, state, forwards);
        tokio::join!(read, write);
    }
}

/// Bytes in transit, and their arrival time.
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
        // Chunks of a connection arrive in order.
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
    forwards: fn(ProxyState) -> bool,
) {
    while let Some(chunk) = chunks.recv().await {
        sleep_until(chunk.arrives_at).await;
        // Fails only if the proxy was dropped, and then the bytes no longer matter.
        let _ = state.wait_for(|state| forwards(*state)).await;
        if to.write_all(&chunk.bytes).await.is_err() {
            return;
        }
    }
    // Fails if the remote side has already closed the connection.
    let _ = to.shutdown().await;
}
