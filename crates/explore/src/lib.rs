//! Every ordering of sessions, attempts and connections, on the front's own code.
//!
//! The state that is explored is the real [`salttally_front::core::Ledger`] of each front, with the real module or
//! with a decider that may ask for anything, in a small world of boxes, list and viewers whose every move is a choice
//! of the search. `docs/design/exploration.md` states the properties, what is abstracted and what is not covered.
//!
//! - [`world`]: the world, its moves, and the checks of what crosses the sockets.
//! - [`canon`]: when two states are one.
//! - [`search`]: exhaustive, breadth first, with `stateright`; [`walk`]: at random, beyond that size, with shrinking.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod bounds;
pub mod canon;
pub mod search;
pub mod walk;
pub mod world;
