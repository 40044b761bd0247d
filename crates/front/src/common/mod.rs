//! What the edges share among themselves and with the engine above them, so that `engine`, `boxes`, `box_list` and
//! `session_api` do not point at each other: messages to the front's own thread, sockets and their threads, HTTP heads
//! and event streams.

pub mod event_stream;
pub mod events;
pub mod http;
pub mod messages;
pub mod socket;
