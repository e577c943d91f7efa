//! A TCP proxy on the link between two sites that can drop data and reset connections. It runs in its own threads.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

use super::StepResult;

/// Arguments of `w send`. `reset` is a single action, the others last until the next change.
const STATES: [&str; 4] = ["forward", "drop", "drop-replies", "reset"];

#[derive(Default)]
struct ProxyState {
    /// Address of the scheduler of site `b`.
    target: Mutex<Option<String>>,
    state: Mutex<String>,
    open_streams: Mutex<Vec<TcpStream>>,
}

impl ProxyState {
    fn state(&self) -> String {
        self.state.lock().unwrap().clone()
    }
}

pub(super) struct SiteLinkProxy {
    /// Address on which the proxy listens.
    pub(super) address: String,
    shared: Arc<ProxyState>,
}

impl SiteLinkProxy {
    pub(super) fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let shared =
            Arc::new(ProxyState { state: Mutex::new("forward".to_owned()), ..ProxyState::default() });
        let proxy = SiteLinkProxy { address, shared: Arc::clone(&shared) };
        std::thread::spawn(move || {
            for near in listener.incoming().map_while(Result::ok) {
                handle_connection(near, &shared);
            }
        });
        proxy
    }

    /// Sets the address to which connections are forwarded.
    pub(super) fn set_target(&self, target: String) {
        *self.shared.target.lock().unwrap() = Some(target);
    }

    /// Changes the state, or with `reset` closes all connections.
    pub(super) fn set_state(&self, state: &str) -> StepResult {
        if !STATES.contains(&state) {
            return Err(format!("unknown proxy state {state:?}"));
        }
        if state != "reset" {
            state.clone_into(&mut self.shared.state.lock().unwrap());
            return Ok(());
        }
        for stream in self.shared.open_streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        Ok(())
    }
}

/// Forwards a new connection to the target. Unless the state is `forward`, the connection stays open and silent.
fn handle_connection(near: TcpStream, shared: &Arc<ProxyState>) {
    if shared.state() != "forward" {
        shared.open_streams.lock().unwrap().push(near);
        return;
    }
    let Some(target) = shared.target.lock().unwrap().clone() else { return };
    let Ok(far) = TcpStream::connect(target) else { return };
    shared.open_streams.lock().unwrap().extend([near.try_clone().unwrap(), far.try_clone().unwrap()]);
    let (near_in, far_in) = (near.try_clone().unwrap(), far.try_clone().unwrap());
    let (outbound, inbound) = (Arc::clone(shared), Arc::clone(shared));
    std::thread::spawn(move || forward(near_in, far, || outbound.state() != "drop"));
    std::thread::spawn(move || forward(far_in, near, || inbound.state() == "forward"));
}

/// Copies data from one stream to the other until the end. Once data has been dropped, nothing more is forwarded on
/// this connection: TCP never delivers a stream with a gap.
fn forward(mut from: TcpStream, mut to: TcpStream, forwards: impl Fn() -> bool) {
    let (mut bytes, mut intact) = ([0; 4096], true);
    while let Some(read) = from.read(&mut bytes).ok().filter(|&read| read > 0) {
        intact &= forwards();
        if intact && to.write_all(&bytes[..read]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}
