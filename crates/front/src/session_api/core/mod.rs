//! The state between a player's socket and the engine, without I/O:
//!
//! - [`calls`]: the calls of a player that wait for an answer.
//! - [`backlog`]: the bytes that wait to be written, and when a player that does not read is disconnected.
//! - [`admission`]: which connections are accepted, and which are dropped to make room.
//! - [`pace`] and [`watchdog`]: how slow a peer may be, and when it counts as unresponsive.
//! - [`rate_limit`]: how many calls a player may make.
//! - [`thread_share`]: how much time of the engine thread its calls may take.
//! - [`deferred`]: messages that wait until the engine thread is idle.
//! - [`accept_backoff`]: how to go on accepting when file descriptors, memory or threads have run out.

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
