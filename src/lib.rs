//! Session control for a fleet of media servers by random early migration.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod brain;
pub mod interface;
mod state;
