//! The session front: players connect over WebSocket, the front controls media boxes over HTTP, and every
//! decision on placement, rungs, moves, refusals and further attempts is made by [`salttally`].
//!
//! [`Front::start`] runs a front in this process; the daemon `salttallyd` adds signal handling. Modules:
//!
//! - [`core`]: the state machine of sessions, attempts, deadlines and connections, with no I/O and no clock.
//!   Read it first.
//! - [`session_api`], [`boxes`], [`box_list`]: network I/O, parsing and encoding.
//! - [`settings`]: KDL settings and their validation. [`record`]: the record of all decisions, as JSON lines.
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
