//! Simulated peers of a session front: media boxes with their links and racks, the box list with its lag, and players
//! with limited patience. A script injects faults. Everything runs on 127.0.0.0/8 in threads of one process, and
//! every event at a socket on this side is written to one [`log::Log`], which the judge reads.
//!
//! - [`script`]: a day as KDL: fleet, terms, load and faults. [`workload`]: the seeded draws that turn it into
//!   events.
//! - [`fleet`]: the state and capacity of boxes, without sockets.
//! - [`boxes`], [`list`], [`players`]: the servers and clients on sockets.
//! - [`attack`]: abusive clients, and what regular viewers experience meanwhile.
//! - [`platform`]: boxes, coordinator and viewers of the platform, over its binary messages.
//! - [`day`]: runs a day against fronts that the caller starts.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod attack;
pub mod boxes;
pub mod day;
pub mod fleet;
pub mod http;
pub mod list;
pub mod log;
pub mod platform;
pub mod players;
pub mod script;
pub mod workload;
