//! A scheduler process of another build, as far as an upgrade goes: it sends and reads the stable frames.

use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::time::Duration;

/// The form of its other frames, which nobody else knows.
const FORM: u8 = 99;
/// Frames of lesser kinds are stable; those of this kind and greater ones belong to a form.
const STABLE_FRAMES: u8 = 5;
/// Kinds of these that carry a client's connection.
const CARRY_CONNECTION: [u8; 2] = [5, 7];

pub(crate) struct OtherBuild {
    stream: UnixStream,
}

impl OtherBuild {
    /// Connects to the process that serves, as its successor does.
    pub(crate) fn connect(config: &str, patience: Duration) -> Result<Self, String> {
        let stream = UnixStream::connect(format!("{config}.d/handover.sock")).map_err(|e| e.to_string())?;
        stream.set_read_timeout(Some(patience)).map_err(|e| e.to_string())?;
        Ok(OtherBuild { stream })
    }

    /// Sends a frame: `serving`, `callback ID FROM`, or one of its own form.
    pub(crate) fn send(&mut self, text: &str) -> Result<(), String> {
        let body = match text.split_once(' ') {
            None if text == "serving" => vec![1],
            // A name of two bytes, from the worker of that name, done, without a result or a report; once.
            Some(("callback", rest)) => {
                let (name, from) = rest.split_once(' ').ok_or("a name and a worker")?;
                let field = |text: &str| [&[text.len() as u8], text.as_bytes()].concat();
                [vec![4], field(name), field(from), vec![2], field("drawn"), vec![0, 1]].concat()
            }
            // Of its own form: the other side passes over it, whatever it holds.
            _ => vec![STABLE_FRAMES, 1, 2, 3],
        };
        let frame = [&(1 + body.len() as u32).to_be_bytes()[..], &[FORM], &body].concat();
        self.stream.write_all(&frame).map_err(|e| e.to_string())
    }

    /// Reads up to a frame of this kind. A connection or a request in a frame that this build cannot read would be lost.
    pub(crate) fn receive_until(&mut self, kind: u8) -> Result<(), String> {
        loop {
            let mut length = [0; 4];
            self.stream.read_exact(&mut length).map_err(|e| e.to_string())?;
            let mut bytes = vec![0; u32::from_be_bytes(length) as usize];
            self.stream.read_exact(&mut bytes).map_err(|e| e.to_string())?;
            match bytes.get(1) {
                Some(found) if *found == kind => return Ok(()),
                Some(found) if CARRY_CONNECTION.contains(found) => {
                    return Err(format!("a frame of kind {found}"))
                }
                _ => {}
            }
        }
    }
}
