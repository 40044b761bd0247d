//! What is decided and remembered between a player's socket and the ledger, with no I/O: [`calls`], which of a
//! player's calls wait for an answer; [`backlog`], what waits to be written and when a player is cut off;
//! [`gate`], who is let in and how much one player may ask.

pub mod backlog;
pub mod calls;
pub mod gate;
#[cfg(test)]
mod tests;
