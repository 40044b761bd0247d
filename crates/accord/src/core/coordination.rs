//! What a front acts on, and until when: looked at where an act is written, not where it was decided.

use std::sync::Arc;

use super::rules::{Refusal, Rules, SessionRequest};
use super::successors::Successors;
use super::Micros;

/// By what right a front acts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// A lease of the voters.
    Lease,
    /// None: the meet of all it knows, for a while.
    Meet,
}

/// What a front acts on. It stands alone: with the time by the same clock it tells all that may be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoordinationState {
    /// The version that has begun.
    pub begun: u64,
    /// The latest version it knows to be agreed on.
    pub latest: u64,
    /// Its lease holds until then.
    pub lease_until: Micros,
    /// Without one, it takes new sessions until then.
    pub grace_until: Micros,
    /// What the version that has begun and all later agreed ones allow.
    pub agreed: Arc<Rules>,
    /// The same with what is proposed and, for all that is known here, not agreed on.
    pub meet: Arc<Rules>,
    /// Who goes on with whose promises, as far as it is agreed on; each heir acts once its version has begun.
    pub successors: Arc<Successors>,
}

impl CoordinationState {
    /// What it may act on now, and by what right.
    ///
    /// # Errors
    /// [`Refusal::Lease`]: nothing.
    pub fn active_rules(&self, now: Micros) -> Result<(Basis, &Rules), Refusal> {
        match () {
            () if now < self.lease_until => Ok((Basis::Lease, &self.agreed)),
            () if now < self.grace_until => Ok((Basis::Meet, &self.meet)),
            () => Err(Refusal::Lease),
        }
    }

    /// Whether it may act now for what was promised in `life`, itself living `own`, and by which epoch. Never without a
    /// lease: who has none cannot know that nobody has taken over.
    pub fn acting_epoch(&self, now: Micros, own: &str, incarnation: &str) -> Option<u64> {
        if now >= self.lease_until {
            return None;
        }
        match own == incarnation {
            true => (!self.successors.is_superseded(incarnation)).then_some(0),
            false => self.successors.acting_epoch(incarnation, own, self.begun),
        }
    }

    /// Whether a new session may begin now.
    ///
    /// # Errors
    /// Why not.
    pub fn allows(&self, now: Micros, asked: &SessionRequest<'_>) -> Result<Basis, Refusal> {
        let (by, rules) = self.active_rules(now)?;
        rules.allows(asked).map(|()| by)
    }
}
