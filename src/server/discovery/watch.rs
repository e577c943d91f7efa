//! The discovery task: opens polls when [`watch_supervisor`](super::watch_supervisor) finds them due, reads their
//! streams, and passes each endpoint list to the engine.
//!
//! The task logs and ignores malformed lines, unreadable entries of a list and, for a limited time, lists with an
//! outdated version ([`list_version`](super::list_version)). Only complete data counts as a sign of life, because a
//! partial list may never be completed.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, Instant};

use crate::config::endpoint_list::EndpointListUpdate;
use crate::server::discovery::list_tracker::ListTracker;
use crate::server::discovery::list_version::VersionCheck;
use crate::server::discovery::poll::{Poll, PollError, PollEvent, PollRequest, MAX_LIST_BYTES};
use crate::server::discovery::stream_reader::StreamItem;
use crate::server::discovery::watch_state::PollId;
use crate::server::discovery::watch_supervisor::WatchSupervisor;
use crate::server::metrics::Counters;

/// Capacity of the queue of poll events. Polls wait while it is full.
const MAX_QUEUED_EVENTS: usize = 16;

/// Follows the endpoint list on the watch, and on polls while there is no watch or it is suspected.
pub struct DiscoveryWatch {
    list: Rc<ListTracker>,
    counters: Rc<Counters>,
    supervisor: WatchSupervisor,
    /// All open streams: the watch and the polls.
    polls: HashMap<PollId, Poll>,
    /// Whether the current loss of discovery has been logged. Cleared when data is received.
    loss_logged: bool,
    /// Origin of the supervisor's times.
    origin: Instant,
}

impl DiscoveryWatch {
    /// Creates a task that follows discovery from the list in use on. The supervisor's times are relative to this call.
    pub fn new(list: Rc<ListTracker>, counters: Rc<Counters>, supervisor: WatchSupervisor) -> Self {
        DiscoveryWatch {
            list,
            counters,
            supervisor,
            polls: HashMap::new(),
            loss_logged: false,
            origin: Instant::now(),
        }
    }

    /// Follows discovery at the latest of `addresses` until the process ends. While discovery is silent, the last
    /// endpoint list stays in use.
    pub async fn run(mut self, mut addresses: watch::Receiver<SocketAddr>) {
        let (events, mut event_receiver) = mpsc::channel::<PollEvent>(MAX_QUEUED_EVENTS);
        let address = *addresses.borrow_and_update();
        self.change_address(address);
        loop {
            let next_poll_at = self.origin + self.supervisor.next_poll_at();
            tokio::select! {
                biased; // a new address makes all data from the old one obsolete
                () = address_changed(&mut addresses) => {
                    let address = *addresses.borrow_and_update();
                    self.change_address(address);
                }
                Some(event) = event_receiver.recv() => self.handle_poll_event(event),
                () = sleep_until(next_poll_at) => self.open_poll(&events),
            }
            self.polls.retain(|id, _| self.supervisor.is_open(*id));
        }
    }

    fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Switches to a new address. The list from the old address stays in use until the new one sends a list.
    fn change_address(&mut self, address: SocketAddr) {
        if address == self.list.followed() {
            return;
        }
        tracing::info!(%address, "following discovery at a new address");
        self.list.follow(address);
        self.loss_logged = false;
        self.supervisor.reset(self.now());
    }

    /// Closes all streams and starts over. The next list is applied whatever its version.
    fn restart(&mut self) {
        self.list.restart();
        self.supervisor.reset(self.now());
    }

    fn open_poll(&mut self, events: &mpsc::Sender<PollEvent>) {
        if self.list.has_regressed(Instant::now()) {
            self.list.restart();
        }
        let id = self.supervisor.poll_opened(self.now());
        let since = self.list.known_version();
        tracing::debug!(poll = id, since, "polling discovery");
        if id > 1 {
            self.counters.pool_reconnects.add();
        }
        let has_other_streams = self.polls.keys().any(|open| *open != id);
        if has_other_streams {
            tracing::debug!("discovery silent, polling beside the open streams");
            self.log_loss(&PollError::Silent);
        }
        let request = PollRequest { id, address: self.list.followed(), since };
        self.polls.insert(id, Poll::open(request, events.clone()));
    }

    fn handle_poll_event(&mut self, event: PollEvent) {
        let id = event.id;
        if !self.polls.contains_key(&id) {
            return; // the stream has been closed
        }
        let read = match event.result {
            Ok(chunk) => self.read_chunk(id, &chunk),
            Err(error) => Err(error),
        };
        if let Err(error) = read {
            tracing::debug!(poll = id, %error, "discovery poll ended");
            self.supervisor.stream_ended(self.now(), id);
            self.log_loss(&error);
        }
    }

    /// Reads a chunk and processes the lists that it completes.
    fn read_chunk(&mut self, id: PollId, chunk: &Bytes) -> Result<(), PollError> {
        let Some(poll) = self.polls.get_mut(&id) else { return Ok(()) };
        let items = poll.reader.push(chunk);
        let (incomplete, too_long) = (poll.reader.is_incomplete(), poll.reader.len() > MAX_LIST_BYTES);
        if !incomplete {
            self.supervisor.data_received(self.now(), id);
            self.loss_logged = false;
        }
        for item in items {
            match item {
                StreamItem::Value(mut value) => self.handle_list(&mut value),
                StreamItem::MalformedLine => self.count_malformed("line"),
            }
        }
        if self.list.has_regressed(Instant::now()) {
            self.restart();
        }
        if too_long {
            return Err(PollError::ListTooLong);
        }
        Ok(())
    }

    /// Passes a list to the engine, unless it is malformed or outdated.
    fn handle_list(&mut self, list: &mut [u8]) {
        tracing::trace!(line = %list.escape_ascii(), "endpoint list received");
        let tape = simd_json::to_tape(list);
        let Some(update) = tape.ok().and_then(|tape| EndpointListUpdate::parse(&tape.as_value())) else {
            return self.count_malformed("line");
        };
        if update.unreadable_entries > 0 {
            self.count_malformed("entry");
        }
        let (received_version, known_version) = (update.version, self.list.known_version());
        match self.list.received_from_discovery(update, Instant::now()) {
            VersionCheck::Current => {}
            VersionCheck::FirstOutdated => {
                tracing::warn!(
                    received_version,
                    known_version,
                    "ignored an endpoint list of an older version"
                );
            }
            VersionCheck::RepeatedOutdated => {}
        }
    }

    /// Logs the loss of discovery, once for each loss rather than for each poll.
    fn log_loss(&mut self, error: &PollError) {
        if self.loss_logged {
            return;
        }
        self.loss_logged = true;
        tracing::warn!(%error, "discovery lost, endpoint list unchanged");
    }

    /// Counts malformed data and logs the 1st, 2nd, 4th, 8th and so on.
    fn count_malformed(&self, malformed: &str) {
        let count = self.counters.pool_malformed.add();
        if count.is_power_of_two() {
            tracing::warn!(malformed, count, "discovery sent malformed data");
        }
    }
}

/// Waits for a new address, or forever if the sender has been dropped.
async fn address_changed(addresses: &mut watch::Receiver<SocketAddr>) {
    if addresses.changed().await.is_err() {
        std::future::pending().await
    }
}
