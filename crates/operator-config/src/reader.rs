//! Strict reading of KDL nodes: unknown and repeated nodes are errors.
//!
//! A [`Reader`] records errors and continues, so that all errors are reported at once. For a value that
//! is missing or invalid, its methods record an error and return `None`.

use kdl::{KdlDocument, KdlNode, KdlValue};
use miette::SourceSpan;

use crate::error::ConfigError;

/// Reads nodes and records the errors in them.
#[derive(Default)]
pub struct Reader {
    /// Errors recorded so far.
    pub errors: Vec<ConfigError>,
}

/// The nodes of one block whose names are known.
pub struct Nodes<'a>(Vec<&'a KdlNode>);

impl Reader {
    /// Records an error.
    pub fn error(&mut self, span: SourceSpan, expected: impl Into<String>, found: impl Into<String>) {
        self.errors.push(ConfigError::new(span, expected, found));
    }

    /// Returns the nodes of a document whose names are in `names`, and records an error for every other node.
    pub fn known_nodes<'a>(&mut self, document: &'a KdlDocument, names: &[&str]) -> Nodes<'a> {
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

    /// Returns the child nodes of a node whose names are in `names`, and records an error for every other child node.
    pub fn known_children<'a>(&mut self, node: &'a KdlNode, names: &[&str]) -> Nodes<'a> {
        match node.children() {
            Some(children) => self.known_nodes(children, names),
            None => Nodes(Vec::new()),
        }
    }

    /// Returns the only argument of a node that must not have child nodes.
    fn leaf_argument<'a>(&mut self, node: &'a KdlNode, expected: &str) -> Option<&'a KdlValue> {
        if let Some(children) = node.children() {
            self.error(children.span(), "no child nodes", "a block");
        }
        self.argument(node, expected)
    }

    /// Returns the only argument of a node that may have child nodes.
    pub fn argument<'a>(&mut self, node: &'a KdlNode, expected: &str) -> Option<&'a KdlValue> {
        for property in node.entries().iter().filter(|entry| entry.name().is_some()) {
            self.error(property.span(), format!("{expected}, not a property"), property.to_string().trim());
        }
        let mut arguments = node.entries().iter().filter(|entry| entry.name().is_none());
        let first = arguments.next();
        for extra in arguments {
            self.error(extra.span(), "one value", format!("another: {}", extra.value()));
        }
        if first.is_none() {
            self.error(node.name().span(), format!("{expected} after {:?}", node.name().value()), "nothing");
        }
        first.map(|entry| entry.value())
    }

    /// Records an error for each argument and property of a node that may have none.
    pub fn reject_arguments(&mut self, node: &KdlNode) {
        for entry in node.entries() {
            self.error(entry.span(), "no value", entry.to_string().trim());
        }
    }

    /// Returns the node's string argument, converted by `parse`.
    pub fn text<T>(
        &mut self,
        node: &KdlNode,
        expected: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let value = self.leaf_argument(node, expected)?;
        self.require(node, value, expected, value.as_string().and_then(parse))
    }

    /// Returns the node's argument as an integer from `min` to `max`.
    pub fn integer(&mut self, node: &KdlNode, min: i128, max: i128) -> Option<usize> {
        let expected = format!("a whole number from {min} to {max}");
        let value = self.leaf_argument(node, &expected)?;
        let number = value.as_integer().filter(|number| (min..=max).contains(number));
        self.require(node, value, &expected, number.and_then(|number| number.try_into().ok()))
    }

    /// Returns the node's boolean argument, `#true` or `#false`.
    pub fn boolean(&mut self, node: &KdlNode) -> Option<bool> {
        let expected = "#true or #false";
        let value = self.leaf_argument(node, expected)?;
        self.require(node, value, expected, value.as_bool())
    }

    /// Returns the parsed value, and records an error at `value` if parsing returned `None`.
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
    /// Returns the node with this name, and records an error for every further one.
    pub fn unique(&self, name: &str, reader: &mut Reader) -> Option<&'a KdlNode> {
        let mut matching = self.named(name);
        let first = matching.next();
        for repeated in matching {
            reader.error(repeated.name().span(), format!("{name:?} once"), "another");
        }
        first
    }

    /// Returns all nodes with this name.
    pub fn named(&self, name: &str) -> impl Iterator<Item = &'a KdlNode> + use<'a, '_> {
        let name = name.to_owned();
        self.0.iter().copied().filter(move |node| node.name().value() == name)
    }
}
