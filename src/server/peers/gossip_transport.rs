//! Gossip between the schedulers of one deployment, as UDP datagrams: one socket that broadcasts the engine's messages
//! and hands received ones to the engine.
//!
//! Delivery is not needed: a datagram that is lost, late or duplicated costs no more than the load that it would have
//! reported. So a message that cannot be sent is counted and dropped, and the next one follows soon. During an upgrade
//! only the process that serves has the socket.
//!
//! Counters: `notes_sent`, `notes_unsent`, `notes_heard` (received) and `notes_ignored` (of a stranger, or no gossip
//! message).

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

/// Wait before the socket is opened again: during an upgrade the old process may still have the address.
const REOPEN_DELAY: Duration = Duration::from_millis(100);
/// One byte more than any message has: a datagram that fills the buffer is too long.
const BUFFER_BYTES: usize = MAX_MESSAGE_BYTES + 1;

/// Where the engine puts its messages. Each is complete, so it replaces one that has not been sent yet.
pub type GossipSender = watch::Sender<Vec<u8>>;

/// A channel for the engine's messages.
pub fn channel() -> (GossipSender, watch::Receiver<Vec<u8>>) {
    watch::channel(Vec::new())
}

/// Sends and receives gossip.
pub struct GossipTransport {
    outgoing: watch::Receiver<Vec<u8>>,
    queue: EngineQueue,
    counters: Rc<Counters>,
    phase: watch::Receiver<Phase>,
    addresses: watch::Receiver<Option<GossipAddresses>>,
}

impl GossipTransport {
    /// Sends `outgoing` messages and queues received ones for the engine, at the latest of `addresses`.
    pub fn new(
        outgoing: watch::Receiver<Vec<u8>>,
        queue: EngineQueue,
        counters: Rc<Counters>,
        phase: watch::Receiver<Phase>,
        addresses: watch::Receiver<Option<GossipAddresses>>,
    ) -> Self {
        GossipTransport { outgoing, queue, counters, phase, addresses }
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        let mut failure_logged = false;
        loop {
            let Some(addresses) = self.current_addresses() else {
                if !self.changed().await {
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

    /// The addresses to use; `None` where there are none, or another process serves.
    fn current_addresses(&mut self) -> Option<GossipAddresses> {
        let phase = *self.phase.borrow_and_update();
        let addresses = self.addresses.borrow_and_update().clone();
        match phase {
            Phase::Starting | Phase::Replaced => None,
            Phase::Serving | Phase::Draining | Phase::Drained | Phase::Stopping => addresses,
        }
    }

    /// Waits for another phase or other addresses; false once there can be none.
    async fn changed(&mut self) -> bool {
        tokio::select! {
            changed = self.phase.changed() => changed.is_ok(),
            changed = self.addresses.changed() => changed.is_ok(),
        }
    }

    /// Sends and receives until the phase, the addresses or the socket call for another socket; false once there can
    /// be none.
    async fn serve(&mut self, socket: &UdpSocket, addresses: &GossipAddresses) -> bool {
        self.outgoing.mark_unchanged(); // a message from before the socket was open is out of date
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

    /// Sends and receives until receiving fails.
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
                    Ok((length, source)) => self.received(addresses, source, &buffer[..length]),
                },
            }
        }
    }

    async fn send(&self, socket: &UdpSocket, to: SocketAddr, message: &[u8]) {
        match socket.send_to(message, to).await {
            Ok(_) => self.counters.notes_sent.add(),
            // A full buffer, or no route: the next message may get through.
            Err(_) => self.counters.notes_unsent.add(),
        };
    }

    /// Queues a message for the engine, unless it is no gossip message or its source is not one of the schedulers.
    fn received(&self, addresses: &GossipAddresses, source: SocketAddr, message: &[u8]) {
        let sender = addresses.peers.iter().position(|peer| *peer == source);
        let Some(sender) = sender.filter(|_| is_message(message)) else {
            self.counters.notes_ignored.add();
            return;
        };
        self.counters.notes_heard.add();
        self.queue.send(EngineMessage::GossipReceived { from: sender, bytes: message.to_vec() });
    }
}
