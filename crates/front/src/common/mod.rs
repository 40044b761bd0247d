//! Code shared by the I/O modules and the engine, so that `engine`, `boxes`, `box_list` and `session_api` do
//! not depend on each other: messages to the engine thread, sockets and their threads, HTTP responses and
//! event streams.

pub mod event_stream;
pub mod events;
pub mod http;
pub mod messages;
pub mod socket;
