//! Datagrams of the second scheduler `n1` and of the unknown sender `x`.

use std::net::UdpSocket;
use std::time::Duration;

use super::{error_text, expect_equal, poll_until, StepResult, STEP_TIMEOUT};

/// No message for this long means that gossip has stopped. Longer than the longest interval between two messages.
const QUIET_PERIOD: Duration = Duration::from_millis(700);
/// Maximum size of a gossip message.
const MAX_MESSAGE_BYTES: usize = 256;

/// `datagram N`: sends N zero bytes.
pub(super) fn send(socket: &UdpSocket, text: &str, to: String) -> StepResult {
    let length = text
        .strip_prefix("datagram ")
        .and_then(|length| length.parse().ok())
        .ok_or("expected `datagram N`")?;
    socket.send_to(&vec![0; length], to).map_err(error_text)?;
    Ok(())
}

/// `gossip`: a message of valid size arrives. `silence`: no more messages arrive.
pub(super) fn expect(socket: &UdpSocket, text: &str) -> StepResult {
    if text == "silence" {
        socket.set_read_timeout(Some(QUIET_PERIOD)).unwrap();
        return poll_until(|| socket.recv(&mut [0; 300]).is_err().then_some(()))
            .ok_or("gossip messages keep arriving".into());
    }
    socket.set_read_timeout(Some(STEP_TIMEOUT)).unwrap();
    let length = socket.recv(&mut [0; 300]).map_err(error_text)?;
    expect_equal(if length <= MAX_MESSAGE_BYTES { text } else { "more than 256 bytes" }, "gossip")
}
