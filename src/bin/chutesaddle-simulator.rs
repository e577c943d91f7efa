//! The `chutesaddle-simulator` binary: runs many independent dispatchers, controlled over standard input and
//! output. The protocol is described in [`chutesaddle::simulator`].

use std::io;
use std::process::ExitCode;

use chutesaddle::simulator::Host;

fn main() -> ExitCode {
    let input = io::BufReader::new(io::stdin().lock());
    match Host::default().run(input, io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("chutesaddle-simulator: {error}");
            ExitCode::FAILURE
        }
    }
}
