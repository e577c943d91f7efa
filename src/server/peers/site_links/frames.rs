//! Passes frames between an established link and the engine.

use std::io;
use std::time::Duration;

use bytes::BytesMut;
use chutesaddle_gateway::LinkId;
use chutesaddle_site_link::{Frame, Link, LinkError};
use tokio::io::{split, AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::{sleep_until, timeout};

use super::dialer::PeerAddressWatch;
use super::handshake::EstablishedLink;
use super::links::{CloseReason, Direction, SiteLinks, READ_BYTES};
use crate::server::peers::site_messages::{LinkOutbox, OutboxReceiver, QueuedFrame, SiteLinkEvent};

/// Write timeout for the last frame of a link, which tells the peer the close reason.
const BYE_TIMEOUT: Duration = Duration::from_millis(200);
/// A round-trip time is reported to the engine only if it differs from the last reported one by more than this fraction,
/// because each report is a message in the engine's queue.
const MIN_ROUND_TRIP_CHANGE: f64 = 0.1;

impl SiteLinks {
    /// Serves a link until it is closed, and returns the reason.
    pub(super) async fn serve<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        established: EstablishedLink<S>,
        address_watch: &mut Option<PeerAddressWatch>,
    ) -> CloseReason {
        let EstablishedLink { mut stream, link, peer, direction } = established;
        let id = self.next_link_id();
        let (outbox, outbox_receiver) = LinkOutbox::channel();
        self.notify(SiteLinkEvent::Up {
            link: id,
            site: peer.site,
            incarnation: peer.incarnation,
            dialled: direction == Direction::Dialled,
            outbox,
        });
        let mut driver = LinkDriver { links: self, id, link, frames: Vec::new(), round_trip: None };
        let reason = driver.run(&mut stream, outbox_receiver, address_watch).await;
        // Before the gateway is notified: it then takes back the requests whose offers are not written.
        let last_bytes = driver.link.end(reason.should_notify_peer().then(|| reason.to_string()));
        self.notify(SiteLinkEvent::Down(id));
        if let Some(last_bytes) = last_bytes {
            send_close_reason(&mut stream, &last_bytes).await;
        }
        reason
    }
}

/// Notifies the peer of the close reason, which it logs. Best effort: the peer may be gone or no longer reading.
async fn send_close_reason<S: AsyncWrite + Unpin>(stream: &mut S, last_bytes: &[u8]) {
    let write = async {
        stream.write_all(last_bytes).await?;
        stream.shutdown().await
    };
    let _ = timeout(BYE_TIMEOUT, write).await; // the link is closed in any case
}

/// Drives the I/O of one link.
struct LinkDriver<'a> {
    links: &'a SiteLinks,
    id: LinkId,
    link: Box<Link>,
    /// Scratch buffer for received frames. Empty between calls.
    frames: Vec<Frame>,
    /// The round-trip time last reported to the engine.
    round_trip: Option<Duration>,
}

impl LinkDriver<'_> {
    /// Passes frames in both directions until the link ends. Every `select!` branch must be cancel-safe, or bytes would
    /// be lost: `read_buf` and `write` are, `write_all` is not.
    async fn run<S: AsyncRead + AsyncWrite + Unpin>(
        &mut self,
        stream: &mut S,
        mut outbox_receiver: OutboxReceiver,
        address_watch: &mut Option<PeerAddressWatch>,
    ) -> CloseReason {
        let (mut reader, mut writer) = split(stream);
        let mut buffer = BytesMut::with_capacity(READ_BYTES);
        loop {
            let next_tick_at = self.links.time_origin + self.link.due();
            let result = tokio::select! {
                written = write_some(&mut writer, self.link.pending()) => self.handle_written(written),
                count = reader.read_buf(&mut buffer) => {
                    let result = self.handle_read(count, &mut buffer);
                    if result.is_ok() {
                        // The peer waits with its next frames until the engine has taken these.
                        self.links.wait_for_engine().await;
                    }
                    result
                }
                frame = outbox_receiver.recv(), if self.link.has_room() => self.send(frame),
                () = sleep_until(next_tick_at) => self.link.tick(self.links.now()).map_err(CloseReason::from),
                () = address_changed(address_watch) => Err(CloseReason::Closed),
            };
            if let Err(reason) = result {
                return reason;
            }
            self.report_round_trip();
        }
    }

    fn handle_written(&mut self, written: io::Result<usize>) -> Result<(), CloseReason> {
        let count = written?;
        if count == 0 {
            return Err(CloseReason::Io(io::ErrorKind::WriteZero.into()));
        }
        if let Some(request) = self.link.written(count) {
            self.links.notify(SiteLinkEvent::OfferWritten { link: self.id, request });
        }
        Ok(())
    }

    /// Passes received frames to the engine, including those that precede a malformed frame.
    fn handle_read(&mut self, count: io::Result<usize>, buffer: &mut BytesMut) -> Result<(), CloseReason> {
        if count? == 0 {
            let end_of_stream = CloseReason::Io(io::ErrorKind::UnexpectedEof.into());
            return Err(self.link.end_of_input().map_or(end_of_stream, CloseReason::CutOff));
        }
        let result = self.link.input(self.links.now(), buffer, &mut self.frames);
        buffer.clear();
        for frame in self.frames.drain(..) {
            self.links.notify(SiteLinkEvent::FrameReceived { link: self.id, frame });
        }
        Ok(result?)
    }

    /// Queues a frame from the engine for writing. `None` means that the engine has closed the link.
    fn send(&mut self, frame: Option<QueuedFrame>) -> Result<(), CloseReason> {
        let Some(frame) = frame else { return Err(CloseReason::Closed) };
        Ok(self.link.send(&frame.into_frame())?)
    }

    fn report_round_trip(&mut self) {
        let Some(measured) = self.link.round_trip() else { return };
        let changed =
            |reported: Duration| measured.abs_diff(reported) > reported.mul_f64(MIN_ROUND_TRIP_CHANGE);
        if !self.round_trip.is_none_or(changed) {
            return;
        }
        self.round_trip = Some(measured);
        self.links.notify(SiteLinkEvent::RoundTripChanged { link: self.id, round_trip: measured });
    }
}

/// Writes as many of the pending bytes as the stream accepts. Never completes if there are none.
async fn write_some<W: AsyncWrite + Unpin>(writer: &mut W, pending: &[u8]) -> io::Result<usize> {
    if pending.is_empty() {
        return std::future::pending().await;
    }
    writer.write(pending).await
}

/// Waits until the operator changes the address of a dialled peer. Never completes for an accepted link.
async fn address_changed(address_watch: &mut Option<PeerAddressWatch>) {
    match address_watch {
        Some(watch) => watch.changed().await,
        None => std::future::pending().await,
    }
}

impl CloseReason {
    /// Whether to send the reason to the peer. False if the connection failed or the peer itself closed the link.
    fn should_notify_peer(&self) -> bool {
        match self {
            CloseReason::Io(_) | CloseReason::CutOff(_) | CloseReason::Link(LinkError::ClosedByPeer(_)) => {
                false
            }
            CloseReason::Link(_) | CloseReason::Random(_) | CloseReason::Closed => true,
        }
    }
}

#[cfg(test)]
mod tests;
