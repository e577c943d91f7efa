//! Carries the handshake of `crates/site-link` over a stream: each end proves that it knows the secret.

use std::io;

use bytes::BytesMut;
use chutesaddle_site_link::{Handshake, HandshakeStep, Link, LinkError, LocalIdentity, PeerIdentity};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::timeout_at;

use super::links::{Direction, LinkEnd, SiteLinks, READ_BYTES};
use super::settings::SiteLinkSettings;

/// A stream with a link on it.
pub(super) struct EstablishedLink<S> {
    pub(super) stream: S,
    pub(super) link: Box<Link>,
    pub(super) peer: PeerIdentity,
    pub(super) direction: Direction,
}

impl SiteLinks {
    /// Performs the handshake. It needs a stream of bytes and nothing of TCP, so that encryption can go between.
    pub(super) async fn handshake<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        mut stream: S,
        settings: &SiteLinkSettings,
        direction: Direction,
    ) -> Result<EstablishedLink<S>, LinkEnd> {
        let mut nonce = [0; 16];
        getrandom::fill(&mut nonce).map_err(LinkEnd::Random)?;
        let local = LocalIdentity {
            site: settings.file.site.clone(),
            incarnation: self.incarnation.0,
            nonce,
            dialled: direction == Direction::Dialled,
        };
        let config = settings.file.link.clone();
        let timeout = config.handshake_timeout;
        let (mut handshake, first_bytes) =
            Handshake::begin(self.now(), config, settings.secret.clone(), local)?;
        let times_out_at = self.origin + handshake.times_out_at();
        let exchange = self.exchange(&mut stream, &mut handshake, &first_bytes);
        let Ok(established) = timeout_at(times_out_at, exchange).await else {
            return Err(LinkEnd::Link(LinkError::HandshakeTimeout(timeout)));
        };
        let (link, peer) = established?;
        Ok(EstablishedLink { stream, link, peer, direction })
    }

    async fn exchange<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        stream: &mut S,
        handshake: &mut Handshake,
        first_bytes: &[u8],
    ) -> Result<(Box<Link>, PeerIdentity), LinkEnd> {
        stream.write_all(first_bytes).await?;
        let mut read = BytesMut::with_capacity(READ_BYTES);
        loop {
            if stream.read_buf(&mut read).await? == 0 {
                return Err(LinkEnd::Io(io::ErrorKind::UnexpectedEof.into()));
            }
            let step = handshake.input(self.now(), &read)?;
            read.clear();
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
