use clap::CommandFactory;

use super::Arguments;

#[test]
fn argument_definitions_are_valid() {
    Arguments::command().debug_assert();
}
