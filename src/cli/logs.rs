//! The log on standard error: human-readable text or one JSON object per line.
//!
//! Each line consists of a fixed message and fields; `docs/on-call.md` lists them all. This module only formats
//! them.

use std::fmt;

use tracing::field::{Field, Visit};
use tracing::{Event, Level, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

use super::LogFormat;

/// Formats an event as text: the program name, the message and the fields as `name=value`.
struct TextFormat;

/// Collects the message and the fields of an event as text.
#[derive(Default)]
struct EventVisitor {
    message: String,
    fields: String,
}

impl Visit for EventVisitor {
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
    fn format_event(
        &self,
        _: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let mut visitor = EventVisitor::default();
        event.record(&mut visitor);
        // Info and warning lines have no prefix: their messages tell them apart.
        let level = match *event.metadata().level() {
            Level::ERROR => "error: ",
            Level::DEBUG => "debug: ",
            Level::TRACE => "trace: ",
            Level::INFO | Level::WARN => "",
        };
        writeln!(writer, "chutesaddle: {level}{}{}", visitor.message, visitor.fields)
    }
}

/// Installs the global subscriber, which logs events of this level and above.
pub(super) fn init(format: LogFormat, level: Level) {
    let log = tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr).with_ansi(false);
    match format {
        LogFormat::Text => log.event_format(TextFormat).init(),
        LogFormat::Json => log.json().flatten_event(true).with_target(false).init(),
    }
}
