//! Versions of rules that session fronts agree on: one history, and a lease under which each front acts on it.
//!
//! `docs/design/accord.md` tells the ways weighed and proves the stated time, `docs/operate/rules.md` how to run it.
//!
//! - [`core`]: all that is decided and kept, with no I/O; read it first.
//! - [`lines`]: what happened, as JSON lines.
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
