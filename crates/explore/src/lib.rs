//! State exploration of the production code of the front: all orderings of sessions, attempts and connections.
//!
//! The explored state contains the production [`salttally_front::core::Ledger`] of each front, with the production module
//! or a decider that may request anything, in a small simulated world of boxes, box list and viewers. Every event of that
//! world is a move chosen by the search. `docs/design/exploration.md` states the properties, the abstractions and what is
//! not covered.
//!
//! - [`world`]: the simulated world, its moves, and the checks of the messages between fronts, boxes and viewers.
//! - [`canon`]: the canonical form of states.
//! - [`search`]: exhaustive breadth-first search with `stateright`; [`walk`]: random walks for larger worlds, and shrinking.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod bounds;
pub mod canon;
pub mod search;
pub mod walk;
pub mod world;
