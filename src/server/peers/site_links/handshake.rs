//! Performs the handshake of `crates/site-link` over a stream: each side proves that it knows the secret.

use std::io;

use bytes::BytesMut;
use chutesaddle_site_link::{Handshake, HandshakeStep, Link, LinkError, LocalIdentity, PeerIdentity};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::timeout_at;

use super::links::{CloseReason, Direction, SiteLinks, READ_BYTES};
use super::settings::SiteLinkSettings;

/// A stream whose handshake has completed.
pub(super) struct EstablishedLink<S> {
    pub(super) stream: S,
    pub(super) link: Box<Link>,
    pub(super) peer: PeerIdentity,
    pub(super) direction: Direction,
}

impl SiteLinks {
    /// Performs the handshake. Generic over the stream, so that an encryption layer can be added on top of TCP.
    pub(super) async fn handshake<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        mut stream: S,
        settings: &SiteLinkSettings,
        direction: Direction,
    ) -> Result<EstablishedLink<S>, CloseReason> {
        let mut nonce = [0; 16];
        getrandom::fill(&mut nonce).map_err(CloseReason::Random)?;
        let local = LocalIdentity {
            site: settings.file.site.clone(),
            incarnation: self.incarnation.0,
            nonce,
            dialled: direction == Direction::Dialled,
        };
        let config = settings.file.link.clone();
        let (mut handshake, first_bytes) =
            Handshake::begin(self.now(), config, settings.secret.clone(), local)?;
        let times_out_at = self.time_origin + handshake.times_out_at();
        let exchange = self.exchange(&mut stream, &mut handshake, &first_bytes);
        let Ok(established) = timeout_at(times_out_at, exchange).await else {
            return Err(CloseReason::Link(LinkError::HandshakeTimeout));
        };
        let (link, peer) = established?;
        Ok(EstablishedLink { stream, link, peer, direction })
    }

    async fn exchange<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        stream: &mut S,
        handshake: &mut Handshake,
        first_bytes: &[u8],
    ) -> Result<(Box<Link>, PeerIdentity), CloseReason> {
        stream.write_all(first_bytes).await?;
        let mut buffer = BytesMut::with_capacity(READ_BYTES);
        loop {
            if stream.read_buf(&mut buffer).await? == 0 {
                return Err(CloseReason::Io(io::ErrorKind::UnexpectedEof.into()));
            }
            let step = handshake.input(self.now(), &buffer)?;
            buffer.clear();
            match step {
                HandshakeStep::Continue(bytes) => stream.write_all(&bytes).await?,
                HandshakeStep::Established(bytes, link, peer) => {
                    stream.write_all(&bytes).await?;
                    return Ok((link, peer));
                }
            }
        }
    }
}
