//! What is wrong with a file, and where.

use std::fmt;

use miette::{Diagnostic, NamedSource, SourceSpan};

/// One mistake.
#[derive(Clone, Debug, thiserror::Error, Diagnostic)]
#[error("expected {expected}, found {found}")]
pub struct Mistake {
    expected: String,
    found: String,
    #[label("{expected}")]
    span: SourceSpan,
}

impl Mistake {
    /// At this place, something else than expected was found.
    pub fn new(span: SourceSpan, expected: impl Into<String>, found: impl Into<String>) -> Self {
        Mistake { expected: expected.into(), found: found.into(), span }
    }
}

/// All mistakes of one file. It is a [`Diagnostic`], which shows them in their lines; as text it is one line
/// for each, `FILE:LINE:COLUMN: expected .., found ..`.
#[derive(Debug, Diagnostic)]
pub struct Mistakes {
    #[source_code]
    source: NamedSource<String>,
    #[related]
    mistakes: Vec<Mistake>,
}

impl std::error::Error for Mistakes {}

impl Mistakes {
    /// Mistakes of a file of this name and text.
    pub fn new(name: &str, text: &str, mut mistakes: Vec<Mistake>) -> Self {
        mistakes.sort_by_key(|mistake| mistake.span.offset());
        Mistakes { source: NamedSource::new(name, text.to_owned()), mistakes }
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.mistakes.len()
    }

    /// The file with its mistakes marked, for a terminal.
    pub fn drawn(&self) -> String {
        let mut text = String::new();
        let handler = miette::GraphicalReportHandler::new_themed(miette::GraphicalTheme::unicode_nocolor());
        match handler.render_report(&mut text, self) {
            Ok(()) => text,
            Err(fmt::Error) => self.to_string(),
        }
    }
}

impl fmt::Display for Mistakes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = self.source.inner();
        for (n, mistake) in self.mistakes.iter().enumerate() {
            let before = text.get(..mistake.span.offset()).unwrap_or(text);
            let line = before.matches('\n').count() + 1;
            let column = before.rsplit('\n').next().map_or(0, |rest| rest.chars().count()) + 1;
            let gap = if n == 0 { "" } else { "\n" };
            write!(f, "{gap}{}:{line}:{column}: {mistake}", self.source.name())?;
        }
        Ok(())
    }
}
