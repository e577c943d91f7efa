//! Gossip between the schedulers of one deployment over UDP. One socket broadcasts the engine's messages and passes
//! received messages to the engine.
//!
//! Gossip tolerates lost, late and duplicated datagrams: at worst, the load reported in a message is missing. A message that
//! cannot be sent is therefore counted and dropped, and the next one follows soon. During an upgrade only the serving process
//! owns the socket.
//!
//! Counters: `notes_sent`, `notes_unsent`, `notes_heard` (received) and `notes_ignored` (received from an unknown source, or
//! not a gossip message).

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::config::GossipAddresses;
use crate::scheduling::gossip::{is_message, MAX_MESSAGE_BYTES};
use crate::server::engine_queue::{EngineMessage, EngineQueue};
use crate::server::lifecycle::Phase;
use crate::server::metrics::Counters;

/// Delay before the socket is reopened. During an upgrade the predecessor may still be bound to the address.
const REOPEN_DELAY: Duration = Duration::from_millis(100);
/// One byte larger than the largest message, so that a truncated datagram is recognized as oversized.
const BUFFER_BYTES: usize = MAX_MESSAGE_BYTES + 1;

/// Publishes the engine's messages. Each message is self-contained, so a new one replaces a message not sent yet.
pub type GossipSender = watch::Sender<Vec<u8>>;

/// Creates the channel for the engine's messages.
pub fn channel() -> (GossipSender, watch::Receiver<Vec<u8>>) {
    watch::channel(Vec::new())
}

/// Sends and receives gossip messages.
pub struct GossipTransport {
    outgoing: watch::Receiver<Vec<u8>>,
    queue: EngineQueue,
    counters: Rc<Counters>,
    phase: watch::Receiver<Phase>,
    addresses: watch::Receiver<Option<GossipAddresses>>,
}

impl GossipTransport {
    /// Creates a transport that sends `outgoing` messages and queues received ones for the engine. It always uses the
    /// latest value of `addresses`.
    pub fn new(
        outgoing: watch::Receiver<Vec<u8>>,
        queue: EngineQueue,
        counters: Rc<Counters>,
        phase: watch::Receiver<Phase>,
        addresses: watch::Receiver<Option<GossipAddresses>>,
    ) -> Self {
        GossipTransport { outgoing, queue, counters, phase, addresses }
    }

    /// Runs until the process exits.
    pub async fn run(mut self) {
        let mut failure_logged = false;
        loop {
            let Some(addresses) = self.current_addresses() else {
                if !self.wait_for_change().await {
                    return;
                }
                continue;
            };
            let socket = match UdpSocket::bind(addresses.listen).await {
                Ok(socket) => socket,
                Err(error) => {
                    if !failure_logged {
                        failure_logged = true;
                        tracing::warn!(address = %addresses.listen, %error, "cannot listen for gossip");
                    }
                    sleep(REOPEN_DELAY).await;
                    continue;
                }
            };
            failure_logged = false;
            let address = socket.local_addr().unwrap_or(addresses.listen);
            tracing::info!(%address, "listening for gossip");
            if !self.serve(&socket, &addresses).await {
                return;
            }
        }
    }

    /// The current addresses. `None` if gossip is not configured or another process serves.
    fn current_addresses(&mut self) -> Option<GossipAddresses> {
        let phase = *self.phase.borrow_and_update();
        let addresses = self.addresses.borrow_and_update().clone();
        match phase {
            Phase::Starting | Phase::Replaced => None,
            Phase::Serving | Phase::Draining | Phase::Drained | Phase::Stopping => addresses,
        }
    }

    /// Waits until the phase or the addresses change. Returns false if a channel is closed.
    async fn wait_for_change(&mut self) -> bool {
        tokio::select! {
            changed = self.phase.changed() => changed.is_ok(),
            changed = self.addresses.changed() => changed.is_ok(),
        }
    }

    /// Sends and receives until the phase or the addresses change or the socket fails. Returns false if a channel is
    /// closed.
    async fn serve(&mut self, socket: &UdpSocket, addresses: &GossipAddresses) -> bool {
        self.outgoing.mark_unchanged(); // a message published before the socket was open is stale
        let (mut phase, mut new_addresses) = (self.phase.clone(), self.addresses.clone());
        tokio::select! {
            changed = phase.changed() => changed.is_ok(),
            changed = new_addresses.changed() => changed.is_ok(),
            error = self.send_and_receive(socket, addresses) => {
                tracing::warn!(%error, "gossip socket failed, reopening");
                sleep(REOPEN_DELAY).await;
                true
            }
        }
    }

    /// Sends and receives until a receive fails, and returns the error.
    async fn send_and_receive(&mut self, socket: &UdpSocket, addresses: &GossipAddresses) -> io::Error {
        let mut buffer = [0; BUFFER_BYTES];
        loop {
            tokio::select! {
                Ok(()) = self.outgoing.changed() => {
                    let message = self.outgoing.borrow_and_update().clone();
                    self.send(socket, addresses.broadcast, &message).await;
                }
                received = socket.recv_from(&mut buffer) => match received {
                    Err(error) => return error,
                    Ok((length, source)) => self.handle_received(addresses, source, &buffer[..length]).await,
                },
            }
        }
    }

    async fn send(&self, socket: &UdpSocket, destination: SocketAddr, message: &[u8]) {
        match socket.send_to(message, destination).await {
            Ok(_) => self.counters.notes_sent.add(),
            // For example a full send buffer or no route. The next message may succeed.
            Err(_) => self.counters.notes_unsent.add(),
        };
    }

    /// Queues a received message for the engine. Ignores datagrams that are not gossip messages or whose source is not a
    /// configured peer.
    async fn handle_received(&self, addresses: &GossipAddresses, source: SocketAddr, message: &[u8]) {
        let sender = addresses.peers.iter().position(|peer| *peer == source);
        let Some(sender) = sender.filter(|_| is_message(message)) else {
            self.counters.notes_ignored.add();
            return;
        };
        self.counters.notes_heard.add();
        let slot = self.queue.slot().await;
        let received = EngineMessage::GossipReceived { from: sender, bytes: message.to_vec() };
        self.queue.send_in(slot, received);
    }
}
