//! Reads nodes strictly: what is not asked for is a mistake, and so is what is there twice.

use kdl::{KdlDocument, KdlNode, KdlValue};
use miette::SourceSpan;

use crate::mistake::Mistake;

/// Collects mistakes, so that one call tells them all.
#[derive(Default)]
pub struct Reader {
    /// Those found so far.
    pub mistakes: Vec<Mistake>,
}

/// The nodes of one block, all of which have a known name.
pub struct Nodes<'a>(Vec<&'a KdlNode>);

impl Reader {
    /// Notes a mistake.
    pub fn mistake(&mut self, span: SourceSpan, expected: impl Into<String>, found: impl Into<String>) {
        self.mistakes.push(Mistake::new(span, expected, found));
    }

    /// The nodes of a document; those with another name than these are mistakes.
    pub fn nodes<'a>(&mut self, document: &'a KdlDocument, names: &[&str]) -> Nodes<'a> {
        let mut known = Vec::new();
        for node in document.nodes() {
            let name = node.name().value();
            if names.contains(&name) {
                known.push(node);
            } else {
                let expected = format!("one of {}", names.join(", "));
                self.mistake(node.name().span(), expected, format!("{name:?}"));
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
    pub fn argument<'a>(&mut self, node: &'a KdlNode, expected: &str) -> Option<&'a KdlValue> {
        if let Some(children) = node.children() {
            self.mistake(children.span(), "no block here", "one");
        }
        self.first(node, expected)
    }

    /// The one argument of a node that may have children.
    pub fn first<'a>(&mut self, node: &'a KdlNode, expected: &str) -> Option<&'a KdlValue> {
        for entry in node.entries().iter().filter(|entry| entry.name().is_some()) {
            self.mistake(entry.span(), format!("{expected}, without a name"), entry.to_string().trim());
        }
        let mut plain = node.entries().iter().filter(|entry| entry.name().is_none());
        let first = plain.next();
        for more in plain {
            self.mistake(more.span(), "one value", "another");
        }
        if first.is_none() {
            self.mistake(node.name().span(), format!("{expected} behind it"), "nothing");
        }
        first.map(|entry| entry.value())
    }

    /// A node that has no argument of its own.
    pub fn bare(&mut self, node: &KdlNode) {
        for entry in node.entries() {
            self.mistake(entry.span(), "no value here", entry.to_string().trim());
        }
    }

    /// The node's argument as text that `read` makes sense of.
    pub fn text<T>(
        &mut self,
        node: &KdlNode,
        expected: &str,
        read: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let value = self.argument(node, expected)?;
        self.take(node, value, expected, value.as_string().and_then(read))
    }

    /// The same as a whole number within bounds.
    pub fn whole(&mut self, node: &KdlNode, from: i128, to: i128) -> Option<usize> {
        let expected = format!("a whole number from {from} to {to}");
        let value = self.argument(node, &expected)?;
        let number = value.as_integer().filter(|n| (from..=to).contains(n)).and_then(|n| n.try_into().ok());
        self.take(node, value, &expected, number)
    }

    /// The same as `#true` or `#false`.
    pub fn flag(&mut self, node: &KdlNode) -> Option<bool> {
        let value = self.argument(node, "#true or #false")?;
        self.take(node, value, "#true or #false", value.as_bool())
    }

    /// What was read of a node's value, which is a mistake if that is nothing.
    pub fn take<T>(
        &mut self,
        node: &KdlNode,
        value: &KdlValue,
        expected: &str,
        read: Option<T>,
    ) -> Option<T> {
        if read.is_none() {
            let entry = node.entries().iter().find(|entry| entry.value() == value);
            self.mistake(entry.map_or(node.span(), |e| e.span()), expected, value.to_string());
        }
        read
    }
}

impl<'a> Nodes<'a> {
    /// The node of that name; a second one is a mistake.
    pub fn one(&self, name: &str, reader: &mut Reader) -> Option<&'a KdlNode> {
        let mut found = self.all(name);
        let first = found.next();
        for more in found {
            reader.mistake(more.name().span(), format!("{name:?} once"), "it again");
        }
        first
    }

    /// All nodes of that name.
    pub fn all(&self, name: &str) -> impl Iterator<Item = &'a KdlNode> + use<'a, '_> {
        let name = name.to_owned();
        self.0.iter().copied().filter(move |node| node.name().value() == name)
    }
}
