//! Replication of durable session records to other fronts, and takeover of the sessions of a lost front.
//!
//! [`core`] makes the decisions. `docs/design/copies.md` has the reasons for the design,
//! `docs/operate/copies.md` describes operation.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod core;
pub mod edge;
pub mod history_log;
pub mod settings;
pub mod store;
