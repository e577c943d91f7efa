//! What the two processes of an upgrade send each other, and in which bytes.
//!
//! [`HandoverFrame`] is the message, [`link()`] the connection that carries it over a Unix socket, with a client's socket
//! beside some frames. What follows from a frame is decided in [`super::handover`], not here.
//!
//! # Bytes
//!
//! A frame is its length in four bytes, big-endian, then the form byte, then the frame in postcard. Fields and variants are
//! stored by position: they may be renamed, and never be reordered, added or dropped (`tests/stored_data.rs`).

mod frame;
mod link;

#[cfg(test)]
mod tests;

pub use frame::HandoverFrame;
pub use link::{link, FrameReceiver, FrameSender, ReceivedFrame};
