//! Reads KDL documents node by node, with errors that name file, line and reason.
//!
//! Settings of the front and scripts of the stand-ins are read through [`Block`]. It records the names of the nodes that
//! were read, and [`Block::done`] rejects all others, so that a misspelt setting is an error and never ignored.
#![warn(missing_docs)]

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::path::Path;
use std::sync::Arc;

use kdl::{KdlDocument, KdlNode, KdlValue};
use miette::{Diagnostic, NamedSource, SourceSpan};
use thiserror::Error;

/// An error in a document, with its place. `Display` begins with file, line and column.
#[derive(Debug, Error, Diagnostic)]
#[error("{place}: {reason}")]
pub struct SettingError {
    /// File, line and column; line and column count from 1.
    pub place: String,
    /// Description of the error, a sentence.
    pub reason: String,
    #[source_code]
    source_code: NamedSource<Arc<String>>,
    #[label("here")]
    span: SourceSpan,
}

/// Name and text of a document, used to locate errors.
#[derive(Debug)]
struct Origin {
    name: String,
    text: Arc<String>,
}

impl Origin {
    fn error(&self, span: SourceSpan, reason: impl Into<String>) -> Box<SettingError> {
        let before = self.text.get(..span.offset()).unwrap_or(&self.text);
        let line = before.matches('\n').count() + 1;
        let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
        Box::new(SettingError {
            place: format!("{}:{line}:{column}", self.name),
            reason: reason.into(),
            source_code: NamedSource::new(&self.name, Arc::clone(&self.text)),
            span,
        })
    }
}

/// A parsed document.
#[derive(Debug)]
pub struct Document {
    origin: Origin,
    parsed: KdlDocument,
}

/// Result of reading a document or a value.
pub type Read<T> = Result<T, Box<SettingError>>;

impl Document {
    /// Parses a text; errors name it `name`.
    pub fn parse(name: &str, text: &str) -> Read<Document> {
        let origin = Origin { name: name.to_owned(), text: Arc::new(text.to_owned()) };
        match KdlDocument::parse_v2(text) {
            Ok(parsed) => Ok(Document { origin, parsed }),
            Err(error) => {
                let first = error.diagnostics.first();
                let span = first.map_or(SourceSpan::from((0, 0)), |d| d.span);
                let reason = first.and_then(|d| d.message.clone()).unwrap_or_else(|| "not KDL".to_owned());
                Err(origin.error(span, reason))
            }
        }
    }

    /// Reads and parses a file; if it cannot be read, the error is at line 1.
    pub fn load(path: &Path) -> Read<Document> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| {
            let origin = Origin { name: name.clone(), text: Arc::default() };
            origin.error((0, 0).into(), format!("cannot be read: {error}"))
        })?;
        Document::parse(&name, &text)
    }

    /// The whole document as a block.
    pub fn root(&self) -> Block<'_> {
        let nodes = self.parsed.nodes().iter().collect();
        Block { origin: &self.origin, span: (0, 0).into(), nodes, read_names: RefCell::default() }
    }
}

/// A value that a node's argument or property may be read as.
pub trait Value: Sized {
    /// The expected kind of value, for error messages.
    const EXPECTED: &'static str;
    /// Converts a KDL value, if it is of this kind.
    fn from_kdl(value: &KdlValue) -> Option<Self>;
}

impl Value for String {
    const EXPECTED: &'static str = "a string";
    fn from_kdl(value: &KdlValue) -> Option<Self> {
        value.as_string().map(str::to_owned)
    }
}

impl Value for bool {
    const EXPECTED: &'static str = "#true or #false";
    fn from_kdl(value: &KdlValue) -> Option<Self> {
        value.as_bool()
    }
}

impl Value for f64 {
    const EXPECTED: &'static str = "a number";
    fn from_kdl(value: &KdlValue) -> Option<Self> {
        value
            .as_float()
            .or_else(|| value.as_integer().map(|integer| integer as f64))
            .filter(|v| v.is_finite())
    }
}

macro_rules! impl_integer_values {
    ($($kind:ty),*) => {$(
        impl Value for $kind {
            const EXPECTED: &'static str = "a whole number that is not negative and not too large";
            fn from_kdl(value: &KdlValue) -> Option<Self> {
                value.as_integer().and_then(|integer| integer.try_into().ok())
            }
        }
    )*};
}
impl_integer_values!(u16, u32, u64, usize);

/// The nodes of a document, or the children of one node.
#[derive(Debug)]
pub struct Block<'a> {
    origin: &'a Origin,
    span: SourceSpan,
    nodes: Vec<&'a KdlNode>,
    read_names: RefCell<BTreeSet<String>>,
}

/// One node with its arguments, properties and children.
#[derive(Debug)]
pub struct Node<'a> {
    origin: &'a Origin,
    node: &'a KdlNode,
    read_names: RefCell<BTreeSet<String>>,
}

impl<'a> Block<'a> {
    /// All nodes with this name, in order.
    pub fn all(&self, name: &str) -> Vec<Node<'a>> {
        self.read_names.borrow_mut().insert(name.to_owned());
        let named = self.nodes.iter().filter(|node| node.name().value() == name);
        named.map(|node| Node { origin: self.origin, node, read_names: RefCell::default() }).collect()
    }

    /// All nodes, with any name.
    pub fn every(&self) -> Vec<Node<'a>> {
        let node = |node: &&'a KdlNode| {
            self.read_names.borrow_mut().insert(node.name().value().to_owned());
            Node { origin: self.origin, node, read_names: RefCell::default() }
        };
        self.nodes.iter().map(node).collect()
    }

    /// The node with this name, if there is one; a second one is an error.
    pub fn one(&self, name: &str) -> Read<Option<Node<'a>>> {
        let mut all = self.all(name);
        match all.len() {
            0 | 1 => Ok(all.pop()),
            _ => Err(all[1].error(format!("`{name}` stands twice"))),
        }
    }

    /// The node with this name; it is an error if it is missing.
    pub fn need(&self, name: &str) -> Read<Node<'a>> {
        self.one(name)?.ok_or_else(|| self.error(format!("`{name}` is missing")))
    }

    /// The first argument of the node with this name, or `default` if there is no such node.
    pub fn or<T: Value>(&self, name: &str, default: T) -> Read<T> {
        match self.one(name)? {
            None => Ok(default),
            Some(node) => {
                let value = node.argument()?;
                node.done()?;
                Ok(value)
            }
        }
    }

    /// The first argument of the node with this name; it is an error if the node is missing.
    pub fn value<T: Value>(&self, name: &str) -> Read<T> {
        let node = self.need(name)?;
        let value = node.argument()?;
        node.done()?;
        Ok(value)
    }

    /// Creates an error located at this block.
    pub fn error(&self, reason: impl Into<String>) -> Box<SettingError> {
        self.origin.error(self.span, reason)
    }

    /// The text of the nodes, for insertion into another document.
    pub fn text(&self) -> String {
        self.nodes.iter().map(|node| format!("{}\n", node.to_string().trim())).collect()
    }

    /// Checks that all nodes were read; the error names the first one that wasn't.
    pub fn done(&self) -> Read<()> {
        let read_names = self.read_names.borrow();
        match self.nodes.iter().find(|node| !read_names.contains(node.name().value())) {
            None => Ok(()),
            Some(node) => {
                let known: Vec<&str> = read_names.iter().map(String::as_str).collect();
                let reason =
                    format!("`{}` is no setting here; known: {}", node.name().value(), known.join(", "));
                Err(self.origin.error(node.span(), reason))
            }
        }
    }
}

impl<'a> Node<'a> {
    /// The name of the node.
    pub fn name(&self) -> &'a str {
        self.node.name().value()
    }

    /// The first argument; it is an error if there is none.
    pub fn argument<T: Value>(&self) -> Read<T> {
        self.arguments()?
            .into_iter()
            .next()
            .ok_or_else(|| self.error(format!("`{}` needs a value", self.name())))
    }

    /// All arguments, in order.
    pub fn arguments<T: Value>(&self) -> Read<Vec<T>> {
        self.read_names.borrow_mut().insert(String::new());
        let positional = self.node.entries().iter().filter(|entry| entry.name().is_none());
        let values = positional.map(|entry| {
            let reason = || format!("`{}` takes {}, not {}", self.name(), T::EXPECTED, entry.value());
            T::from_kdl(entry.value()).ok_or_else(|| self.origin.error(entry.span(), reason()))
        });
        values.collect()
    }

    /// A property, if it is present.
    pub fn maybe<T: Value>(&self, key: &str) -> Read<Option<T>> {
        self.read_names.borrow_mut().insert(key.to_owned());
        let named = |entry: &&kdl::KdlEntry| entry.name().is_some_and(|name| name.value() == key);
        let Some(entry) = self.node.entries().iter().find(named) else { return Ok(None) };
        let reason = || format!("`{key}` takes {}, not {}", T::EXPECTED, entry.value());
        T::from_kdl(entry.value()).map(Some).ok_or_else(|| self.origin.error(entry.span(), reason()))
    }

    /// A property, or `default` if it is missing.
    pub fn or<T: Value>(&self, key: &str, default: T) -> Read<T> {
        Ok(self.maybe(key)?.unwrap_or(default))
    }

    /// A property; it is an error if it is missing.
    pub fn need<T: Value>(&self, key: &str) -> Read<T> {
        self.maybe(key)?.ok_or_else(|| self.error(format!("`{}` needs `{key}=`", self.name())))
    }

    /// The children of the node.
    pub fn children(&self) -> Block<'a> {
        let nodes = self.node.children().map(|inner| inner.nodes().iter().collect()).unwrap_or_default();
        Block { origin: self.origin, span: self.node.span(), nodes, read_names: RefCell::default() }
    }

    /// Creates an error located at this node.
    pub fn error(&self, reason: impl Into<String>) -> Box<SettingError> {
        self.origin.error(self.node.span(), reason)
    }

    /// Checks that all properties and arguments were read; the error names the first one that wasn't.
    pub fn done(&self) -> Read<()> {
        let read_names = self.read_names.borrow();
        let key = |entry: &kdl::KdlEntry| entry.name().map_or("", |name| name.value()).to_owned();
        match self.node.entries().iter().find(|entry| !read_names.contains(&key(entry))) {
            None => Ok(()),
            Some(entry) => {
                let reason = format!("`{}` takes no `{}`", self.name(), entry.to_string().trim());
                Err(self.origin.error(entry.span(), reason))
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_misspelt_setting_is_an_error_with_its_line() {
        let document = Document::parse("front.kdl", "name \"f1\"\nlisten 1\nlisten-on 2\n").unwrap();
        let root = document.root();
        assert_eq!(root.value::<String>("name").unwrap(), "f1");
        assert!(root
            .value::<String>("listen")
            .unwrap_err()
            .to_string()
            .starts_with("front.kdl:2:8: `listen` takes a string"));
        let error = root.done().unwrap_err().to_string();
        assert!(error.starts_with("front.kdl:3:1: `listen-on` is no setting here"), "{error}");
    }

    #[test]
    fn invalid_kdl_is_an_error_with_its_place() {
        let error = Document::parse("a.kdl", "x 1\ny {{\n").unwrap_err();
        assert!(error.place.starts_with("a.kdl:2:"), "{}", error.place);
    }
}
