//! Carries frames between an established link and the engine.

use std::io;
use std::time::Duration;

use bytes::BytesMut;
use chutesaddle_gateway::LinkId;
use chutesaddle_site_link::{Frame, Link, LinkError, Transmit};
use tokio::io::{split, AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::{sleep_until, timeout};

use super::dialer::DialledAddress;
use super::handshake::EstablishedLink;
use super::links::{Direction, LinkEnd, SiteLinks, READ_BYTES};
use crate::server::peers::site_messages::{LinkInbox, LinkOutbox, SiteLinkEvent};

/// How long the last frame of a link, which says why it ends, may take to be written.
const BYE_TIMEOUT: Duration = Duration::from_millis(200);
/// A round-trip time is reported to the engine if it differs from the last reported one by more than this share: each
/// report is one more message in the engine's queue.
const MIN_ROUND_TRIP_CHANGE: f64 = 0.1;

impl SiteLinks {
    /// Serves a link until it ends; returns why it did.
    pub(super) async fn serve<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        established: EstablishedLink<S>,
        dialled: &mut Option<DialledAddress>,
    ) -> LinkEnd {
        let EstablishedLink { mut stream, link, peer, direction } = established;
        let id = self.next_link_id();
        let (outbox, inbox) = LinkOutbox::pair();
        self.notify(SiteLinkEvent::Up {
            link: id,
            site: peer.site,
            incarnation: peer.incarnation,
            dialled: direction == Direction::Dialled,
            outbox,
        });
        let mut carrier =
            FrameCarrier { links: self, id, link, writing: None, frames: Vec::new(), round_trip: None };
        let end = carrier.carry(&mut stream, inbox, dialled).await;
        self.notify(SiteLinkEvent::Down(id));
        if end.is_unknown_to_peer() {
            say_bye(&mut stream, &mut carrier.link, &end).await;
        }
        end
    }
}

/// Tells the other end why the link ends, for its log. It may be gone, or read nothing any more.
async fn say_bye<S: AsyncRead + AsyncWrite + Unpin>(stream: &mut S, link: &mut Link, end: &LinkEnd) {
    let _ = link.send(&Frame::Bye(end.to_string())); // fails where the queue is full: then nothing is said
    let write_rest = async {
        while let Some(transmit) = link.transmit() {
            stream.write_all(&transmit.bytes).await?;
        }
        stream.shutdown().await
    };
    let _ = timeout(BYE_TIMEOUT, write_rest).await; // the link has ended, whether this is read or not
}

/// A frame that is partly written.
struct PendingWrite {
    transmit: Transmit,
    written: usize,
}

/// Carries the frames of one link.
struct FrameCarrier<'a> {
    links: &'a SiteLinks,
    id: LinkId,
    link: Box<Link>,
    writing: Option<PendingWrite>,
    /// Received frames, between two steps empty.
    frames: Vec<Frame>,
    /// The round-trip time that the engine knows.
    round_trip: Option<Duration>,
}

impl FrameCarrier<'_> {
    /// Carries frames both ways until the link ends. Each branch can be dropped while another is faster without a
    /// loss of bytes: `read_buf` and `write` are cancel-safe, `write_all` would not be.
    async fn carry<S: AsyncRead + AsyncWrite + Unpin>(
        &mut self,
        stream: &mut S,
        mut inbox: LinkInbox,
        dialled: &mut Option<DialledAddress>,
    ) -> LinkEnd {
        let (mut reader, mut writer) = split(stream);
        let mut read = BytesMut::with_capacity(READ_BYTES);
        loop {
            self.next_write();
            let due = self.links.origin + self.link.due();
            let step = tokio::select! {
                written = write_some(&mut writer, self.writing.as_ref()) => self.bytes_written(written),
                got = reader.read_buf(&mut read) => self.bytes_read(got, &mut read),
                frame = inbox.recv() => self.send(frame),
                () = sleep_until(due) => self.link.tick(self.links.now()).map_err(LinkEnd::from),
                () = address_changed(dialled) => Err(LinkEnd::Closed),
            };
            if let Err(end) = step {
                return end;
            }
            self.report_round_trip();
        }
    }

    fn next_write(&mut self) {
        if self.writing.is_some() {
            return;
        }
        let Some(transmit) = self.link.transmit() else { return };
        self.writing = Some(PendingWrite { transmit, written: 0 });
    }

    fn bytes_written(&mut self, written: io::Result<usize>) -> Result<(), LinkEnd> {
        let count = written?;
        if count == 0 {
            return Err(LinkEnd::Io(io::ErrorKind::WriteZero.into()));
        }
        let Some(pending) = &mut self.writing else { return Ok(()) };
        pending.written += count;
        if pending.written < pending.transmit.bytes.len() {
            return Ok(());
        }
        if let Some(request) = pending.transmit.offered {
            self.links.notify(SiteLinkEvent::OfferWritten { link: self.id, request });
        }
        self.writing = None;
        Ok(())
    }

    /// Hands the engine the frames that have been read, also those before a malformed one.
    fn bytes_read(&mut self, got: io::Result<usize>, read: &mut BytesMut) -> Result<(), LinkEnd> {
        if got? == 0 {
            return Err(LinkEnd::Io(io::ErrorKind::UnexpectedEof.into()));
        }
        let input = self.link.input(self.links.now(), read, &mut self.frames);
        read.clear();
        for frame in self.frames.drain(..) {
            self.links.notify(SiteLinkEvent::FrameReceived { link: self.id, frame });
        }
        Ok(input?)
    }

    /// Sends a frame of the engine; `None`: the engine has closed the link.
    fn send(&mut self, frame: Option<Frame>) -> Result<(), LinkEnd> {
        let Some(frame) = frame else { return Err(LinkEnd::Closed) };
        Ok(self.link.send(&frame)?)
    }

    fn report_round_trip(&mut self) {
        let Some(measured) = self.link.round_trip() else { return };
        let differs = |known: Duration| measured.abs_diff(known) > known.mul_f64(MIN_ROUND_TRIP_CHANGE);
        if !self.round_trip.is_none_or(differs) {
            return;
        }
        self.round_trip = Some(measured);
        self.links.notify(SiteLinkEvent::RoundTripChanged { link: self.id, round_trip: measured });
    }
}

/// Writes as much of the pending frame as the socket takes; waits where there is none.
async fn write_some<W: AsyncWrite + Unpin>(
    writer: &mut W,
    pending: Option<&PendingWrite>,
) -> io::Result<usize> {
    match pending {
        Some(pending) => writer.write(&pending.transmit.bytes[pending.written..]).await,
        None => std::future::pending().await,
    }
}

/// Ends when the operator names another address than the one that was dialled; never for an accepted link.
async fn address_changed(dialled: &mut Option<DialledAddress>) {
    match dialled {
        Some(dialled) => dialled.changed().await,
        None => std::future::pending().await,
    }
}

impl LinkEnd {
    /// Whether the other end cannot know by itself why the link ends.
    fn is_unknown_to_peer(&self) -> bool {
        match self {
            LinkEnd::Io(_) | LinkEnd::Link(LinkError::ClosedByPeer(_)) => false,
            LinkEnd::Link(_) | LinkEnd::Random(_) | LinkEnd::Closed => true,
        }
    }
}
