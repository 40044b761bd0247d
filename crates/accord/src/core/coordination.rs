//! What a front may act on, and until when. It is checked when a command is written, not when it was decided.

use std::sync::Arc;

use super::rules::{Refusal, Rules, SessionRequest};
use super::successors::Successors;
use super::Micros;

/// On what basis a front acts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// A lease from the voters.
    Lease,
    /// No lease: the meet of all known rules, during the grace period.
    Meet,
}

/// What a front acts on. Together with the time of the same clock, it determines what the front may do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoordinationState {
    /// The version that has begun.
    pub begun: u64,
    /// The latest version known to be agreed on.
    pub latest: u64,
    /// End of the lease.
    pub lease_until: Micros,
    /// End of the grace period, during which new sessions are accepted without a lease.
    pub grace_until: Micros,
    /// The meet of the version that has begun and of all later agreed versions.
    pub agreed: Arc<Rules>,
    /// The meet of the agreed rules and of all proposals not known to be decided.
    pub meet: Arc<Rules>,
    /// The agreed successors; each acts once its version has begun.
    pub successors: Arc<Successors>,
}

impl CoordinationState {
    /// The rules that apply now, and on what basis.
    ///
    /// # Errors
    /// [`Refusal::Lease`]: neither a lease nor a grace period holds.
    pub fn active_rules(&self, now: Micros) -> Result<(Basis, &Rules), Refusal> {
        match () {
            () if now < self.lease_until => Ok((Basis::Lease, &self.agreed)),
            () if now < self.grace_until => Ok((Basis::Meet, &self.meet)),
            () => Err(Refusal::Lease),
        }
    }

    /// The epoch under which the front of incarnation `own` may act now for sessions of `incarnation`; none
    /// if it may not. Never without a lease: a front without one cannot know whether it was taken over.
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
    /// The reason why not.
    pub fn allows(&self, now: Micros, asked: &SessionRequest<'_>) -> Result<Basis, Refusal> {
        let (by, rules) = self.active_rules(now)?;
        rules.allows(asked).map(|()| by)
    }
}
