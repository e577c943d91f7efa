//! The simulator's wire: the same decisions as the server's, driven by frames on standard input.
//!
//! The simulator runs many schedulers in one process. It writes frames of binary records to standard input and reads
//! one reply for each frame from standard output. This module turns records into the events of
//! [`crate::scheduling`] and actions into records; it decides nothing, has no clock and no random source.
//! The program is `src/bin/chutesaddle-simulator.rs`.
//!
//! - `host`: the schedulers of the process, and which of them an event is for. Start here.
//! - `frame`: where frames and records begin and end.
//! - `records`: the codes and fields of the wire page, mapped to our types in one place.
//! - `error`: what can be wrong with the input, with the frame, the offset and the record.

mod error;
mod frame;
mod host;
mod records;

pub use error::{RecordError, WireError};
pub use host::Host;
