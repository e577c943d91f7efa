//! A successor process of another build. It sends and reads only the handover frames whose format is stable across
//! builds.

use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::time::Duration;

/// Format version of its other frames. The scheduler under test does not know it.
const FRAME_FORMAT_VERSION: u8 = 99;
/// Frame kinds below this number are stable. Kinds from this number on depend on the format version.
const STABLE_FRAME_COUNT: u8 = 5;
/// Unstable frame kinds that carry a client's connection.
const CONNECTION_FRAME_KINDS: [u8; 2] = [5, 7];

/// The successor's end of the handover socket.
pub(crate) struct OtherBuild {
    stream: UnixStream,
}

impl OtherBuild {
    /// Connects to the serving process as its successor.
    pub(crate) fn connect(config: &str, timeout: Duration) -> Result<Self, String> {
        let stream = UnixStream::connect(format!("{config}.d/handover.sock")).map_err(|e| e.to_string())?;
        stream.set_read_timeout(Some(timeout)).map_err(|e| e.to_string())?;
        Ok(OtherBuild { stream })
    }

    /// Sends a frame: `serving`, `callback ID FROM`, or with any other text an unstable frame.
    pub(crate) fn send(&mut self, text: &str) -> Result<(), String> {
        let body = match text.split_once(' ') {
            None if text == "serving" => vec![1],
            // Request ID, worker, state `done`, result, no load report, sent once. Lengths take one byte.
            Some(("callback", rest)) => {
                let (id, worker) = rest.split_once(' ').ok_or("expected `callback ID FROM`")?;
                let field = |text: &str| [&[text.len() as u8], text.as_bytes()].concat();
                [vec![4], field(id), field(worker), vec![2], field("drawn"), vec![0, 1]].concat()
            }
            // An unstable frame of an unknown format: the receiver skips it whatever it contains.
            _ => vec![STABLE_FRAME_COUNT, 1, 2, 3],
        };
        let frame = [&(1 + body.len() as u32).to_be_bytes()[..], &[FRAME_FORMAT_VERSION], &body].concat();
        self.stream.write_all(&frame).map_err(|e| e.to_string())
    }

    /// Reads frames until one of this kind. Fails on a frame that carries a connection: a successor that cannot read
    /// it would lose the connection and its request.
    pub(crate) fn receive_until(&mut self, kind: u8) -> Result<(), String> {
        loop {
            let mut length = [0; 4];
            self.stream.read_exact(&mut length).map_err(|e| e.to_string())?;
            let mut bytes = vec![0; u32::from_be_bytes(length) as usize];
            self.stream.read_exact(&mut bytes).map_err(|e| e.to_string())?;
            match bytes.get(1) {
                Some(found) if *found == kind => return Ok(()),
                Some(found) if CONNECTION_FRAME_KINDS.contains(found) => {
                    return Err(format!("received a frame of kind {found}, which carries a connection"))
                }
                _ => {}
            }
        }
    }
}
