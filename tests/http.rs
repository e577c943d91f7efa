//! The HTTP connection by itself: what a whole program cannot be made to show at will.

use chutesaddle::net::http::Connection;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

/// A gathered write that the system takes in pieces must go on where it stopped, across the parts.
#[tokio::test]
async fn a_partial_write_goes_on_where_it_stopped() {
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
