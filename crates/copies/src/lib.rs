//! Copies of what a session front has promised, at further fronts, and who goes on with it when the front is lost.
//!
//! [`core`] decides. `docs/design/copies.md` tells why it is built so, `docs/operate/copies.md` how it is run.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod core;
pub mod edge;
pub mod history_log;
pub mod settings;
pub mod store;
