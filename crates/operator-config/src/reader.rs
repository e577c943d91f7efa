//! Reads nodes strictly: a node that is not asked for is an error, and so is one that is there twice.
//!
//! A reader collects errors and goes on, so that one run reports them all. What it cannot read it gives back as
//! `None`, after it has recorded the error.

use kdl::{KdlDocument, KdlNode, KdlValue};
use miette::SourceSpan;

use crate::error::ConfigError;

/// Collects the errors of a file.
#[derive(Default)]
pub struct Reader {
    /// Those found so far.
    pub errors: Vec<ConfigError>,
}

/// The nodes of one block, all of which have a known name.
pub struct Nodes<'a>(Vec<&'a KdlNode>);

impl Reader {
    /// Records an error.
    pub fn error(&mut self, span: SourceSpan, expected: impl Into<String>, found: impl Into<String>) {
        self.errors.push(ConfigError::new(span, expected, found));
    }

    /// The nodes of a document; those with another name than these are errors.
    pub fn nodes<'a>(&mut self, document: &'a KdlDocument, names: &[&str]) -> Nodes<'a> {
        let mut known = Vec::new();
        for node in document.nodes() {
            let name = node.name().value();
            if names.contains(&name) {
                known.push(node);
            } else {
                let expected = format!("one of {}", names.join(", "));
                self.error(node.name().span(), expected, format!("{name:?}"));
            }
        }
        Nodes(known)
    }

    /// The nodes inside one.
    pub fn children<'a>(&mut self, node: &'a KdlNode, names: &[&str]) -> Nodes<'a> {
        match node.children() {
            Some(children) => self.nodes(children, names),
            None => Nodes(Vec::new()),
        }
    }

    /// The one argument of a node, which has no other and no children.
    fn only_argument<'a>(&mut self, node: &'a KdlNode, expected: &str) -> Option<&'a KdlValue> {
        if let Some(children) = node.children() {
            self.error(children.span(), "no block here", "one");
        }
        self.argument(node, expected)
    }

    /// The one argument of a node that may have children.
    pub fn argument<'a>(&mut self, node: &'a KdlNode, expected: &str) -> Option<&'a KdlValue> {
        for property in node.entries().iter().filter(|entry| entry.name().is_some()) {
            self.error(property.span(), format!("{expected}, without a name"), property.to_string().trim());
        }
        let mut arguments = node.entries().iter().filter(|entry| entry.name().is_none());
        let first = arguments.next();
        for more in arguments {
            self.error(more.span(), "one value", "another");
        }
        if first.is_none() {
            self.error(node.name().span(), format!("{expected} behind it"), "nothing");
        }
        first.map(|entry| entry.value())
    }

    /// Checks that a node has no argument of its own.
    pub fn no_argument(&mut self, node: &KdlNode) {
        for entry in node.entries() {
            self.error(entry.span(), "no value here", entry.to_string().trim());
        }
    }

    /// The node's argument as text that `parse` accepts.
    pub fn text<T>(
        &mut self,
        node: &KdlNode,
        expected: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let value = self.only_argument(node, expected)?;
        self.require(node, value, expected, value.as_string().and_then(parse))
    }

    /// The node's argument as a whole number within bounds.
    pub fn integer(&mut self, node: &KdlNode, from: i128, to: i128) -> Option<usize> {
        let expected = format!("a whole number from {from} to {to}");
        let value = self.only_argument(node, &expected)?;
        let number = value.as_integer().filter(|number| (from..=to).contains(number));
        self.require(node, value, &expected, number.and_then(|number| number.try_into().ok()))
    }

    /// The node's argument as `#true` or `#false`.
    pub fn boolean(&mut self, node: &KdlNode) -> Option<bool> {
        let expected = "#true or #false";
        let value = self.only_argument(node, expected)?;
        self.require(node, value, expected, value.as_bool())
    }

    /// Gives back what was parsed of a node's value, and records an error if that is nothing.
    pub fn require<T>(
        &mut self,
        node: &KdlNode,
        value: &KdlValue,
        expected: &str,
        parsed: Option<T>,
    ) -> Option<T> {
        if parsed.is_none() {
            let entry = node.entries().iter().find(|entry| entry.value() == value);
            let span = entry.map_or(node.span(), |entry| entry.span());
            self.error(span, expected, value.to_string());
        }
        parsed
    }
}

impl<'a> Nodes<'a> {
    /// The node of that name; a second one is an error.
    pub fn one(&self, name: &str, reader: &mut Reader) -> Option<&'a KdlNode> {
        let mut found = self.all(name);
        let first = found.next();
        for more in found {
            reader.error(more.name().span(), format!("{name:?} once"), "it again");
        }
        first
    }

    /// All nodes of that name.
    pub fn all(&self, name: &str) -> impl Iterator<Item = &'a KdlNode> + use<'a, '_> {
        let name = name.to_owned();
        self.0.iter().copied().filter(move |node| node.name().value() == name)
    }
}
