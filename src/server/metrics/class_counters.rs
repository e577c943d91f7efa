//! The outcomes of the requests of one class.

use std::fmt;

use super::Counter;

/// The outcomes of the requests of one class. The fields have the operators' names.
#[derive(Default)]
pub struct ClassCounters {
    /// The name of the class.
    pub(super) name: String,
    /// Requests answered with a worker's result.
    pub ok: Counter,
    /// Requests rejected, by decision or on arrival.
    pub shed: Counter,
    /// Requests that failed, or whose id was in use.
    pub errors: Counter,
    /// Attempts whose last byte was written to a worker.
    pub tries: Counter,
    /// Requests forwarded to another site.
    pub crossed: Counter,
}

impl ClassCounters {
    pub(super) fn named(name: &str) -> Self {
        ClassCounters { name: name.to_owned(), ..ClassCounters::default() }
    }

    /// Writes the lines of this class, but for those of the gateway.
    pub(super) fn write_lines(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let class = &self.name;
        writeln!(f, "svc.ok.{class}={}", self.ok.get())?;
        writeln!(f, "svc.shed.{class}={}", self.shed.get())?;
        writeln!(f, "svc.errors.{class}={}", self.errors.get())?;
        writeln!(f, "svc.tries.{class}={}", self.tries.get())
    }
}
