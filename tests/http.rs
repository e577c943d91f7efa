//! Tests of the HTTP connection alone, for cases that cannot be triggered reliably in the whole program.

use chutesaddle::server::http::Connection;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// A vectored write that the kernel accepts only in part must resume at the first unwritten byte, in any slice.
#[tokio::test]
async fn partial_write_resumes_at_the_first_unwritten_byte() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut writer = Connection::connect(listener.local_addr().unwrap()).await.unwrap();
    let mut reader = listener.accept().await.unwrap().0;
    // Far more than the socket buffers hold, in parts of different lengths, including an empty one.
    let parts: Vec<Vec<u8>> =
        (0..24usize).map(|i| (0..i * 50_000 + i % 3).map(|j| (i * 7 + j) as u8).collect()).collect();
    let whole = parts.concat();
    let slices: Vec<&[u8]> = parts.iter().map(Vec::as_slice).collect();
    let mut read = vec![0; whole.len()];
    let (written, received) = tokio::join!(writer.write(&slices), reader.read_exact(&mut read));
    written.unwrap();
    assert_eq!(received.unwrap(), whole.len());
    assert!(read == whole, "the bytes differ");
}

#[tokio::test]
async fn connection_with_unread_bytes_or_closed_by_peer_is_not_idle() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let connect = || async {
        let local = Connection::connect(listener.local_addr().unwrap()).await.unwrap();
        (local, listener.accept().await.unwrap().0)
    };
    let (local, peer) = connect().await;
    assert!(local.is_open_and_idle());
    drop(peer);
    while local.is_open_and_idle() {
        tokio::task::yield_now().await;
    }
    let (local, peer) = connect().await;
    assert_eq!(peer.try_write(b"x").unwrap(), 1);
    while local.is_open_and_idle() {
        tokio::task::yield_now().await;
    }
}

/// A head and a chunked body that arrive byte by byte must not be parsed once per byte: the cost would be quadratic.
#[tokio::test]
async fn head_arriving_byte_by_byte_is_not_parsed_for_each_byte() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut local = Connection::connect(listener.local_addr().unwrap()).await.unwrap();
    let mut peer = listener.accept().await.unwrap().0;
    peer.set_nodelay(true).unwrap();
    let head =
        format!("POST /a HTTP/1.1\r\nX-Long: {}\r\nTransfer-Encoding: chunked\r\n\r\n", "x".repeat(15_000));
    let message = format!("{head}5\r\nmap o\r\n1\r\nf\r\n0\r\nX-Trailer: {}\r\n\r\n", "y".repeat(200));
    let write = async {
        for byte in message.as_bytes() {
            peer.write_all(&[*byte]).await.unwrap();
            tokio::task::yield_now().await;
        }
    };
    let read = async {
        let head = local.request_head().await.unwrap();
        (local.body(&head).await.unwrap(), local.head_parses())
    };
    let ((), (body, parses)) = tokio::join!(write, read);
    assert_eq!(body.as_ref(), b"map of");
    assert!(parses < 10, "{parses} parses");
}
