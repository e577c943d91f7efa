//! Service discovery: follows the endpoint list and passes each change to the engine.
//!
//! A *poll* is a request `GET /v1/endpoints?follow=1&since=VERSION`. Its chunked response stays open: it contains one
//! JSON list for each change, and an empty line every 2 s while nothing changes. The poll becomes the *watch* once it
//! has received its first data.
//!
//! # Loss of the watch
//!
//! While discovery is silent, the scheduler continues with the last endpoint list. A change that it misses counts as
//! notified 6 s after discovery sent it ([`deadlines::NOTIFIED_AFTER`]), so it reacts to silence before that:
//!
//! 1. After 2.4 s without data (the keep-alive interval plus a tolerance), and a random delay in a large group of
//!    schedulers, the watch is *suspected*: a poll is opened in parallel. The stream that receives data first is the
//!    watch from then on, and the other is closed.
//! 2. If a poll stays unanswered, a second one is opened in parallel after half of the remaining time. Without an
//!    agent, this is not before discovery has had time to answer one poll of each scheduler. At most two polls are
//!    open; a third replaces the oldest.
//! 3. After a watch or poll ends or is rejected, the next poll follows after a random backoff of initially up to 0.1 s
//!    and at most 2 s, both longer in a large group ([`poll_backoff`]). With an agent on this host, the delay is fixed
//!    and short.
//!
//! `discovery lost` is logged once for each loss. `pool_reconnects` counts all polls but the first, and `pool_updates`
//! counts the applied lists.
//!
//! # Modules
//!
//! | module | contents |
//! | --- | --- |
//! | [`watch`] | the discovery task; which lists are ignored |
//! | [`poll`] | a single poll on its own connection; poll errors |
//! | [`watch_state`] | which streams are open and which of them is the watch |
//! | [`watch_supervisor`], [`poll_backoff`], [`deadlines`] | when the next poll is due |
//! | [`list_version`] | which of two lists is newer; handling of lists older than the known version |
//! | [`list_tracker`] | the list in use: accepts newer ones from discovery and from other processes of an upgrade |
//! | [`stream_reader`] | splits the stream into lists |
//!
//! The engine and the scheduling module decide how a list affects requests.

pub mod deadlines;
pub mod list_tracker;
pub mod list_version;
pub mod poll;
pub mod poll_backoff;
pub mod stream_reader;
pub mod watch;
pub mod watch_state;
pub mod watch_supervisor;
