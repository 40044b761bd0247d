//! Agreement among session fronts on rule versions: a replicated history, and a lease under which each front
//! applies it.
//!
//! `docs/design/accord.md` compares the alternatives and proves the bound on contradicting rules;
//! `docs/operate/rules.md` describes operation.
//!
//! - [`core`]: all decisions and state, without I/O; read it first.
//! - [`history_log`]: events as JSON lines.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod core;
pub mod edge;
pub mod history_log;
pub mod query;
pub mod rules_kdl;
pub mod settings;
pub mod store;
pub mod wire;
