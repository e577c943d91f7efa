//! Tests of how a link ends, judged by what the peer decodes from the stream.

use std::path::PathBuf;
use std::rc::Rc;

use chutesaddle_gateway::Incarnation;
use chutesaddle_operator_config::GatewaySettings;
use chutesaddle_site_link::{
    Config, Handshake, HandshakeStep, LocalIdentity, OfferedRequest, PeerIdentity, Secret,
};
use rstest::rstest;
use tokio::io::{duplex, DuplexStream};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::Instant;

use super::*;
use crate::server::engine_queue::{EngineMessage, EngineQueue, QueuedMessage};
use crate::server::lifecycle::Lifecycle;
use crate::server::peers::site_links::settings::SiteLinkSettings;

const SECRET: &str = "a secret of enough bytes";
/// Capacity of the stream, less than the length of an offer.
const STREAM_BYTES: usize = 150;
const OFFERS: u64 = 20;

/// What ends the link.
#[derive(Clone, Copy, Debug, PartialEq)]
enum EndCause {
    /// The peer sends bytes that are no frame.
    InvalidFrame,
    /// The peer closes its sending side.
    EndOfStream,
    /// The gateway closes the link.
    ClosedByGateway,
    /// The peer reads nothing and is silent.
    Silence,
}

fn site_links() -> (SiteLinks, mpsc::UnboundedReceiver<QueuedMessage>) {
    let (queue, messages) = EngineQueue::channel();
    let file = GatewaySettings {
        site: "a".to_owned(),
        listen: None,
        secret: PathBuf::new(),
        peers: Vec::new(),
        decisions: chutesaddle_gateway::Config::default(),
        link: Config::default(),
    };
    let settings = SiteLinkSettings { file, secret: Secret::new(SECRET).unwrap() };
    let links =
        SiteLinks::new(settings, Incarnation(1), Instant::now(), queue, Rc::new(Lifecycle::default()));
    (Rc::into_inner(links).unwrap(), messages)
}

fn begin(now: Duration, dialled: bool) -> (Handshake, Vec<u8>) {
    let site = if dialled { "a" } else { "b" }.to_owned();
    let local = LocalIdentity { site, incarnation: 1, nonce: [u8::from(dialled); 16], dialled };
    let secret = Secret::new(SECRET).unwrap();
    let (handshake, bytes) = Handshake::begin(now, Config::default(), secret, local).unwrap();
    (handshake, bytes.to_vec())
}

fn established(step: HandshakeStep) -> (Box<Link>, PeerIdentity) {
    let HandshakeStep::Established(_, link, peer) = step else { panic!("the handshake is not complete") };
    (link, peer)
}

/// The two sides of a link whose handshake is complete.
fn established_pair(now: Duration) -> ((Box<Link>, PeerIdentity), Box<Link>) {
    let ((mut dialler, dialler_identity), (mut accepter, accepter_identity)) =
        (begin(now, true), begin(now, false));
    let HandshakeStep::Continue(dialler_proof) = dialler.input(now, &accepter_identity).unwrap() else {
        panic!("no proof was sent")
    };
    let HandshakeStep::Continue(accepter_proof) = accepter.input(now, &dialler_identity).unwrap() else {
        panic!("no proof was sent")
    };
    let dialled = established(dialler.input(now, &accepter_proof).unwrap());
    (dialled, established(accepter.input(now, &dialler_proof).unwrap()).0)
}

fn offer(forwarded: u64) -> Frame {
    let request = OfferedRequest {
        class: "draw".to_owned(),
        tenant: String::new(),
        estimated_work_s: None,
        slots: 1.0,
        memory: 0.0,
        request_id: forwarded.to_string().into(),
        target: "/draw".into(),
        key: None,
        content_type: None,
        body: vec![forwarded as u8; 100].into(),
    };
    let request = Box::new(request);
    Frame::Offer { forwarded, epoch: 1, time_left_us: 1_000_000, keep_outcome_us: 1, request }
}

/// Reads everything that was written to the stream and returns the numbers of the offers in it. Fails if an offer is
/// not as it was sent.
async fn received_offers(stream: &mut DuplexStream, link: &mut Link, now: Duration) -> Vec<u64> {
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.unwrap();
    let mut frames = Vec::new();
    let result = link.input(now, &bytes, &mut frames);
    assert!(matches!(result, Ok(()) | Err(LinkError::ClosedByPeer(_))), "{result:?}");
    let number = |frame| {
        let Frame::Offer { forwarded, request, .. } = frame else { panic!("not an offer: {frame:?}") };
        assert!(request.body.iter().all(|byte| *byte == forwarded as u8), "the body of another request");
        forwarded
    };
    frames.into_iter().map(number).collect()
}

/// Guards against a request that runs at both sites: the gateway gives every request back whose offer was not reported as
/// written when the link ended, so such an offer must never reach the peer.
#[rstest]
fn peer_receives_exactly_the_offers_reported_as_written(
    #[values(EndCause::InvalidFrame, EndCause::EndOfStream, EndCause::ClosedByGateway, EndCause::Silence)]
    cause: EndCause,
    #[values(0, 100, 150, 700)] read_first: usize,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let (links, mut messages) = site_links();
        let now = links.now();
        let ((link, peer), mut peer_link) = established_pair(now);
        let (stream, mut peer_stream) = duplex(STREAM_BYTES);
        let established = EstablishedLink { stream, link, peer, direction: Direction::Dialled };
        let serving = spawn_local(async move { links.serve(established, &mut None).await });
        let up = messages.recv().await.map(|queued| queued.message);
        let Some(EngineMessage::SiteLink(up)) = up else { panic!("no link") };
        let SiteLinkEvent::Up { outbox, .. } = *up else { panic!("not up: {up:?}") };
        for number in 0..OFFERS {
            assert!(outbox.send(offer(number)));
        }
        let mut first = vec![0; read_first];
        peer_stream.read_exact(&mut first).await.unwrap();
        match cause {
            EndCause::InvalidFrame => peer_stream.write_all(&[0xff; 100]).await.unwrap(),
            EndCause::EndOfStream => peer_stream.shutdown().await.unwrap(),
            EndCause::ClosedByGateway | EndCause::Silence => {}
        }
        let open_outbox = Some(outbox).filter(|_| cause != EndCause::ClosedByGateway);
        // The reason is written into a full stream, so it is read while the link ends.
        let mut frames = Vec::new();
        peer_link.input(now, &first, &mut frames).unwrap();
        let first_received = frames.len();
        let read_rest = cause != EndCause::Silence;
        let mut rest = Vec::new();
        if read_rest {
            rest = received_offers(&mut peer_stream, &mut peer_link, now).await;
            serving.await.unwrap();
        } else {
            serving.await.unwrap();
            rest.extend(received_offers(&mut peer_stream, &mut peer_link, now).await);
        }
        drop(open_outbox);
        let mut written = 0;
        let mut is_down = false;
        while let Ok(EngineMessage::SiteLink(event)) = messages.try_recv().map(|queued| queued.message) {
            assert!(!is_down, "{event:?} after the end of the link");
            match *event {
                SiteLinkEvent::OfferWritten { .. } => written += 1,
                SiteLinkEvent::Down(_) => is_down = true,
                _ => {}
            }
        }
        assert!(is_down);
        assert_eq!(first_received + rest.len(), written, "offers received, and reported as written");
    });
}
