//! Errors in a settings file, with their positions.

use std::fmt;

use miette::{Diagnostic, NamedSource, SourceSpan};

/// An error in a settings file: the expected and the actual content at a position.
#[derive(Clone, Debug, thiserror::Error, Diagnostic)]
#[error("expected {expected}, found {found}")]
pub struct ConfigError {
    expected: String,
    found: String,
    #[label("{expected}")]
    span: SourceSpan,
}

impl ConfigError {
    /// Creates an error at `span`.
    pub fn new(span: SourceSpan, expected: impl Into<String>, found: impl Into<String>) -> Self {
        ConfigError { expected: expected.into(), found: found.into(), span }
    }
}

/// All errors in a file. As a [`Diagnostic`] it shows them within the source. Its `Display` output has one line per error:
/// `FILE:LINE:COLUMN: expected .., found ..`.
#[derive(Debug, Diagnostic)]
pub struct ConfigErrors {
    #[source_code]
    source: NamedSource<String>,
    #[related]
    errors: Vec<ConfigError>,
}

impl std::error::Error for ConfigErrors {}

impl ConfigErrors {
    /// Collects the errors in a file and sorts them by position.
    pub fn new(name: &str, text: &str, mut errors: Vec<ConfigError>) -> Self {
        errors.sort_by_key(|error| error.span.offset());
        ConfigErrors { source: NamedSource::new(name, text.to_owned()), errors }
    }

    /// Number of errors.
    pub fn count(&self) -> usize {
        self.errors.len()
    }

    /// Renders the errors with the affected source lines, for a terminal.
    pub fn render(&self) -> String {
        let mut text = String::new();
        let handler = miette::GraphicalReportHandler::new_themed(miette::GraphicalTheme::unicode_nocolor());
        match handler.render_report(&mut text, self) {
            Ok(()) => text,
            // The `Display` output contains the same errors.
            Err(fmt::Error) => self.to_string(),
        }
    }
}

impl fmt::Display for ConfigErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = self.source.inner();
        for (index, error) in self.errors.iter().enumerate() {
            let before = text.get(..error.span.offset()).unwrap_or(text);
            let line = before.matches('\n').count() + 1;
            let column = before.rsplit('\n').next().map_or(0, |rest| rest.chars().count()) + 1;
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{}:{line}:{column}: {error}", self.source.name())?;
        }
        Ok(())
    }
}
