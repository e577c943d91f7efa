//! Notes between the schedulers of one deployment, as UDP datagrams: one socket that sends what the engine
//! tells to all others, and hands in what they tell. Nothing here is owed: a datagram that is lost, late or
//! doubled costs no more than what it would have told.

use std::io;
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

/// Wait before the socket is tried again: the process that this one replaces may still have it.
const TRY_AGAIN: Duration = Duration::from_millis(100);

/// Where the engine puts its notes. The newest one tells all, so that it takes the place of one that still waits.
pub type GossipSender = watch::Sender<Vec<u8>>;

/// The way that notes take.
pub struct GossipTransport {
    notes: watch::Receiver<Vec<u8>>,
    queue: EngineQueue,
    counters: Rc<Counters>,
    phase: watch::Receiver<Phase>,
    addresses: watch::Receiver<Option<GossipAddresses>>,
}

/// A place for the engine's notes, and where they come out of it.
pub fn outbox() -> (GossipSender, watch::Receiver<Vec<u8>>) {
    watch::channel(Vec::new())
}

impl GossipTransport {
    /// Carries `notes` out and what comes in to the queue, by the addresses that hold at the time.
    pub fn new(
        notes: watch::Receiver<Vec<u8>>,
        queue: EngineQueue,
        counters: Rc<Counters>,
        phase: watch::Receiver<Phase>,
        addresses: watch::Receiver<Option<GossipAddresses>>,
    ) -> Self {
        GossipTransport { notes, queue, counters, phase, addresses }
    }

    /// Runs for good. Only one of the processes of an upgrade has the socket: the one that serves.
    pub async fn run(mut self) {
        let mut warned = false;
        loop {
            let serves = !matches!(*self.phase.borrow_and_update(), Phase::Starting | Phase::Replaced);
            let addresses = self.addresses.borrow_and_update().clone().filter(|_| serves);
            let Some(addresses) = addresses else {
                if !self.changed().await {
                    return;
                }
                continue;
            };
            match UdpSocket::bind(addresses.listen).await {
                Ok(socket) => {
                    warned = false;
                    let at = socket.local_addr().unwrap_or(addresses.listen);
                    tracing::info!("notes of other schedulers arrive at {at}");
                    self.notes.mark_unchanged(); // told before anybody could hear it
                    let (mut phase, mut addressed) = (self.phase.clone(), self.addresses.clone());
                    tokio::select! {
                        more = phase.changed() => if more.is_err() { return },
                        more = addressed.changed() => if more.is_err() { return },
                        error = carry(&socket, &addresses, &mut self.notes, &self.queue, &self.counters) => {
                            tracing::warn!("the socket for notes is opened anew: {error}");
                            sleep(TRY_AGAIN).await;
                        }
                    }
                }
                Err(error) => {
                    if !std::mem::replace(&mut warned, true) {
                        tracing::warn!("no notes to other schedulers yet, {}: {error}", addresses.listen);
                    }
                    sleep(TRY_AGAIN).await;
                }
            }
        }
    }

    /// Waits for another phase or other addresses; whether there can be any.
    async fn changed(&mut self) -> bool {
        tokio::select! {
            more = self.phase.changed() => more.is_ok(),
            more = self.addresses.changed() => more.is_ok(),
        }
    }
}

/// Sends and receives until receiving fails.
async fn carry(
    socket: &UdpSocket,
    addresses: &GossipAddresses,
    notes: &mut watch::Receiver<Vec<u8>>,
    queue: &EngineQueue,
    counters: &Counters,
) -> io::Error {
    let mut bytes = [0; MAX_MESSAGE_BYTES + 1]; // one more than any: what is cut off there is too long
    loop {
        tokio::select! {
            Ok(()) = notes.changed() => {
                let note = notes.borrow_and_update().clone();
                match socket.send_to(&note, addresses.all).await {
                    Ok(_) => counters.notes_sent.add(),
                    Err(_) => counters.notes_unsent.add(), // a full buffer, or no way there: the next one may go
                };
            }
            came = socket.recv_from(&mut bytes) => match came {
                Err(error) => return error,
                Ok((length, source)) => {
                    let from = addresses.peers.iter().position(|peer| *peer == source);
                    let note = &bytes[..length];
                    let Some(from) = from.filter(|_| is_message(note)) else {
                        counters.notes_ignored.add();
                        continue;
                    };
                    counters.notes_heard.add();
                    queue.send(EngineMessage::GossipReceived(from, note.to_vec()));
                }
            },
        }
    }
}
