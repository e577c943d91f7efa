//! The wire between two sites, carried by threads of its own.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

use super::Step;

const STATES: [&str; 4] = ["sound", "cut", "back", "reset"];

#[derive(Default)]
struct Shared {
    target: Mutex<Option<String>>,
    state: Mutex<String>,
    open: Mutex<Vec<TcpStream>>,
}

impl Shared {
    fn state(&self) -> String {
        self.state.lock().unwrap().clone()
    }
}

pub(super) struct SiteWire {
    pub(super) address: String,
    shared: Arc<Shared>,
}

impl SiteWire {
    pub(super) fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let shared = Arc::new(Shared { state: Mutex::new("sound".to_owned()), ..Shared::default() });
        let wire = SiteWire { address, shared: Arc::clone(&shared) };
        std::thread::spawn(move || {
            for near in listener.incoming().map_while(Result::ok) {
                connect(near, &shared);
            }
        });
        wire
    }

    /// Where the wire leads to.
    pub(super) fn lead(&self, target: String) {
        *self.shared.target.lock().unwrap() = Some(target);
    }

    pub(super) fn set(&self, state: &str) -> Step {
        if !STATES.contains(&state) {
            return Err("no such state".into());
        }
        if state != "reset" {
            state.clone_into(&mut self.shared.state.lock().unwrap());
            return Ok(());
        }
        for stream in self.shared.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        Ok(())
    }
}

/// Leads a new connection to the target. While the wire is cut, it stays open and silent.
fn connect(near: TcpStream, shared: &Arc<Shared>) {
    if shared.state() != "sound" {
        shared.open.lock().unwrap().push(near);
        return;
    }
    let Some(target) = shared.target.lock().unwrap().clone() else { return };
    let Ok(far) = TcpStream::connect(target) else { return };
    shared.open.lock().unwrap().extend([near.try_clone().unwrap(), far.try_clone().unwrap()]);
    let (near_in, far_in) = (near.try_clone().unwrap(), far.try_clone().unwrap());
    let (there, back) = (Arc::clone(shared), Arc::clone(shared));
    std::thread::spawn(move || carry(near_in, far, || there.state() != "cut"));
    std::thread::spawn(move || carry(far_in, near, || back.state() == "sound"));
}

/// Passes on what comes, in pieces; what comes while the wire does not carry is lost, and with it the connection.
fn carry(mut from: TcpStream, mut to: TcpStream, carries: impl Fn() -> bool) {
    let (mut bytes, mut sound) = ([0; 4096], true);
    while let Some(read) = from.read(&mut bytes).ok().filter(|&read| read > 0) {
        sound &= carries();
        if sound && to.write_all(&bytes[..read]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}
