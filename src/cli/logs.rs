//! The log on standard error: text for people, or one JSON object to a line.
//!
//! Each line has a fixed message and fields; `docs/on-call.md` lists them all. This file only decides how they look.

use std::fmt;

use tracing::field::{Field, Visit};
use tracing::{Event, Level, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

use super::Form;

/// The text form: the program, the message, and fields as `name=value`.
struct TextFormat;

/// A line as it is collected.
#[derive(Default)]
struct LineParts {
    message: String,
    fields: String,
}

impl Visit for LineParts {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        use fmt::Write as _;
        // Writing to a string cannot fail.
        let _ = match field.name() {
            "message" => write!(self.message, "{value:?}"),
            name => write!(self.fields, " {name}={value:?}"),
        };
    }
}

impl<S, N> FormatEvent<S, N> for TextFormat
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(&self, _: &FmtContext<'_, S, N>, mut to: Writer<'_>, event: &Event<'_>) -> fmt::Result {
        let mut parts = LineParts::default();
        event.record(&mut parts);
        // Information and warnings differ by their messages; the other levels are marked.
        let level = match *event.metadata().level() {
            Level::ERROR => "error: ",
            Level::DEBUG => "debug: ",
            Level::TRACE => "trace: ",
            Level::INFO | Level::WARN => "",
        };
        writeln!(to, "chutesaddle: {level}{}{}", parts.message, parts.fields)
    }
}

/// Starts the log, with lines of this level and above.
pub(super) fn start(form: Form, level: Level) {
    let log = tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr).with_ansi(false);
    match form {
        Form::Text => log.event_format(TextFormat).init(),
        Form::Json => log.json().flatten_event(true).with_target(false).init(),
    }
}
