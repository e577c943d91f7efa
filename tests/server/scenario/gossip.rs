//! The other scheduler `n1` and the stranger `x`, as far as datagrams go.

use std::net::UdpSocket;
use std::time::Duration;

use super::{same, text_of, until, Step, PATIENCE};

/// Longer than the longest gap between two gossip messages.
const SILENCE: Duration = Duration::from_millis(700);
/// The longest gossip message.
const MAX_BYTES: usize = 256;

/// `datagram N`: so many zero bytes.
pub(super) fn send(socket: &UdpSocket, text: &str, to: String) -> Step {
    let length = text.strip_prefix("datagram ").and_then(|length| length.parse().ok()).ok_or("a length")?;
    socket.send_to(&vec![0; length], to).map_err(text_of)?;
    Ok(())
}

/// `note` or `silence`.
pub(super) fn expect(socket: &UdpSocket, text: &str) -> Step {
    if text == "silence" {
        socket.set_read_timeout(Some(SILENCE)).unwrap();
        return until(|| socket.recv(&mut [0; 300]).is_err().then_some(())).ok_or("it goes on".into());
    }
    socket.set_read_timeout(Some(PATIENCE)).unwrap();
    let length = socket.recv(&mut [0; 300]).map_err(text_of)?;
    same(if length <= MAX_BYTES { text } else { "more than 256 bytes" }, "note")
}
