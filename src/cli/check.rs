//! `chutesaddle check`: parses configuration files like the scheduler does and reports all errors.
//!
//! The rules for platform files are in [`chutesaddle::config`], those for operator files in the crate
//! `operator-config`.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use chutesaddle::config::{Config, ConfigError};
use chutesaddle_operator_config::ConfigErrors;

/// Why a file fails the check.
#[derive(Debug, thiserror::Error)]
enum CheckError {
    #[error("{0}: {1}")]
    Config(PathBuf, #[source] ConfigError),
    #[error("{0}: {1}")]
    Unreadable(PathBuf, #[source] std::io::Error),
    #[error("found {count} error(s)\n{0}\n{rendered}", count = .0.count(), rendered = .0.render())]
    Operator(#[from] ConfigErrors),
}

/// Checks each file, even after an error in a previous one.
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

/// Checks a file and returns a summary of its contents.
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
