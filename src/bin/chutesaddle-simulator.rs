//! The program `chutesaddle-simulator`: many independent dispatchers, driven over standard input and output.
//! The wire is in [`chutesaddle::simulator`].

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
