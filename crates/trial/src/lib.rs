//! Fault-injection trials of fleets of fronts.
//!
//! A KDL description ([`describe`]) is expanded into a plan of timed actions ([`plan`]). The plan is executed either in
//! real time, by `salttallyd` processes on loopback with a relay between them ([`processes`]), or in virtual time, by the
//! same protocol cores on one event queue ([`membership`], [`consensus`], [`full_stack`]). Both produce histories that
//! `salttally_judge` checks; [`timeline`] draws the views of the fronts against their real state. See
//! `docs/design/trials.md` for the design.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod clock_skew;
pub mod consensus;
pub mod describe;
pub mod fault_search;
pub mod full_stack;
pub mod membership;
pub mod net;
pub mod plan;
pub mod processes;
pub mod queue;
pub mod relay;
pub mod swim_baseline;
pub mod timeline;

/// Microseconds.
pub type Micros = u64;
