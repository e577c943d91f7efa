//! The task that follows discovery: opens polls when [`watch_supervisor`](super::watch_supervisor) says so, reads
//! what they bring, and hands each endpoint list to the engine.
//!
//! Ignored, with a line in the log: lines that are no list, entries of a list that cannot be read, and for a while
//! lists that are older than the known one ([`list_version`](super::list_version)). Only complete data counts as a
//! sign of life, since a list that has begun may never end.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, Instant};

use crate::config::endpoint_list::EndpointListUpdate;
use crate::server::discovery::list_version::{ListVersion, VersionCheck};
use crate::server::discovery::poll::{Poll, PollError, PollReport, PollRequest, MAX_LIST_BYTES};
use crate::server::discovery::stream_reader::StreamItem;
use crate::server::discovery::watch_state::PollId;
use crate::server::discovery::watch_supervisor::WatchSupervisor;
use crate::server::engine_queue::{EngineMessage, EngineQueue};
use crate::server::metrics::Counters;

/// Chunks that may wait to be read; a poll that brings more waits.
const MAX_WAITING_CHUNKS: usize = 16;

/// The watch of discovery, with the polls beside it while it is suspected.
pub struct DiscoveryWatch {
    address: SocketAddr,
    version: ListVersion,
    queue: EngineQueue,
    counters: Rc<Counters>,
    supervisor: WatchSupervisor,
    /// The open streams: the watch and the polls.
    polls: HashMap<PollId, Poll>,
    /// The loss of discovery has been logged, and nothing has been received since.
    lost: bool,
    /// Where the supervisor's times begin.
    origin: Instant,
}

impl DiscoveryWatch {
    /// Follows discovery at this address, from this version of the list on. The supervisor's times begin now.
    pub fn new(
        address: SocketAddr,
        version: u64,
        queue: EngineQueue,
        counters: Rc<Counters>,
        supervisor: WatchSupervisor,
    ) -> Self {
        DiscoveryWatch {
            address,
            version: ListVersion::new(version),
            queue,
            counters,
            supervisor,
            polls: HashMap::new(),
            lost: false,
            origin: Instant::now(),
        }
    }

    /// Follows discovery until the process ends, always at the latest of `addresses`. While discovery is silent, the
    /// endpoint list stays as it was last received.
    pub async fn run(mut self, mut addresses: watch::Receiver<SocketAddr>) {
        let (reports, mut received) = mpsc::channel::<PollReport>(MAX_WAITING_CHUNKS);
        self.address = *addresses.borrow_and_update();
        loop {
            let next_poll_at = self.origin + self.supervisor.next_poll_at();
            tokio::select! {
                biased; // what the old address has sent is void once there is another
                () = changed(&mut addresses) => {
                    let address = *addresses.borrow_and_update();
                    self.follow_address(address);
                }
                Some(report) = received.recv() => self.report_received(report),
                () = sleep_until(next_poll_at) => self.open_poll(&reports),
            }
            self.polls.retain(|id, _| self.supervisor.is_open(*id));
        }
    }

    fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Follows discovery at another address. Until it sends a list, the last one of the old address is in use.
    fn follow_address(&mut self, address: SocketAddr) {
        if address == self.address {
            return;
        }
        tracing::info!(%address, "following discovery at a new address");
        self.address = address;
        self.lost = false;
        self.reopen();
    }

    /// Begins again: the next list is taken up whatever its version.
    fn reopen(&mut self) {
        self.version.reset();
        self.supervisor.reopened(self.now());
    }

    fn open_poll(&mut self, reports: &mpsc::Sender<PollReport>) {
        if self.version.is_set_back(Instant::now()) {
            self.version.reset();
        }
        let id = self.supervisor.poll_opened(self.now());
        let since = self.version.known();
        tracing::debug!(poll = id, since, "polling discovery");
        if id > 1 {
            self.counters.pool_reconnects.add();
        }
        let others_open = self.polls.keys().any(|open| *open != id);
        if others_open {
            tracing::debug!("discovery silent, polling beside the open streams");
            self.log_loss(&PollError::Silent);
        }
        let request = PollRequest { id, address: self.address, since };
        self.polls.insert(id, Poll::open(request, reports.clone()));
    }

    fn report_received(&mut self, report: PollReport) {
        let id = report.id;
        if !self.polls.contains_key(&id) {
            return; // closed meanwhile
        }
        let read = match report.result {
            Ok(chunk) => self.chunk_received(id, &chunk),
            Err(error) => Err(error),
        };
        if let Err(error) = read {
            tracing::debug!(poll = id, %error, "discovery poll ended");
            self.supervisor.stream_ended(self.now(), id);
            self.log_loss(&error);
        }
    }

    /// Reads a chunk and takes up the lists that it completes.
    fn chunk_received(&mut self, id: PollId, chunk: &Bytes) -> Result<(), PollError> {
        let Some(poll) = self.polls.get_mut(&id) else { return Ok(()) };
        let items = poll.reader.push(chunk);
        let (incomplete, too_long) = (poll.reader.is_incomplete(), poll.reader.len() > MAX_LIST_BYTES);
        if !incomplete {
            self.supervisor.data_received(self.now(), id);
            self.lost = false;
        }
        for item in items {
            match item {
                StreamItem::Value(mut value) => self.list_received(&mut value),
                StreamItem::MalformedLine => self.count_malformed("line"),
            }
        }
        if self.version.is_set_back(Instant::now()) {
            self.reopen();
        }
        if too_long {
            return Err(PollError::ListTooLong);
        }
        Ok(())
    }

    /// Hands a list to the engine, unless it is malformed or old.
    fn list_received(&mut self, line: &mut [u8]) {
        tracing::trace!(line = %line.escape_ascii(), "endpoint list received");
        let tape = simd_json::to_tape(line);
        let Some(update) = tape.ok().and_then(|tape| EndpointListUpdate::parse(&tape.as_value())) else {
            return self.count_malformed("line");
        };
        if update.unreadable_entries > 0 {
            self.count_malformed("entry");
        }
        let (received_version, known_version) = (update.version, self.version.known());
        match self.version.check(received_version, Instant::now()) {
            VersionCheck::Current => {
                self.counters.pool_updates.add();
                self.queue.send(EngineMessage::EndpointListChanged(update));
            }
            VersionCheck::FirstOlder => {
                tracing::warn!(
                    received_version,
                    known_version,
                    "ignored an endpoint list of an older version"
                );
            }
            VersionCheck::StillOlder => {}
        }
    }

    /// Logged once for each loss of discovery, not for each poll.
    fn log_loss(&mut self, error: &PollError) {
        if self.lost {
            return;
        }
        self.lost = true;
        tracing::warn!(%error, "discovery lost, endpoint list unchanged");
    }

    /// Counts malformed data; logged at the 1st, 2nd, 4th and so on.
    fn count_malformed(&self, malformed: &str) {
        let count = self.counters.pool_malformed.add();
        if count.is_power_of_two() {
            tracing::warn!(malformed, count, "discovery sent malformed data");
        }
    }
}

/// Waits for another address; forever, once there can be none.
async fn changed(addresses: &mut watch::Receiver<SocketAddr>) {
    if addresses.changed().await.is_err() {
        std::future::pending().await
    }
}
