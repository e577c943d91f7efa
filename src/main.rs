//! The scheduler on real sockets. So far it takes its address and waits for SIGTERM; it serves no job yet.

use std::process::ExitCode;

use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    match run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("chutesaddle: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), Box<dyn std::error::Error>> {
    let address = std::env::var("NODE_LISTEN").map_err(|error| format!("NODE_LISTEN: {error}"))?;
    let _listener = TcpListener::bind(&address).await.map_err(|error| format!("{address}: {error}"))?;
    signal(SignalKind::terminate())?.recv().await;
    Ok(())
}
