//! The HTTP connection by itself: cases that the whole program cannot be brought to at will.

use chutesaddle::server::http::Connection;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// A gathered write of which the system takes a part must continue where it stopped, across the slices.
#[tokio::test]
async fn a_partial_write_continues_where_it_stopped() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut writer = Connection::connect(listener.local_addr().unwrap()).await.unwrap();
    let mut reader = listener.accept().await.unwrap().0;
    // Far more than the socket buffers hold, in parts of uneven length, an empty one among them.
    let parts: Vec<Vec<u8>> =
        (0..24usize).map(|i| (0..i * 50_000 + i % 3).map(|j| (i * 7 + j) as u8).collect()).collect();
    let whole = parts.concat();
    let slices: Vec<&[u8]> = parts.iter().map(Vec::as_slice).collect();
    let mut read = vec![0; whole.len()];
    let (written, arrived) = tokio::join!(writer.write(&slices), reader.read_exact(&mut read));
    written.unwrap();
    assert_eq!(arrived.unwrap(), whole.len());
    assert!(read == whole, "the bytes differ");
}

#[tokio::test]
async fn a_connection_with_unread_bytes_or_an_end_is_not_quiet() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let connect = || async {
        let near = Connection::connect(listener.local_addr().unwrap()).await.unwrap();
        (near, listener.accept().await.unwrap().0)
    };
    let (near, far) = connect().await;
    assert!(near.is_quiet());
    drop(far);
    while near.is_quiet() {
        tokio::task::yield_now().await;
    }
    let (near, far) = connect().await;
    assert_eq!(far.try_write(b"x").unwrap(), 1);
    while near.is_quiet() {
        tokio::task::yield_now().await;
    }
}

/// A head and a chunked body that come byte by byte: a parse for each byte would cost the square of them.
#[tokio::test]
async fn a_head_that_arrives_byte_by_byte_is_not_parsed_for_each_byte() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut near = Connection::connect(listener.local_addr().unwrap()).await.unwrap();
    let mut far = listener.accept().await.unwrap().0;
    far.set_nodelay(true).unwrap();
    let head =
        format!("POST /a HTTP/1.1\r\nX-Long: {}\r\nTransfer-Encoding: chunked\r\n\r\n", "x".repeat(15_000));
    let message = format!("{head}5\r\nmap o\r\n1\r\nf\r\n0\r\nX-Trailer: {}\r\n\r\n", "y".repeat(200));
    let write = async {
        for byte in message.as_bytes() {
            far.write_all(&[*byte]).await.unwrap();
            tokio::task::yield_now().await;
        }
    };
    let read = async {
        let head = near.request_head().await.unwrap();
        (near.body(&head).await.unwrap(), near.head_parses())
    };
    let ((), (body, parses)) = tokio::join!(write, read);
    assert_eq!(body.as_ref(), b"map of");
    assert!(parses < 10, "{parses} parses");
}
