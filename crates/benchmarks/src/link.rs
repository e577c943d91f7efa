//! `measure link`: throughput of a link between two sites, over one TCP connection on loopback, with offers of the largest
//! body that a client may send.

use std::io;
use std::time::Duration;

use chutesaddle_site_link::{
    Config, Frame, Handshake, HandshakeStep, Link, LocalIdentity, OfferedRequest, Secret,
};
use serde::Serialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::Instant;

const BODY_BYTES: usize = 64 * 1024;
const READ_BYTES: usize = 16 * 1024;
/// The links measure no time here.
const NOW: Duration = Duration::from_secs(1);

#[derive(clap::Args)]
pub(crate) struct Arguments {
    /// Number of offers to send
    #[arg(long, default_value_t = 20_000, value_parser = clap::value_parser!(u64).range(1..=1_000_000))]
    offers: u64,
}

/// The last line of the output.
#[derive(Serialize)]
struct LinkFigures {
    measure: &'static str,
    offers: u64,
    seconds: f64,
    megabytes_per_s: f64,
}

/// Runs the benchmark and prints the result. It has no requirement of its own.
pub(crate) async fn run(arguments: &Arguments) -> io::Result<bool> {
    let (sender, receiver) = established_links().ok_or_else(|| io::Error::other("the handshake failed"))?;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let stream = TcpStream::connect(listener.local_addr()?).await?;
    let (accepted, _) = listener.accept().await?;
    let started_at = Instant::now();
    let receiving = spawn_local(receive(accepted, receiver, arguments.offers));
    send(stream, sender, arguments.offers).await?;
    receiving.await??;
    let seconds = started_at.elapsed().as_secs_f64();
    let megabytes = arguments.offers as f64 * BODY_BYTES as f64 / 1e6;
    let figures = LinkFigures {
        measure: "link",
        offers: arguments.offers,
        seconds,
        megabytes_per_s: megabytes / seconds,
    };
    println!("{}", serde_json::to_string(&figures)?);
    Ok(true)
}

async fn send(mut stream: TcpStream, mut link: Link, offers: u64) -> io::Result<()> {
    let body = vec![b'x'; BODY_BYTES];
    for forwarded in 0..offers {
        link.send(&offer(forwarded, &body)).map_err(io::Error::other)?;
        while !link.pending().is_empty() {
            let count = stream.write(link.pending()).await?;
            link.written(count);
        }
    }
    Ok(())
}

async fn receive(mut stream: TcpStream, mut link: Link, offers: u64) -> io::Result<()> {
    let mut buffer = vec![0; READ_BYTES];
    let (mut frames, mut received) = (Vec::new(), 0);
    while received < offers {
        let count = stream.read(&mut buffer).await?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        link.input(NOW, &buffer[..count], &mut frames).map_err(io::Error::other)?;
        received += frames.drain(..).count() as u64;
    }
    Ok(())
}

fn offer(forwarded: u64, body: &[u8]) -> Frame {
    let request = OfferedRequest {
        class: "draw-map".into(),
        tenant: "barfani-heights".into(),
        estimated_work_s: Some(0.5),
        slots: 1.0,
        memory: 0.0,
        request_id: "r1".into(),
        target: "/draw-map/r1".into(),
        key: None,
        content_type: None,
        body: body.to_vec().into(),
    };
    let request = Box::new(request);
    Frame::Offer { forwarded, epoch: 1, time_left_us: 1_000_000, keep_outcome_us: 1_000_000, request }
}

/// Completes a handshake in memory. Returns the dialling and the accepting side.
fn established_links() -> Option<(Link, Link)> {
    let (mut dialler, dialler_identity) = begin("a", true)?;
    let (mut accepter, accepter_identity) = begin("b", false)?;
    let HandshakeStep::Continue(dialler_proof) = dialler.input(NOW, &accepter_identity).ok()? else {
        return None;
    };
    let HandshakeStep::Continue(accepter_proof) = accepter.input(NOW, &dialler_identity).ok()? else {
        return None;
    };
    let HandshakeStep::Established(_, sender, _) = dialler.input(NOW, &accepter_proof).ok()? else {
        return None;
    };
    let HandshakeStep::Established(_, receiver, _) = accepter.input(NOW, &dialler_proof).ok()? else {
        return None;
    };
    Some((*sender, *receiver))
}

fn begin(site: &str, dialled: bool) -> Option<(Handshake, Vec<u8>)> {
    let local = LocalIdentity { site: site.into(), incarnation: 1, nonce: [u8::from(dialled); 16], dialled };
    let secret = Secret::new("a secret of enough bytes")?;
    let (handshake, identity) = Handshake::begin(NOW, Config::default(), secret, local).ok()?;
    Some((handshake, identity.to_vec()))
}
