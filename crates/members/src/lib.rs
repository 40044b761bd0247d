//! Group membership of session fronts: each front has a numbered view of the fronts that are running.
//!
//! Fronts probe each other over UDP, combine their observations, and remove a front that more than half of them cannot
//! reach. `docs/design/membership.md` describes the alternatives considered, `docs/operate/members.md` the operation.
//!
//! - [`core`]: the protocol as a state machine without I/O; read it first.
//! - [`wire`]: encoding and authentication of datagrams. [`edge`]: the thread with the socket. [`settings`]: KDL.
//! - [`history`]: events as JSON lines. [`ask`]: requests the status of a running front.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod ask;
pub mod core;
pub mod edge;
pub mod history;
pub mod settings;
pub mod wire;
