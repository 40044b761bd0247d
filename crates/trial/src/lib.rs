//! Trials: fleets of fronts under faults between them.
//!
//! One description in KDL ([`describe`]) becomes a plan of acts ([`plan`]), which is played in one of two clocks: by
//! processes of `salttallyd` on loopback with a relay between them ([`processes`]), or by the same cores on one event
//! queue in virtual time ([`virt`]). Both give histories, which `salttally_judge::members` decides; [`picture`]
//! draws who believed whom alive against the truth. `docs/design/trials.md` tells why it is built so.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod describe;
pub mod hunt;
pub mod net;
pub mod picture;
pub mod plain;
pub mod plan;
pub mod processes;
pub mod queue;
pub mod relay;
pub mod skew;
pub mod versions;
pub mod virt;
pub mod whole;

/// Microseconds.
pub type Micros = u64;
