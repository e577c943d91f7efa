//! A wire between two sites: carries connections to an address with a delay each way, and fails on command.

use std::io;
use std::net::SocketAddr;
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

/// How a wire is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It carries.
    Sound,
    /// It says nothing, in neither direction. What was sent arrives once it is sound again, if anybody still
    /// listens.
    Cut,
    /// What the dialling side sends arrives; nothing comes back.
    CutBack,
}

/// One wire, from a port of its own to an address.
pub struct Wire {
    /// Where to dial.
    pub address: SocketAddr,
    target: watch::Sender<Option<SocketAddr>>,
    state: watch::Sender<State>,
    /// Grows with each reset: connections that began before it end.
    resets: watch::Sender<u64>,
}

/// Chunks on the way in one direction.
const ON_THE_WAY: usize = 1024;

impl Wire {
    /// A wire that leads nowhere yet, with a delay drawn for each chunk from this range, each way.
    ///
    /// # Errors
    /// If it cannot listen.
    pub async fn start(delay: (Duration, Duration), seed: u64) -> io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (state, resets) = (watch::Sender::new(State::Sound), watch::Sender::new(0));
        let this = Rc::new(Wire { address, target: watch::Sender::new(None), state, resets });
        let wire = Rc::clone(&this);
        spawn_local(async move {
            let mut seeds = StdRng::seed_from_u64(seed);
            while let Ok((near, _)) = listener.accept().await {
                let draws = [seeds.random(), seeds.random()];
                let wire = Rc::clone(&wire);
                spawn_local(async move { wire.carry(near, delay, draws).await });
            }
        });
        Ok(this)
    }

    /// New connections lead there from now on.
    pub fn lead(&self, target: SocketAddr) {
        self.target.send_replace(Some(target));
    }

    /// From now on the wire is like this.
    pub fn set(&self, state: State) {
        self.state.send_replace(state);
    }

    /// Every connection on it breaks.
    pub fn reset(&self) {
        self.resets.send_modify(|resets| *resets += 1);
    }

    async fn carry(&self, near: TcpStream, delay: (Duration, Duration), seeds: [u64; 2]) {
        let mut resets = self.resets.subscribe();
        let mut state = self.state.subscribe();
        // While it is cut, a new connection never comes up.
        let _ = state.wait_for(|state| *state != State::Cut).await;
        let target = *self.target.borrow();
        let Some(target) = target else { return };
        let Ok(far) = TcpStream::connect(target).await else { return };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
        let there = one_way(near_in, far_out, delay, seeds[0], self.state.subscribe(), |s| s != State::Cut);
        let back = one_way(far_in, near_out, delay, seeds[1], self.state.subscribe(), |s| s == State::Sound);
        tokio::select! {
            () = async { tokio::join!(there, back); } => {}
            _ = resets.changed() => {}
        }
    }
}

async fn one_way(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    delay: (Duration, Duration),
    seed: u64,
    mut state: watch::Receiver<State>,
    carries: impl Fn(State) -> bool,
) {
    let (sender, mut chunks) = mpsc::channel::<(Instant, Vec<u8>)>(ON_THE_WAY);
    let read = async move {
        let mut draws = StdRng::seed_from_u64(seed);
        let mut last = Instant::now();
        loop {
            let mut bytes = vec![0; 4096];
            let Ok(read @ 1..) = from.read(&mut bytes).await else { return };
            bytes.truncate(read);
            // In order, as on one connection.
            last = last.max(Instant::now() + draws.random_range(delay.0..=delay.1));
            if sender.send((last, bytes)).await.is_err() {
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
