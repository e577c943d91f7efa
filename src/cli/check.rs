//! `chutesaddle check`: reads configuration files as the scheduler would, and reports each mistake.
//!
//! The rules are in [`chutesaddle::config`] for the platform's files and in the crate `operator-config` for the operator's.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use chutesaddle::config::{Config, ConfigError};
use chutesaddle_operator_config::ConfigErrors;

/// What is wrong with a file.
#[derive(Debug, thiserror::Error)]
enum CheckError {
    #[error("{0}: {1}")]
    Config(PathBuf, #[source] ConfigError),
    #[error("{0}: {1}")]
    Unreadable(PathBuf, #[source] std::io::Error),
    #[error("{count} mistakes\n{0}\n{drawn}", count = .0.count(), drawn = .0.render())]
    Operator(#[from] ConfigErrors),
}

/// Checks each file. All are read, whatever is wrong with the ones before.
pub(super) fn run(files: &[PathBuf]) -> ExitCode {
    let mut code = ExitCode::SUCCESS;
    for file in files {
        match check(file) {
            Ok(summary) => println!("{}: {summary}", file.display()),
            Err(error) => {
                eprintln!("error: {error}");
                code = ExitCode::FAILURE;
            }
        }
    }
    code
}

/// Checks a file, and returns a summary of what it says.
fn check(file: &Path) -> Result<String, CheckError> {
    let is_platform_file = file.extension().is_some_and(|extension| extension == "json");
    if is_platform_file {
        check_platform_file(file)
    } else {
        check_operator_file(file)
    }
}

fn check_platform_file(file: &Path) -> Result<String, CheckError> {
    let config = Config::load(file).map_err(|error| CheckError::Config(file.into(), error))?;
    let (classes, workers) = (config.settings.classes.len(), config.known_endpoints.entries.len());
    Ok(format!("scheduler {:?}, {classes} classes, {workers} workers known", config.name))
}

fn check_operator_file(file: &Path) -> Result<String, CheckError> {
    let text = std::fs::read_to_string(file).map_err(|error| CheckError::Unreadable(file.into(), error))?;
    let operator = chutesaddle_operator_config::read(&file.display().to_string(), &text)?;
    Ok(match operator.gateway {
        None => "nothing is switched on".to_owned(),
        Some(gateway) => format!("a gateway of {:?} to {} peers", gateway.site, gateway.peers.len()),
    })
}
