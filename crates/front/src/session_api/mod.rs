//! The session API: JSON-RPC 2.0 over WebSocket (RFC 6455). Described in `docs/session-api.md` and, for
//! machines, in `docs/session-api.openrpc.json`.
//!
//! - [`core`]: state and decisions, without I/O.
//! - [`rpc`]: parses and writes messages, without I/O.
//! - [`outbox`]: writes to players without blocking.
//! - [`connections`]: admission control together with the sockets.
//! - [`server`]: accepts connections; each has one thread that reads.

pub mod connections;
pub mod core;
pub mod outbox;
pub mod rpc;
pub mod server;
