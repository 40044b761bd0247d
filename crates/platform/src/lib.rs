//! The platform's protocol as a second entry and exit of the session front: viewers, boxes and the list of boxes
//! over its binary messages, one process on a small machine. Every decision on placement, rungs, moves, refusals,
//! further attempts and health is [`salttally`]'s, as everywhere.
//!
//! - [`wire`]: messages, figures and list frames; pure decoders and encoders, bounded.
//! - [`core`]: sessions, links, watch over boxes, list and end of the process as state, with no I/O and no clock.
//! - [`config`]: the platform's JSON.
//! - [`node`]: one thread that reads, writes and waits.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod config;
pub mod core;
pub mod node;
pub mod wire;
