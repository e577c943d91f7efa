//! The simulator's binary protocol: runs the server's scheduling logic on frames from standard input.
//!
//! The simulator runs many schedulers in one process. It writes frames of binary records to standard input and reads
//! one reply per frame from standard output. This module converts records to the events of [`crate::scheduling`] and
//! actions to records. It makes no decisions and has no clock and no random source.
//! The program is `src/bin/chutesaddle-simulator.rs`.
//!
//! - `host`: the schedulers of the process, and the dispatch of records to them. Start here.
//! - `frame`: splits the input into frames and frames into records.
//! - `records`: the only mapping between the codes and fields of the protocol and this crate's types.
//! - `error`: errors in the input, with the frame, the offset and the record.

mod error;
mod frame;
mod host;
mod records;

pub use error::{RecordError, WireError};
pub use host::Host;
