//! `chutesaddle check`: reads files as the scheduler would, and tells all that is wrong with them.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use chutesaddle::config::Config;

/// Checks each file. All are looked at, whatever is wrong with the ones before.
pub(super) fn run(files: &[PathBuf]) -> ExitCode {
    let mut code = ExitCode::SUCCESS;
    for file in files {
        match check(file) {
            Ok(what) => println!("{}: {what}", file.display()),
            Err(why) => {
                eprintln!("error: {why}");
                code = ExitCode::FAILURE;
            }
        }
    }
    code
}

fn check(file: &Path) -> Result<String, String> {
    if file.extension().is_some_and(|end| end == "json") {
        let config = Config::load(file).map_err(|error| format!("{}: {error}", file.display()))?;
        let (classes, members) = (config.settings.classes.len(), config.known_endpoints.entries.len());
        return Ok(format!("scheduler {:?}, {classes} classes, {members} members known", config.name));
    }
    let text = std::fs::read_to_string(file).map_err(|error| format!("{}: {error}", file.display()))?;
    let operator = chutesaddle_operator_config::read(&file.display().to_string(), &text)
        .map_err(|mistakes| format!("{} mistakes\n{mistakes}\n{}", mistakes.count(), mistakes.render()))?;
    Ok(match operator.gateway {
        None => "nothing is switched on".to_owned(),
        Some(gateway) => format!("a gateway of {:?} to {} peers", gateway.site, gateway.peers.len()),
    })
}
