//! Hosts many independent dispatchers on the simulator's wire: standard input to standard output.

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
