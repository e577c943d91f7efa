//! The stand-ins and checks of the cases in `review/6` to `review/10`.
//!
//! `standin CASE ROOT FOLDER` plays a case, writes `record.txt` in `FOLDER` and exits with 1 if the rule was broken, 0 if
//! it held and 2 if the case could not run. `TROUBLE=0` leaves out the disruption.

mod common;
mod descriptors;
mod outage;
mod overlap;
mod second_answer;
mod zones;

use std::path::PathBuf;
use std::process::ExitCode;

use common::{Error, Place, Record};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = &arguments[..] else {
        eprintln!("standin CASE ROOT FOLDER");
        return ExitCode::from(2);
    };
    match play(case, root.into(), folder.into()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

/// Returns whether the rule held.
fn play(case: &str, root: PathBuf, folder: PathBuf) -> Result<bool, Error> {
    let record = Record::create(&folder)?;
    let temporary = std::env::temp_dir().join(format!("review-2-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&temporary)?;
    common::start_watchdog(std::time::Duration::from_secs(115));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(format!("case {case}, {}", if trouble { "with its disruption" } else { "without a disruption" }));
    let place = Place { root, temporary, record, trouble };
    let held = match case {
        "descriptors" => descriptors::play(&place),
        "outage" => outage::play(&place),
        "overlap" => overlap::play(&place),
        "second-answer" => second_answer::play(&place),
        "zones" => zones::play(&place),
        _ => Err("no such case".into()),
    };
    match &held {
        Ok(true) => place.record.line("the rule held"),
        Ok(false) => place.record.line("THE RULE WAS BROKEN"),
        Err(error) => place.record.line(format!("the case could not run: {error}")),
    }
    held
}
