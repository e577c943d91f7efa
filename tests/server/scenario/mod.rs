//! Test harness of the network tests. It starts the scheduler as a process, simulates the clients, workers and other
//! services around it, and runs scenarios written in a small language.
//!
//! A scenario has one step per line, `ACTOR VERB TEXT`. Steps run in order, and the first failure ends the test. The
//! verbs are `send`, `expect`, `close` and `wait`:
//!
//! ```text
//! c1 send request r1              a client sends the request r1
//! m1 expect r1                    the worker m1 receives a message that contains "r1"
//! m1 send 202                     the worker accepts it
//! c2 send callback r1 m1 done     the worker's callback arrives on another connection
//! c1 expect HTTP/1.1 200 & drawn  the client receives the result
//! ```
//!
//! The first `send` or `expect` of an actor opens its connection: actors with a listener accept one, the others
//! connect.
//!
//! | module | contents |
//! | --- | --- |
//! | `runner` | executes a scenario: dispatches each step to its actor |
//! | `process` | scheduler processes, their logs and signals |
//! | `connection` | TCP connections of clients, workers and discovery |
//! | `operator` | operator commands and the operator file |
//! | `discovery` | endpoint lists |
//! | `config` | the platform configuration |
//! | `gossip` | UDP datagrams of another scheduler |
//! | `site_link_proxy` | the proxy on the site link |
//!
//! # Actors
//!
//! | actor | role |
//! | --- | --- |
//! | `s` | the scheduler under test |
//! | `s2`, `s3` | successors of `s` with the same configuration, started by `s2 send START` |
//! | `c1`, `c2` .. | connections to `s`, of clients and of workers that send callbacks |
//! | `m1`, `m2` | workers; each uses the connection that it accepted last |
//! | `d`, `d2` | discovery services; each uses the connection that it accepted last |
//! | `o1` .., `p1` .., `q1` .. | operators of `s`, `s2` and `s3`; an answer is everything up to the end of the connection |
//! | `v` | a process of another build that replaces `s`; it knows only the stable handover frames |
//! | `n1`, `x` | with [`GOSSIP`]: the second scheduler, and a sender that is not in the configuration |
//! | `t`, `t2` | with [`TWO_SITES`]: the scheduler of site `b` and its successor; `s` is the scheduler of site `a` |
//! | `e`, `m2` | with [`TWO_SITES`]: discovery and the worker of site `b` |
//! | `f1` .., `r1` .., `u1` .. | with [`TWO_SITES`]: connections to `t`, operators of `t` and of `t2` |
//! | `g1` .. | with [`TWO_SITES`]: connections to the gateway of `t` |
//! | `w` | with [`TWO_SITES`]: the proxy through which site `a` connects to site `b` |
//!
//! # `send`
//!
//! | actor | text | meaning |
//! | --- | --- | --- |
//! | connections | `LINE\|HEADER\|HEADER\|\|BODY` | an HTTP message: `\|` ends a line, `\|\|` ends the head |
//! | | `raw TEXT` | the bytes of `TEXT`, with the escapes `\r` and `\n`; `raw` alone only opens the connection |
//! | | `request ID CLASS DEADLINE_MS KEY` | a request; defaults: `draw-map 8000 1`; `\|` and more headers may follow the key |
//! | | `until-full` | pipelined requests `f0`, `f1` .. until the kernel takes no more; a close is then not seen by the scheduler |
//! | | `callback ID FROM STATE FIELDS` | a callback; `FIELDS` are JSON members, by default `"result":"drawn"` |
//! | | `202 HEADERS` | a response with this status |
//! | `d`, `d2`, `e` | `full m1:active m2:active` | a complete snapshot of the endpoint list |
//! | | `diff m1:leaving:-5` | an incremental update; here m1 drains and was started 5 s ago |
//! | | `line TEXT` | one line of an endpoint list; `{m1}` is replaced by the address of `m1` |
//! | `s`, `t`, `s2` .. | `TERM`, `HUP`, `KILL` .. | a signal |
//! | `s` | `config OLD => NEW` | replaces text in the configuration file; `{d2}` is replaced by the address of `d2` |
//! | `s`, `t` | `operator OLD => NEW` | replaces text in the operator file |
//! | `n1`, `x` | `datagram N` | a datagram of N zero bytes |
//! | `v` | `serving`, `callback ID FROM` | a stable handover frame |
//! | | `unknown` | a handover frame of a format that the scheduler does not know |
//! | `w` | `forward`, `drop`, `drop-replies` | how the proxy treats data from now on; `drop-replies` drops the data from site `b` |
//! | | `reset` | closes the connections that are open now |
//!
//! # `expect`
//!
//! | actor | text | meaning |
//! | --- | --- | --- |
//! | connections | `PART & not PART` | the next message contains, or does not contain, each part |
//! | | `new TEXT` | the same on a new connection |
//! | | `eof`, `fin` | the connection is closed; `fin`: without a reset |
//! | | `silence` | no data and no new connection has arrived |
//! | processes | `exit CODE`, `exit killed`, `log TEXT` | the process exits, or has logged the text |
//! | | `memory-below MB` | the process has never had this much memory |
//! | `n1` | `gossip`, `silence` | a gossip message arrives; no more messages arrive |
//! | `v` | `KIND` | a handover frame of this kind arrives |
//!
//! # `close` and `wait`
//!
//! - `close` closes the actor's connection, `close listener` also its listener.
//! - `s wait COUNTER N` waits until the counter has reached N.
//! - `o1 wait COMMAND => PART` repeats an operator command until its answer contains the part.

mod config;
mod connection;
mod discovery;
mod gossip;
mod operator;
mod process;
mod runner;
mod site_link_proxy;

use std::time::{Duration, Instant};

use runner::ScenarioRunner;

/// Time limit for each step. Only a failing test reaches it.
const STEP_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which an expected condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The environment in which a scenario starts.
pub(crate) struct Environment {
    /// The workers of the endpoint list in the configuration, in the notation of `d send full`.
    pub initial_workers: &'static str,
    /// Descriptor budget in the configuration (`limits.sockets`).
    pub max_sockets: usize,
    /// Memory limit in the configuration (`limits.memory_mb`).
    pub memory_mb: usize,
    /// Descriptor limit of the operating system (`ulimit -n`).
    pub descriptor_limit: u32,
    /// Idle time after which workers close connections, in seconds.
    pub worker_idle_timeout_s: f64,
    /// Endpoint lists are pushed: discovery is an agent on the scheduler's machine and is polled often while silent.
    pub pushed_lists: bool,
    /// Adds a second scheduler that consists only of its gossip socket, `n1`.
    pub gossip: bool,
    /// Adds a second site and a gateway between the two.
    pub two_sites: bool,
}

/// One scheduler, with the worker `m1` in its endpoint list. `m2` listens too but is not listed.
pub(crate) const DEFAULT: Environment = Environment {
    initial_workers: "m1:active",
    max_sockets: 1024,
    memory_mb: 192,
    descriptor_limit: 1024,
    worker_idle_timeout_s: 60.0,
    pushed_lists: false,
    gossip: false,
    two_sites: false,
};

/// Scheduler 0 of two that gossip.
pub(crate) const GOSSIP: Environment = Environment { gossip: true, ..DEFAULT };

/// Two sites, each with a worker.
pub(crate) const TWO_SITES: Environment = Environment { two_sites: true, ..DEFAULT };

/// The result of a step. The error says why the scenario fails.
type StepResult = Result<(), String>;

/// Runs a scenario. Panics at the first step that fails, and at the end if a process has panicked.
pub(crate) fn run_scenario(environment: &Environment, scenario: &str) {
    let mut runner = ScenarioRunner::new(environment);
    for (number, line) in scenario.lines().map(str::trim).enumerate().filter(|(_, line)| !line.is_empty()) {
        let mut words = line.splitn(3, ' ');
        let mut word = || words.next().unwrap_or_default();
        let (actor, verb, text) = (word(), word(), word());
        runner
            .step(actor, verb, text)
            .unwrap_or_else(|why| panic!("line {}, {line:?}: {why}\nlog:\n{}", number + 1, runner.logs()));
    }
    let log = runner.logs();
    assert!(!log.contains("panicked"), "{log}");
}

/// Calls `check` until it returns a value. Returns `None` after [`STEP_TIMEOUT`].
fn poll_until<T>(mut check: impl FnMut() -> Option<T>) -> Option<T> {
    let end = Instant::now() + STEP_TIMEOUT;
    loop {
        match check() {
            None if Instant::now() < end => std::thread::sleep(POLL_INTERVAL),
            found => return found,
        }
    }
}

fn expect_equal(actual: &str, expected: &str) -> StepResult {
    if actual == expected {
        Ok(())
    } else {
        Err(format!("expected {expected:?}, got {actual:?}"))
    }
}

fn error_text(error: impl ToString) -> String {
    error.to_string()
}
