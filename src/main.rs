//! The `chutesaddle` binary: serves requests over the network and provides the other subcommands of `src/cli/`.

mod cli;

fn main() -> std::process::ExitCode {
    cli::run()
}
