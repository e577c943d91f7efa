//! The endpoint list as discovery serves it: the watch, its supervision, and how fast discovery may be polled.

pub mod deadlines;
pub mod poll_backoff;
pub mod stream_reader;
pub mod watch;
pub mod watch_supervisor;
