//! Messages between the two processes of an upgrade, and their encoding.
//!
//! [`HandoverFrame`] is the message type. [`link()`] sends and receives frames over a Unix socket; some frames carry a
//! client socket as ancillary data. [`super::handover`] handles received frames.
//!
//! # Encoding
//!
//! A frame is encoded as a four-byte big-endian length, the frame format version (one byte), and the [`HandoverFrame`] in
//! postcard. Postcard identifies fields and variants by position: they may be renamed, but not reordered, added or removed
//! (`tests/stored_data.rs`).

mod endpoint_list_part;
mod frame;
mod link;

#[cfg(test)]
mod tests;

pub use endpoint_list_part::{AssembledList, EndpointListAssembler, EndpointListPart};
pub use frame::HandoverFrame;
pub use link::{link, FrameReceiver, FrameSender, ReceivedFrame};
