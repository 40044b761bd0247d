//! Short, dense trials of front nodes: processes on loopback, peers that fail according to a seeded plan, and a judge
//! of their network traffic.
//!
//! The seed determines the whole trial ([`plan`]). [`trial::play`] starts the processes and drives their media
//! servers, discovery and clients in one thread; [`record`] holds the observed events, and [`judge`] checks the rules
//! against them. Nothing here depends on the code of the front node: [`wire`] is written from the protocol
//! documentation.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod clients;
mod cold_servers;
pub mod crossings;
mod departures;
mod discovery;
pub mod end_paths;
pub mod evidence;
mod fleet_plan;
pub mod hand_over_floods;
pub mod judge;
mod nodes;
pub mod plan;
pub mod record;
pub mod replacements;
mod rig;
mod servers;
pub mod trial;
pub mod wire;
