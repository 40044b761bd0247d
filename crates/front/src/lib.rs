//! The session front: players reach it over WebSocket, it reaches media boxes over HTTP, and every decision on
//! placement, rungs, moves, refusals and further attempts is [`salttally`]'s.
//!
//! [`Front::start`] runs one in this process; the daemon `salttallyd` is that and signals. The parts:
//!
//! - [`core`]: sessions, attempts, deadlines and connections as state, with no I/O and no clock. Read it first.
//! - [`session_api`], [`boxes`], [`box_list`]: the edges, which parse, write and wait.
//! - [`settings`]: KDL, checked against the rules. [`record`]: every decision, as JSON lines.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod box_list;
pub mod boxes;
pub mod clock;
mod common;
pub mod core;
mod engine;
mod front;
pub mod record;
pub mod session_api;
pub mod settings;

pub use common::messages::{CallerMessage, FrontStatus};
pub use front::{Front, OpenError, Session, SessionRequest, StartError};
