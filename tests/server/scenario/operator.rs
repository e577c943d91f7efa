//! Operator commands and the operator file.

use std::io::{Read, Write};
use std::net::TcpStream;

/// First letters of the operators' actor names. Their answers reach to the end of the connection.
pub(super) const OPERATOR_PREFIXES: [char; 5] = ['o', 'p', 'q', 'r', 'u'];

/// The process that this operator connects to.
pub(super) fn process_for(operator: &str) -> &'static str {
    match operator.as_bytes()[0] {
        b'o' => "s",
        b'p' => "s2",
        b'r' => "t",
        b'u' => "t2",
        _ => "s3",
    }
}

/// Sends a command and returns its answer.
pub(super) fn send_command(address: &str, line: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.write_all(format!("{line}\n").as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    Some(text)
}

/// Writes the operator file of a configuration. Its settings forward requests as soon as no slot is free.
pub(super) fn write_file(config: &str, site: &str, peer: &str, connect: &str) {
    let secret = format!("{config}.secret");
    std::fs::write(&secret, "a secret for two sites\n").unwrap();
    let text = format!(
        "gateway {{\n site {site:?}\n listen \"127.0.0.1:0\"\n secret-file {secret:?}\n peer {peer:?} {{ connect \"{connect}\"; }}
 room {{ settle \"20ms\"; reserve \"0%\"; }}\n crossing {{ lead \"10s\"; starve \"10ms\"; }}\n}}\n"
    );
    std::fs::write(format!("{config}.kdl"), text).unwrap();
}
