//! The platform's binary protocol as a second entry and exit of the session front: clients, media servers and
//! the server list, in one process on a small machine. All decisions on placement, rungs, moves, refusals,
//! further attempts and health are made by [`salttally`], as for every other entry.
//!
//! - [`wire`]: messages, their parameters and list frames; pure decoders and encoders with bounded memory.
//! - [`core`]: sessions, connections, health checks, list watch and shutdown as a state machine without I/O
//!   or clock.
//! - [`config`]: the platform's JSON configuration.
//! - [`node`]: the event loop, one thread that does all I/O.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod config;
pub mod core;
pub mod node;
pub mod wire;
