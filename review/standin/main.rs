//! Runs one case: `standin CASE FOLDER`. The exit code is 1 if the rule was broken, 0 if it held, 2 if it cannot run.

mod callbacks;
mod common;
mod sites;
mod upgrade;
mod worker;

use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else { common::give_up("usage: standin CASE FOLDER") };
    let place = common::Place::new(Path::new(folder));
    let code = match case.as_str() {
        "callbacks" => callbacks::main(&place),
        "sites" => sites::main(&place),
        "upgrade" => upgrade::main(&place),
        _ => common::give_up("unknown case"),
    };
    drop(place);
    std::process::exit(code);
}
