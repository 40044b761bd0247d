//! What is decided and remembered between a player's socket and the ledger, with no I/O: [`calls`], which of a
//! player's calls wait for an answer; [`backlog`], what waits to be written and when a player is cut off;
//! [`door`], who is let in and who goes to make room; [`steps`] and [`watch`], how slow a peer may be and when it
//! counts as vanished; [`gate`], how often one player may ask; [`share`], what its calls may cost the front;
//! [`overflow`], what waits until there is time for it;
//! [`accepting`], how to go on when there are no more files or threads.

pub mod accept_backoff;
pub mod admission;
pub mod backlog;
pub mod calls;
pub mod deferred;
pub mod pace;
pub mod rate_limit;
pub mod thread_share;
pub mod watchdog;

#[cfg(test)]
mod tests;
