//! The platform's protocol as a second entry and exit of the session front: clients, servers and the list of servers
//! over its binary messages, one process on a small machine. Every decision on placement, rungs, moves, refusals,
//! further attempts and health is [`salttally`]'s, as everywhere.
//!
//! - [`wire`]: messages, figures and list frames; pure decoders and encoders, bounded.
//! - [`core`]: sessions, connections, health checks, list watch and shutdown as state, with no I/O and no clock.
//! - [`config`]: the platform's JSON.
//! - [`node`]: one thread that reads, writes and waits.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod config;
pub mod core;
pub mod node;
pub mod wire;
