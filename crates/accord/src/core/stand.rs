//! What a front acts on, and until when: looked at where an act is written, not where it was decided.

use std::sync::Arc;

use super::heirs::Heirs;
use super::rules::{Asked, Refusal, Rules};
use super::Micros;

/// By what right a front acts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum By {
    /// A lease of the voters.
    Lease,
    /// None: the meet of all it knows, for a while.
    Meet,
}

/// What a front acts on. It stands alone: with the time by the same clock it tells all that may be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stand {
    /// The version that has begun.
    pub begun: u64,
    /// The latest version it knows to be agreed on.
    pub latest: u64,
    /// Its lease holds until then.
    pub until: Micros,
    /// Without one, it takes new sessions until then.
    pub alone: Micros,
    /// What the version that has begun and all later agreed ones allow.
    pub agreed: Arc<Rules>,
    /// The same with what is proposed and, for all that is known here, not agreed on.
    pub meet: Arc<Rules>,
    /// Who goes on with whose promises, as far as it is agreed on; each heir acts once its version has begun.
    pub heirs: Arc<Heirs>,
}

impl Stand {
    /// What it may act on now, and by what right.
    ///
    /// # Errors
    /// [`Refusal::Lease`]: nothing.
    pub fn acts(&self, now: Micros) -> Result<(By, &Rules), Refusal> {
        match () {
            () if now < self.until => Ok((By::Lease, &self.agreed)),
            () if now < self.alone => Ok((By::Meet, &self.meet)),
            () => Err(Refusal::Lease),
        }
    }

    /// Whether it may act now for what was promised in `life`, itself living `own`, and by which epoch. Never without a
    /// lease: who has none cannot know that nobody has taken over.
    pub fn epoch(&self, now: Micros, own: &str, life: &str) -> Option<u64> {
        if now >= self.until {
            return None;
        }
        match own == life {
            true => (!self.heirs.retired(life)).then_some(0),
            false => self.heirs.epoch(life, own, self.begun),
        }
    }

    /// Whether a new session may begin now.
    ///
    /// # Errors
    /// Why not.
    pub fn allows(&self, now: Micros, asked: &Asked<'_>) -> Result<By, Refusal> {
        let (by, rules) = self.acts(now)?;
        rules.allows(asked).map(|()| by)
    }
}
