//! Sockets used by an upgrade: the client listener, received from the predecessor or newly bound, and the Unix socket
//! that a successor connects to.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, UnixListener, UnixStream};
use tokio::time::{sleep, timeout, Instant};

use crate::server::lifecycle::handover_frames::{
    link, FrameReceiver, FrameSender, HandoverFrame, ReceivedFrame,
};

/// Name of the Unix socket in `$TMPDIR`. Each scheduler has its own `$TMPDIR`.
const SOCKET_NAME: &str = "handover.sock";
/// Number of connections that may wait to be accepted. The system may allow fewer.
const LISTEN_BACKLOG: u32 = 4096;
/// How long a successor waits for the listener after it has connected to the predecessor.
const LISTENER_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a new process retries while another process is bound to the address. The other process may be about to
/// exit, or may itself be taking over.
const BIND_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay between attempts to acquire the listener.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Path of the Unix socket that a successor connects to. `None` if `$TMPDIR` is not set, which disables upgrades.
pub fn socket_path() -> Option<PathBuf> {
    let directory = std::env::var_os("TMPDIR").filter(|directory| !directory.is_empty())?;
    Some(Path::new(&directory).join(SOCKET_NAME))
}

/// The two sides of the link to the predecessor.
pub struct Predecessor {
    pub(super) sender: FrameSender,
    pub(super) receiver: FrameReceiver,
}

/// The client listener and the process that it was received from.
pub struct AcquiredListener {
    /// The listener.
    pub listener: TcpListener,
    /// The predecessor. `None` if the listener was newly bound.
    pub predecessor: Option<Predecessor>,
}

/// Receives the client listener from the predecessor, or binds it if there is no predecessor.
///
/// # Errors
/// Returns an error if the address cannot be bound. If another process is bound to it, retries for 10 s first.
pub async fn acquire_listener(
    socket_path: Option<&Path>,
    address: SocketAddr,
) -> io::Result<AcquiredListener> {
    let retry_until = Instant::now() + BIND_TIMEOUT;
    loop {
        if let Some(acquired) = receive_listener(socket_path, address).await {
            return Ok(acquired);
        }
        let error = match listen(address) {
            Ok(listener) => return Ok(AcquiredListener { listener, predecessor: None }),
            Err(error) => error,
        };
        let held_by_another_process = error.kind() == io::ErrorKind::AddrInUse && socket_path.is_some();
        if !held_by_another_process || Instant::now() >= retry_until {
            return Err(error);
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// Listens at the address. Unlike [`TcpListener::bind`], with a backlog that holds a crowd.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Connects to the predecessor and receives its listener. Returns `None` if there is no predecessor: the socket file of
/// a process that has exited refuses the connection.
async fn receive_listener(socket_path: Option<&Path>, address: SocketAddr) -> Option<AcquiredListener> {
    let (sender, mut receiver) = link(UnixStream::connect(socket_path?).await.ok()?);
    let ReceivedFrame { frame, socket } = timeout(LISTENER_TIMEOUT, receiver.next()).await.ok()??;
    let (HandoverFrame::Listener, Some(socket)) = (frame, socket) else { return None };
    let listener = std::net::TcpListener::from(socket);
    listener.set_nonblocking(true).ok()?;
    let listener = TcpListener::from_std(listener).ok()?;
    // A process configured with a different address is not a successor.
    let any_port = address.port() == 0;
    let same_address = listener.local_addr().is_ok_and(|local_address| local_address == address);
    if !any_port && !same_address {
        return None;
    }
    Some(AcquiredListener { listener, predecessor: Some(Predecessor { sender, receiver }) })
}

/// Listens at this path. An existing socket file, left by a process that has exited or that this one replaces, is
/// replaced atomically, so the path always exists.
pub(super) fn bind_socket(path: &Path) -> io::Result<UnixListener> {
    let temporary = path.with_extension(std::process::id().to_string());
    // Usually missing: only a killed process with the same process ID leaves one.
    let _ = std::fs::remove_file(&temporary);
    let listener = UnixListener::bind(&temporary)?;
    std::fs::rename(&temporary, path)?;
    Ok(listener)
}
