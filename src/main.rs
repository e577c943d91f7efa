//! The program `chutesaddle`: the scheduler on sockets, and the other subcommands. See `src/cli/`.

mod cli;

fn main() -> std::process::ExitCode {
    cli::run()
}
