//! Follows discovery's list of members, the pool, and hands every change to the engine.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep_until, Instant};

use crate::config::endpoint_list::EndpointListUpdate;
use crate::server::discovery::deadlines::TOLD;
use crate::server::discovery::stream_reader::{StreamItem, StreamReader};
use crate::server::discovery::watch_supervisor::{CallId, WatchSupervisor};
use crate::server::engine_queue::{EngineMessage, EngineQueue};
use crate::server::http::{Connection, HttpError};
use crate::server::metrics::Counters;

/// A whole list that is older than what is known is passed over for this long, in which whoever serves it can catch
/// up; discovery has then been set back. A second before what it has to tell counts as told, it is asked anew.
const CATCH_UP: Duration = TOLD.saturating_sub(Duration::from_secs(1));
/// Chunks that wait to be taken up.
const WAITING: usize = 16;
/// The longest line, and so the longest list, that is taken.
const LINE_BYTES: usize = 4 * 1024 * 1024;

/// Why a watch ended.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("no connection: {0}")]
    Connect(#[from] std::io::Error),
    #[error(transparent)]
    Http(#[from] HttpError),
    #[error("answered with status {0}")]
    Status(u16),
    #[error("the watch ended")]
    Ended,
    #[error("a line is too long")]
    LongLine,
}

/// Waits for another address; for good, once there can be none.
async fn changed(addresses: &mut watch::Receiver<SocketAddr>) {
    if addresses.changed().await.is_err() {
        std::future::pending().await
    }
}

/// What one call has brought: a chunk, or its end.
type CallReport = (CallId, Result<Bytes, WatchError>);

/// A watch of discovery, and the calls beside it while it is doubted.
pub struct DiscoveryWatch {
    address: SocketAddr,
    /// The version that is known.
    version: u64,
    queue: EngineQueue,
    counters: Rc<Counters>,
    vigil: WatchSupervisor,
    /// Since when discovery tells of less than is known.
    behind: Option<Instant>,
    calls: HashMap<CallId, Call>,
    /// It has been written down that nothing is heard.
    lost: bool,
    origin: Instant,
}

struct Call {
    /// Ends with the call.
    _task: JoinSet<()>,
    reading: StreamReader,
}

impl DiscoveryWatch {
    /// Of discovery at this address, from this version on. The vigil counts from now.
    pub fn new(
        address: SocketAddr,
        version: u64,
        queue: EngineQueue,
        counters: Rc<Counters>,
        vigil: WatchSupervisor,
    ) -> Self {
        let (calls, origin) = (HashMap::new(), Instant::now());
        DiscoveryWatch { address, version, queue, counters, vigil, behind: None, calls, lost: false, origin }
    }

    /// Follows discovery for good, at the address that counts at the time. While it is silent, the pool
    /// stays as it was last told.
    pub async fn run(mut self, mut addresses: watch::Receiver<SocketAddr>) {
        let (says, mut said) = mpsc::channel::<CallReport>(WAITING);
        self.address = *addresses.borrow_and_update();
        loop {
            let ask_at = self.origin + self.vigil.ask_at();
            tokio::select! {
                biased; // what the old address says once another counts is old news
                () = changed(&mut addresses) => {
                    let address = *addresses.borrow_and_update();
                    if address != self.address {
                        // Its versions are its own. Until it speaks, what the old one told last still holds.
                        tracing::info!("discovery is followed at {address} from now on");
                        (self.address, self.lost) = (address, false);
                        self.anew();
                    }
                }
                Some((id, what)) = said.recv() => self.take(id, what),
                () = sleep_until(ask_at) => self.ask(&says),
            }
            self.calls.retain(|id, _| self.vigil.holds(*id));
        }
    }

    fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// From now on what discovery tells is all that counts.
    fn anew(&mut self) {
        (self.version, self.behind) = (0, None);
        self.vigil.anew(self.now());
    }

    fn ask(&mut self, says: &mpsc::Sender<CallReport>) {
        if self.is_set_back() {
            (self.version, self.behind) = (0, None);
        }
        let id = self.vigil.ask(self.now());
        tracing::debug!(id, since = self.version, "discovery is asked");
        if id > 1 {
            self.counters.pool_reconnects.add();
        }
        if self.calls.keys().any(|call| *call != id) {
            tracing::debug!("nothing is heard from discovery, which is asked anew");
            self.lose("nothing came for a while");
        }
        let (address, since, says) = (self.address, self.version, says.clone());
        let mut task = JoinSet::new();
        task.spawn_local(async move {
            let Err(error) = follow(address, since, id, &says).await;
            let _ = says.send((id, Err(error))).await; // only a scheduler that ends does not listen
        });
        self.calls.insert(id, Call { _task: task, reading: StreamReader::default() });
    }

    fn take(&mut self, id: CallId, said: Result<Bytes, WatchError>) {
        let Some(call) = self.calls.get_mut(&id) else { return }; // given up meanwhile
        let ended = match said {
            Ok(chunk) => {
                let pieces = call.reading.take(&chunk);
                let (open, long) = (call.reading.is_open(), call.reading.len() > LINE_BYTES);
                // A list that has begun may never end: only what is whole has been said.
                if !open {
                    self.vigil.spoke(self.now(), id);
                    self.lost = false;
                }
                for piece in pieces {
                    match piece {
                        StreamItem::Value(mut value) => self.list(&mut value),
                        StreamItem::Nonsense => self.malformed("a line that is no list"),
                    }
                }
                if self.is_set_back() {
                    self.anew();
                }
                long.then_some(WatchError::LongLine)
            }
            Err(error) => Some(error),
        };
        if let Some(error) = ended {
            tracing::debug!(id, "a call to discovery ended: {error}");
            self.vigil.ended(self.now(), id);
            self.lose(&error.to_string());
        }
    }

    /// Once for each time that discovery is lost, not for each try.
    fn lose(&mut self, why: &str) {
        if !std::mem::replace(&mut self.lost, true) {
            tracing::warn!("discovery lost, the pool stays as last told: {why}");
        }
    }

    /// Takes up one list.
    fn list(&mut self, line: &mut [u8]) {
        tracing::trace!(line = %line.escape_ascii(), "pool told");
        let tape = simd_json::to_tape(line);
        let Some(update) = tape.ok().and_then(|tape| EndpointListUpdate::read(&tape.as_value())) else {
            return self.malformed("a line that is no list");
        };
        if update.unreadable_entries > 0 {
            self.malformed("a list with entries that make no sense");
        }
        // What is older than what is known would bring back members that leave or have left.
        if update.version >= self.version {
            (self.version, self.behind) = (update.version, None);
            self.counters.pool_updates.add();
            self.queue.send(EngineMessage::EndpointListChanged(update));
        } else if self.behind.is_none() {
            self.behind = Some(Instant::now());
            let (known, told) = (self.version, update.version);
            tracing::warn!("discovery tells version {told} of the pool, but has told {known}: passed over");
        }
    }

    /// Whether discovery has been behind for so long that it will not catch up.
    fn is_set_back(&self) -> bool {
        self.behind.is_some_and(|since| since.elapsed() >= CATCH_UP)
    }

    fn malformed(&self, what: &str) {
        if self.counters.pool_malformed.add().is_power_of_two() {
            tracing::warn!("discovery sent {what}");
        }
    }
}

/// One call, until it ends: opens a watch and hands on what it says.
async fn follow(
    address: SocketAddr,
    since: u64,
    id: CallId,
    says: &mpsc::Sender<CallReport>,
) -> Result<Infallible, WatchError> {
    let mut connection = Connection::connect(address).await?;
    let target = format!("GET /v1/endpoints?follow=1&since={since} HTTP/1.1\r\n");
    connection.write(&[target.as_bytes(), format!("Host: {address}\r\n\r\n").as_bytes()]).await?;
    let head = connection.response_head().await?;
    if head.status != 200 {
        return Err(WatchError::Status(head.status));
    }
    loop {
        let chunk = connection.chunk(LINE_BYTES).await?.ok_or(WatchError::Ended)?;
        let _ = says.send((id, Ok(chunk))).await; // only a scheduler that ends does not listen
    }
}
