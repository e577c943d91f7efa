use clap::CommandFactory;

use super::Arguments;

#[test]
fn the_command_line_is_sound() {
    Arguments::command().debug_assert();
}
