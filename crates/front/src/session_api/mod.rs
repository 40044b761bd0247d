//! The session API: JSON-RPC 2.0 over WebSocket (RFC 6455). Described in `docs/session-api.md` and, for
//! machines, in `docs/session-api.openrpc.json`.
//!
//! [`core`] decides and remembers; [`rpc`] reads and writes messages and knows no socket; [`outbox`] writes to
//! players without ever waiting for one; [`entrance`] is the door with the sockets behind it; [`server`] accepts
//! connections, each with one thread that reads.

pub mod connections;
pub mod core;
pub mod outbox;
pub mod rpc;
pub mod server;
