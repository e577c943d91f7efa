//! The sockets of an upgrade: the listener for clients, from the predecessor or bound anew, and the Unix socket where a
//! successor finds this process.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use tokio::net::{TcpListener, UnixListener, UnixStream};
use tokio::time::{sleep, timeout, Instant};

use crate::server::lifecycle::handover_frames::{
    link, FrameReceiver, FrameSender, HandoverFrame, ReceivedFrame,
};

/// The name of the Unix socket in `$TMPDIR`, which is this scheduler's alone.
const SOCKET_NAME: &str = "handover.sock";
/// How long a successor waits for the listener from a predecessor that has accepted its connection.
const LISTENER_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a new process keeps trying while another one holds the address: that one may be about to exit, or may
/// itself be taking over.
const BIND_TIMEOUT: Duration = Duration::from_secs(10);
/// Wait between two tries to bind.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The path of the Unix socket where a successor finds this process; `None` without `$TMPDIR`, and then there are no
/// upgrades.
pub fn socket_path() -> Option<PathBuf> {
    let directory = std::env::var_os("TMPDIR").filter(|directory| !directory.is_empty())?;
    Some(Path::new(&directory).join(SOCKET_NAME))
}

/// The link to the predecessor.
pub struct Predecessor {
    pub(super) sender: FrameSender,
    pub(super) receiver: FrameReceiver,
}

/// The listener for clients, and the process that it came from.
pub struct TakenListener {
    /// The listener.
    pub listener: TcpListener,
    /// The predecessor; `None`: the address was free.
    pub predecessor: Option<Predecessor>,
}

/// The listener for clients: from the predecessor if there is one, or else bound.
///
/// # Errors
/// If the address cannot be bound, after 10 s if it is another process that holds it.
pub async fn take_listener(socket_path: Option<&Path>, address: SocketAddr) -> io::Result<TakenListener> {
    let last_try = Instant::now() + BIND_TIMEOUT;
    loop {
        if let Some(taken) = listener_of_predecessor(socket_path, address).await {
            return Ok(taken);
        }
        let error = match TcpListener::bind(address).await {
            Ok(listener) => return Ok(TakenListener { listener, predecessor: None }),
            Err(error) => error,
        };
        let held_by_another_process = error.kind() == io::ErrorKind::AddrInUse && socket_path.is_some();
        if !held_by_another_process || Instant::now() >= last_try {
            return Err(error);
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// Connects to the predecessor and receives its listener. A socket file without a process refuses the connection.
async fn listener_of_predecessor(socket_path: Option<&Path>, address: SocketAddr) -> Option<TakenListener> {
    let (sender, mut receiver) = link(UnixStream::connect(socket_path?).await.ok()?);
    let ReceivedFrame { frame, socket } = timeout(LISTENER_TIMEOUT, receiver.next()).await.ok()??;
    let (HandoverFrame::Listener, Some(socket)) = (frame, socket) else { return None };
    let listener = std::net::TcpListener::from(socket);
    listener.set_nonblocking(true).ok()?;
    let listener = TcpListener::from_std(listener).ok()?;
    // A process that is configured to listen elsewhere is no successor.
    let any_port = address.port() == 0;
    let same_address = listener.local_addr().is_ok_and(|local_address| local_address == address);
    if !any_port && !same_address {
        return None;
    }
    Some(TakenListener { listener, predecessor: Some(Predecessor { sender, receiver }) })
}

/// Listens at this path. The file of a process that has exited, or that this one replaces, is replaced in one step:
/// at no moment is there none.
pub(super) fn bind_socket(path: &Path) -> io::Result<UnixListener> {
    let temporary = path.with_extension(std::process::id().to_string());
    // Usually there is none: only a killed process with the same number leaves one.
    let _ = std::fs::remove_file(&temporary);
    let listener = UnixListener::bind(&temporary)?;
    std::fs::rename(&temporary, path)?;
    Ok(listener)
}
