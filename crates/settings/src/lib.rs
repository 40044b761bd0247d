//! KDL documents, read node by node, with an error that names file, line and reason.
//!
//! Settings of the front and scripts of the stand-ins are read through [`Block`]: it hands out the values of its
//! nodes once each, and [`Block::done`] complains of whatever nobody asked for, so that a misspelt setting is
//! told and never passed over.
#![warn(missing_docs)]

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::path::Path;
use std::sync::Arc;

use kdl::{KdlDocument, KdlNode, KdlValue};
use miette::{Diagnostic, NamedSource, SourceSpan};
use thiserror::Error;

/// What is wrong with a document, and where. `Display` begins with file, line and column.
#[derive(Debug, Error, Diagnostic)]
#[error("{place}: {reason}")]
pub struct SettingError {
    /// File, line and column, each from 1.
    pub place: String,
    /// What is wrong, in a sentence.
    pub reason: String,
    #[source_code]
    source_code: NamedSource<Arc<String>>,
    #[label("here")]
    span: SourceSpan,
}

/// The text of a document and its name, for the places of errors.
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

/// Result of reading.
pub type Read<T> = Result<T, Box<SettingError>>;

impl Document {
    /// Parses a text; `name` stands in its errors.
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

    /// Reads and parses a file; one that cannot be read is an error at its line 1.
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
        Block { origin: &self.origin, span: (0, 0).into(), nodes, asked: RefCell::default() }
    }
}

/// A value that a node's argument or property may be read as.
pub trait Value: Sized {
    /// What is expected, for the error.
    const WANTED: &'static str;
    /// The value, if it is of this kind.
    fn take(value: &KdlValue) -> Option<Self>;
}

impl Value for String {
    const WANTED: &'static str = "a string";
    fn take(value: &KdlValue) -> Option<Self> {
        value.as_string().map(str::to_owned)
    }
}

impl Value for bool {
    const WANTED: &'static str = "#true or #false";
    fn take(value: &KdlValue) -> Option<Self> {
        value.as_bool()
    }
}

impl Value for f64 {
    const WANTED: &'static str = "a number";
    fn take(value: &KdlValue) -> Option<Self> {
        value.as_float().or_else(|| value.as_integer().map(|whole| whole as f64)).filter(|v| v.is_finite())
    }
}

macro_rules! whole {
    ($($kind:ty),*) => {$(
        impl Value for $kind {
            const WANTED: &'static str = "a whole number that is not negative and not too large";
            fn take(value: &KdlValue) -> Option<Self> {
                value.as_integer().and_then(|whole| whole.try_into().ok())
            }
        }
    )*};
}
whole!(u16, u32, u64, usize);

/// The nodes of a document, or the children of one node.
#[derive(Debug)]
pub struct Block<'a> {
    origin: &'a Origin,
    span: SourceSpan,
    nodes: Vec<&'a KdlNode>,
    asked: RefCell<BTreeSet<String>>,
}

/// One node with its arguments, properties and children.
#[derive(Debug)]
pub struct Node<'a> {
    origin: &'a Origin,
    node: &'a KdlNode,
    asked: RefCell<BTreeSet<String>>,
}

impl<'a> Block<'a> {
    /// All nodes of this name, in order.
    pub fn all(&self, name: &str) -> Vec<Node<'a>> {
        self.asked.borrow_mut().insert(name.to_owned());
        let named = self.nodes.iter().filter(|node| node.name().value() == name);
        named.map(|node| Node { origin: self.origin, node, asked: RefCell::default() }).collect()
    }

    /// All nodes, whatever their names.
    pub fn every(&self) -> Vec<Node<'a>> {
        let node = |node: &&'a KdlNode| {
            self.asked.borrow_mut().insert(node.name().value().to_owned());
            Node { origin: self.origin, node, asked: RefCell::default() }
        };
        self.nodes.iter().map(node).collect()
    }

    /// The one node of this name, if it is there; a second one is an error.
    pub fn one(&self, name: &str) -> Read<Option<Node<'a>>> {
        let mut all = self.all(name);
        match all.len() {
            0 | 1 => Ok(all.pop()),
            _ => Err(all[1].error(format!("`{name}` stands twice"))),
        }
    }

    /// The node of this name, which must be there.
    pub fn need(&self, name: &str) -> Read<Node<'a>> {
        self.one(name)?.ok_or_else(|| self.error(format!("`{name}` is missing")))
    }

    /// First argument of the node of this name, or a default.
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

    /// First argument of the node of this name, which must be there.
    pub fn value<T: Value>(&self, name: &str) -> Read<T> {
        let node = self.need(name)?;
        let value = node.argument()?;
        node.done()?;
        Ok(value)
    }

    /// An error at this block.
    pub fn error(&self, reason: impl Into<String>) -> Box<SettingError> {
        self.origin.error(self.span, reason)
    }

    /// Its nodes as they stand, to be put into another document.
    pub fn text(&self) -> String {
        self.nodes.iter().map(|node| format!("{}\n", node.to_string().trim())).collect()
    }

    /// Complains of the first node that nobody asked for.
    pub fn done(&self) -> Read<()> {
        let asked = self.asked.borrow();
        match self.nodes.iter().find(|node| !asked.contains(node.name().value())) {
            None => Ok(()),
            Some(node) => {
                let known: Vec<&str> = asked.iter().map(String::as_str).collect();
                let reason =
                    format!("`{}` is no setting here; known: {}", node.name().value(), known.join(", "));
                Err(self.origin.error(node.span(), reason))
            }
        }
    }
}

impl<'a> Node<'a> {
    /// Its name.
    pub fn name(&self) -> &'a str {
        self.node.name().value()
    }

    /// Its first argument.
    pub fn argument<T: Value>(&self) -> Read<T> {
        self.arguments()?
            .into_iter()
            .next()
            .ok_or_else(|| self.error(format!("`{}` needs a value", self.name())))
    }

    /// All its arguments.
    pub fn arguments<T: Value>(&self) -> Read<Vec<T>> {
        self.asked.borrow_mut().insert(String::new());
        let plain = self.node.entries().iter().filter(|entry| entry.name().is_none());
        let read = plain.map(|entry| {
            let wrong = || format!("`{}` takes {}, not {}", self.name(), T::WANTED, entry.value());
            T::take(entry.value()).ok_or_else(|| self.origin.error(entry.span(), wrong()))
        });
        read.collect()
    }

    /// A property, if it is there.
    pub fn maybe<T: Value>(&self, key: &str) -> Read<Option<T>> {
        self.asked.borrow_mut().insert(key.to_owned());
        let named = |entry: &&kdl::KdlEntry| entry.name().is_some_and(|name| name.value() == key);
        let Some(entry) = self.node.entries().iter().find(named) else { return Ok(None) };
        let wrong = || format!("`{key}` takes {}, not {}", T::WANTED, entry.value());
        T::take(entry.value()).map(Some).ok_or_else(|| self.origin.error(entry.span(), wrong()))
    }

    /// A property, or a default.
    pub fn or<T: Value>(&self, key: &str, default: T) -> Read<T> {
        Ok(self.maybe(key)?.unwrap_or(default))
    }

    /// A property that must be there.
    pub fn need<T: Value>(&self, key: &str) -> Read<T> {
        self.maybe(key)?.ok_or_else(|| self.error(format!("`{}` needs `{key}=`", self.name())))
    }

    /// Its children.
    pub fn children(&self) -> Block<'a> {
        let nodes = self.node.children().map(|inner| inner.nodes().iter().collect()).unwrap_or_default();
        Block { origin: self.origin, span: self.node.span(), nodes, asked: RefCell::default() }
    }

    /// An error at this node.
    pub fn error(&self, reason: impl Into<String>) -> Box<SettingError> {
        self.origin.error(self.node.span(), reason)
    }

    /// Complains of the first property or argument that nobody asked for.
    pub fn done(&self) -> Read<()> {
        let asked = self.asked.borrow();
        let key = |entry: &kdl::KdlEntry| entry.name().map_or("", |name| name.value()).to_owned();
        match self.node.entries().iter().find(|entry| !asked.contains(&key(entry))) {
            None => Ok(()),
            Some(entry) => {
                let what = format!("`{}` takes no `{}`", self.name(), entry.to_string().trim());
                Err(self.origin.error(entry.span(), what))
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_misspelt_setting_is_told_with_its_line() {
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
    fn broken_kdl_is_an_error_with_a_place() {
        let error = Document::parse("a.kdl", "x 1\ny {{\n").unwrap_err();
        assert!(error.place.starts_with("a.kdl:2:"), "{}", error.place);
    }
}
