//! Stand-ins of what a session front meets: media boxes with their links and racks, the box list with its lag,
//! and players with patience. Faults come from a script. All of it on 127.0.0.0/8, in threads of one process,
//! and all that crosses a socket on this side is written to one [`log::Log`] that the judge reads.
//!
//! - [`script`]: a day as KDL: fleet, terms, load and faults. [`deal`]: the draws that make a day of it.
//! - [`fleet`]: what boxes hold and deliver, with no socket.
//! - [`boxes`], [`list`], [`players`]: the sockets.
//! - [`siege`]: peers that mean harm, beside viewers that do not.
//! - [`platform`]: boxes, coordinator and viewers of the platform, over its binary messages.
//! - [`day`]: plays a day against fronts that somebody else starts.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod boxes;
pub mod day;
pub mod deal;
pub mod fleet;
pub mod http;
pub mod list;
pub mod log;
pub mod platform;
pub mod players;
pub mod script;
pub mod siege;
