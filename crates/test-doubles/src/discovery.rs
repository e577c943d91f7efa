//! A discovery service that publishes the workers of one site as a watched endpoint list.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::http;

/// Interval between empty lines while the endpoint list does not change.
const HEARTBEAT: Duration = Duration::from_secs(2);

/// A worker in the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The name of the worker.
    pub name: String,
    /// The address on which the worker listens.
    pub address: SocketAddr,
    /// The kind of the worker.
    pub kind: &'static str,
    /// `active`, `leaving` or `left`.
    pub state: &'static str,
    /// Unix time in milliseconds at which the worker started, or 0 if it is past its slow start.
    pub started_ms: u64,
}

/// A discovery service for the workers of one site.
pub struct Discovery {
    /// The address on which the service listens.
    pub address: SocketAddr,
    endpoints: RefCell<Vec<Endpoint>>,
    version: watch::Sender<u64>,
}

impl Discovery {
    /// Starts a discovery service with an empty endpoint list.
    ///
    /// # Errors
    /// If the service cannot listen on loopback.
    pub async fn start() -> io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let discovery =
            Rc::new(Discovery { address, endpoints: RefCell::default(), version: watch::Sender::new(1) });
        let server = Rc::clone(&discovery);
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = Rc::clone(&server);
                spawn_local(async move { server.serve_watch(stream).await });
            }
        });
        Ok(discovery)
    }

    /// Adds a worker to the endpoint list, or replaces its entry.
    pub fn publish(&self, endpoint: Endpoint) {
        let mut endpoints = self.endpoints.borrow_mut();
        endpoints.retain(|known| known.name != endpoint.name);
        endpoints.push(endpoint);
        self.version.send_modify(|version| *version += 1);
    }

    /// Returns a complete snapshot with this version, as one line of JSON.
    fn snapshot(&self, version: u64) -> String {
        let entry = |endpoint: &Endpoint| {
            let Endpoint { name, address, kind, state, started_ms } = endpoint;
            format!(
                r#"{{"id":"{name}","addr":"{address}","zone":"here","kind":"{kind}","cell":0,"state":"{state}","weight":1.0,"started_ms":{started_ms}}}"#
            )
        };
        let entries: Vec<String> = self.endpoints.borrow().iter().map(entry).collect();
        format!(r#"{{"version":{version},"full":true,"servers":[{}]}}"#, entries.join(","))
    }

    /// Answers any request with a complete snapshot of the endpoint list, and with another one after each change.
    async fn serve_watch(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut version = self.version.subscribe();
        if http::read_request(&mut stream, &mut Vec::new()).await?.is_none() {
            return Ok(());
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        loop {
            let current = *version.borrow_and_update();
            let snapshot = self.snapshot(current);
            let chunk = format!("{:x}\r\n{snapshot}\n\r\n", snapshot.len() + 1);
            stream.write_all(chunk.as_bytes()).await?;
            while timeout(HEARTBEAT, version.changed()).await.is_err() {
                stream.write_all(b"1\r\n\n\r\n").await?;
            }
        }
    }
}
