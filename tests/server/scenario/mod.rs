//! The one helper of the network tests: starts the scheduler, plays the parties around it, and reads
//! scenarios in a small language. A line is `ACTOR VERB TEXT`; the verbs are send, expect, close, wait.
//!
//! | module | what it plays |
//! | --- | --- |
//! | `stage` | a whole scenario: which step belongs to which actor |
//! | `process` | the scheduler's processes, their log and their signals |
//! | `connection` | connections of clients, workers and discovery |
//! | `operator` | operators' commands, and the operator's file |
//! | `discovery` | endpoint lists |
//! | `config` | the platform's configuration |
//! | `gossip` | the other scheduler, as far as datagrams go |
//! | `site_wire` | the wire between two sites |
//!
//! Actors: `c1`, `c2` .. are connections to the scheduler, of clients and of workers that send callbacks; `m1`,
//! `m2` .. are workers, `d` and `d2` are discovery, each with the connection it accepted last; `o1`, `o2` ..
//! are operators, whose answer reaches to the end; `s` is the scheduler itself. `s2` and `s3`
//! are further processes of it, which `s2 send START` starts beside it; `p1`, `p2` .. and `q1`, `q2` .. are
//! operators of these.
//!
//! - `send TEXT`: a message; `|` ends a line of the head, `||` the head. `raw TEXT` is sent as it stands,
//!   with `\r` and `\n`. Short forms: `request ID CLASS MS HEADERS`, `callback ID FROM STATE RESULT`, `202 HEADERS`,
//!   and of discovery `line TEXT`, `full m1:active` and `some m1:leaving:-5` (started 5 s ago). `s send TERM`
//!   signals the scheduler, `s send config OLD => NEW` changes its file; `{d2}` stands for an address.
//!
//! In [`NOTES`] the scheduler is number 0 of two that send each other gossip. `n1` is the other one and `x` a stranger;
//! `send datagram N` sends so many zero bytes, `n1 expect note` waits for what the scheduler
//! broadcasts, and `n1 expect silence` until it broadcasts nothing any more.
//!
//! `v` is a process of another build that replaces the scheduler, as far as stable frames go: `v send serving`,
//! `v send callback ID FROM`, `v send other`, and `v expect KIND` of a frame.
//!
//! In [`SITES`] the scheduler is the site `a`, and `t` is that of the site `b` (`t2`: one that replaces it), with
//! the discovery `e`, the worker `m2`, clients `f1` .. and operators `r1` .. (of `t2`: `u1` ..). `w` is the wire on
//! which `a` dials `b`: `w send cut`, `back` (nothing comes back), `reset`, `sound`. `g1` .. call at the gateway of
//! `b`. `s send operator OLD => NEW` (or `t`) changes the operator's file.
//!
//! - `expect TEXT`: the next message holds each part, parts set apart by ` & ` (`not PART`: does not hold it); `expect new TEXT`: on a new
//!   connection. Also `eof`, `fin` (the same, without a reset), `silence` (nothing has come), and for the scheduler `exit 0`, `exit killed` and `log TEXT`.
//! - `close`: the connection; `close listener`: the listener as well.
//! - `wait COUNTER N`: until the scheduler has counted that far; of an operator, `wait CALL => PART`: until an
//!   answer to that call holds the part.

mod config;
mod connection;
mod discovery;
mod gossip;
mod operator;
mod process;
mod site_wire;
mod stage;

use std::time::{Duration, Instant};

use stage::Stage;

/// No verdict depends on it: what is expected comes at once, or the test fails after this.
const PATIENCE: Duration = Duration::from_secs(10);
/// Wait between two looks at something that is expected.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);

/// What a scenario starts with.
pub(crate) struct World {
    /// The workers known at the start, as in `d send full`.
    pub known: &'static str,
    /// Descriptors that its configuration allows.
    pub sockets: usize,
    /// Descriptors that the system allows it.
    pub descriptors: u32,
    /// When workers close idle connections, in seconds.
    pub conn_idle_s: f64,
    /// Lists are pushed: discovery is an agent on the scheduler's machine, which is asked often while it is silent.
    pub agent: bool,
    /// There is a second scheduler, as far as gossip goes.
    pub notes: bool,
    /// There is a second site, and a gateway between the two.
    pub sites: bool,
}

/// Two workers, of which the first takes work.
pub(crate) const PLAIN: World = World {
    known: "m1:active",
    sockets: 1024,
    descriptors: 1024,
    conn_idle_s: 60.0,
    agent: false,
    notes: false,
    sites: false,
};

/// One of two schedulers that send each other gossip.
pub(crate) const NOTES: World = World { notes: true, ..PLAIN };

/// Two sites, each with a worker.
pub(crate) const SITES: World = World { sites: true, ..PLAIN };

/// What a step has come to; the error says why the scenario fails.
type Step = Result<(), String>;

/// Plays a scenario and fails where it does not come out as written.
pub(crate) fn play(world: &World, scenario: &str) {
    let mut stage = Stage::new(world);
    for (number, line) in scenario.lines().map(str::trim).enumerate().filter(|(_, line)| !line.is_empty()) {
        let mut words = line.splitn(3, ' ');
        let mut word = || words.next().unwrap_or_default();
        let (actor, verb, text) = (word(), word(), word());
        stage
            .step(actor, verb, text)
            .unwrap_or_else(|why| panic!("line {}, {line:?}: {why}\nlog:\n{}", number + 1, stage.logs()));
    }
    let log = stage.logs();
    assert!(!log.contains("panicked"), "{log}");
}

/// What `look` finds, as soon as it finds something; `None` after [`PATIENCE`].
fn until<T>(mut look: impl FnMut() -> Option<T>) -> Option<T> {
    let end = Instant::now() + PATIENCE;
    loop {
        match look() {
            None if Instant::now() < end => std::thread::sleep(LOOK_INTERVAL),
            found => return found,
        }
    }
}

fn same(got: &str, wanted: &str) -> Step {
    if got == wanted {
        Ok(())
    } else {
        Err(format!("got {got:?}"))
    }
}

fn text_of(error: impl ToString) -> String {
    error.to_string()
}
