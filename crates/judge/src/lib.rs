//! Checks the six rules from a record of the traffic at the players', the boxes' and the list's sockets.
//!
//! The judge shares no code with the front or the decision module: it reads a [`record`] written by the stand-ins and
//! reports for each rule whether it was kept, and which lines break it. [`worth`] measures the worth delivered.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod accord;
pub mod copies;
pub mod members;
pub mod record;
mod rules;
pub mod worth;

pub use rules::{judge, Finding, Rule, Verdict};
