//! Request counters of one class.

use std::fmt;

use super::Counter;

/// Request counters of one class. The fields are named as in the METRICS command.
#[derive(Default)]
pub struct ClassCounters {
    /// The name of the class.
    pub(super) name: String,
    /// Requests answered with a worker's result.
    pub ok: Counter,
    /// Requests rejected by a scheduling decision or before reaching the engine.
    pub shed: Counter,
    /// Requests that failed or whose id was already in use.
    pub errors: Counter,
    /// Attempts whose request was written to a worker in full.
    pub tries: Counter,
    /// Requests forwarded to another site.
    pub crossed: Counter,
}

impl ClassCounters {
    pub(super) fn new(name: &str) -> Self {
        ClassCounters { name: name.to_owned(), ..ClassCounters::default() }
    }

    /// Writes the metrics of this class, except those of the gateway.
    pub(super) fn write_lines(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let class = &self.name;
        writeln!(f, "svc.ok.{class}={}", self.ok.get())?;
        writeln!(f, "svc.shed.{class}={}", self.shed.get())?;
        writeln!(f, "svc.errors.{class}={}", self.errors.get())?;
        writeln!(f, "svc.tries.{class}={}", self.tries.get())
    }
}
