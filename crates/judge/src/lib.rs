//! The six rules, decided from what crossed the sockets at the players', the boxes' and the list's side.
//!
//! The judge shares no code with the front or the module: it reads a [`record`] written by the stand-ins and says
//! of each rule whether it was kept, and if not, by which lines. [`worth`] tells what the day was worth.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod accord;
pub mod copies;
pub mod members;
pub mod record;
mod rules;
pub mod worth;

pub use rules::{judge, Finding, Rule, Verdict};
