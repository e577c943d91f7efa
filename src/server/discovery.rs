//! Service discovery: follows the endpoint list and hands each change of it to the engine.
//!
//! The list comes from `GET /v1/endpoints?follow=1&since=VERSION`, a chunked response that stays open (the *watch*)
//! and brings one JSON list for each change, and an empty line every 2 s while nothing changes. A *poll* is one such
//! request; with the first data that it brings it becomes the watch.
//!
//! # What happens when discovery falls silent
//!
//! The scheduler goes on with the endpoint list that it has. But a change that it misses counts as notified 6 s after
//! discovery sent it ([`deadlines::NOTIFIED_AFTER`]), so silence is acted on before that:
//!
//! 1. After 2.4 s without data (a keep-alive interval and a tolerated delay), and a random delay in a large fleet,
//!    the watch is *suspected*: a poll is opened beside it. The first of the two that brings data is the watch, the
//!    other is closed.
//! 2. A poll that stays unanswered gets a second one beside it, after half of the time that is left (without an
//!    agent: not before discovery can have answered one poll of each scheduler). Two polls are open at most; the
//!    oldest gives way to a third.
//! 3. A watch or poll that ends or is rejected is followed by the next poll after a random backoff of at first
//!    0.1 s and at most 2 s, both longer in a large fleet ([`poll_backoff`]). With an agent on this machine the
//!    delay is fixed and short.
//!
//! `discovery lost` is logged once for each loss. `pool_reconnects` counts the polls after the first, `pool_updates` the
//! lists taken up.
//!
//! # Where to look
//!
//! | question | file |
//! | --- | --- |
//! | the task that owns all of this; which lists are ignored | [`watch`] |
//! | one poll on its connection; why it ended | [`poll`] |
//! | which poll is the watch, and what ends it | [`watch_state`] |
//! | when the next poll is due | [`watch_supervisor`], [`poll_backoff`], [`deadlines`] |
//! | lists that are older than the known one | [`list_version`] |
//! | cutting the stream into lists | [`stream_reader`] |
//!
//! What a list means for requests is decided by the engine and the scheduling module, not here.

pub mod deadlines;
pub mod list_version;
pub mod poll;
pub mod poll_backoff;
pub mod stream_reader;
pub mod watch;
pub mod watch_state;
pub mod watch_supervisor;
