//! A discovery that lists the boxes of one site.

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

/// An empty line comes this often while nothing changes.
const BEAT: Duration = Duration::from_secs(2);

/// A line of the list.
#[derive(Clone, Debug)]
pub struct Line {
    /// The box.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its kind.
    pub kind: &'static str,
    /// `active`, `leaving` or `left`.
    pub state: &'static str,
    /// Unix time of its start in milliseconds; 0 for long ago.
    pub started_ms: u64,
}

/// The list and its listener.
pub struct Discovery {
    /// Where it answers.
    pub address: SocketAddr,
    lines: RefCell<Vec<Line>>,
    version: watch::Sender<u64>,
}

impl Discovery {
    /// Starts one that lists nothing.
    ///
    /// # Errors
    /// If it cannot listen.
    pub async fn start() -> io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let this = Rc::new(Discovery { address, lines: RefCell::default(), version: watch::Sender::new(1) });
        let server = Rc::clone(&this);
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = Rc::clone(&server);
                spawn_local(async move { server.follow(stream).await });
            }
        });
        Ok(this)
    }

    /// Lists a box, or changes how it is listed.
    pub fn list(&self, line: Line) {
        let mut lines = self.lines.borrow_mut();
        lines.retain(|known| known.name != line.name);
        lines.push(line);
        self.version.send_modify(|version| *version += 1);
    }

    fn text(&self, version: u64) -> String {
        let entry = |line: &Line| {
            let Line { name, address, kind, state, started_ms } = line;
            format!(
                r#"{{"id":"{name}","addr":"{address}","zone":"here","kind":"{kind}","cell":0,"state":"{state}","weight":1.0,"started_ms":{started_ms}}}"#
            )
        };
        let lines: Vec<String> = self.lines.borrow().iter().map(entry).collect();
        format!(r#"{{"version":{version},"full":true,"servers":[{}]}}"#, lines.join(","))
    }

    /// Answers every call with the list and its changes, in whole lists.
    async fn follow(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut version = self.version.subscribe();
        if http::read(&mut stream, &mut Vec::new(), true).await?.is_none() {
            return Ok(());
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        loop {
            let number = *version.borrow_and_update();
            let text = self.text(number);
            let chunk = format!("{:x}\r\n{text}\n\r\n", text.len() + 1);
            stream.write_all(chunk.as_bytes()).await?;
            while timeout(BEAT, version.changed()).await.is_err() {
                stream.write_all(b"1\r\n\n\r\n").await?;
            }
        }
    }
}
