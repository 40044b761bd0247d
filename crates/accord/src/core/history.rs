//! The replicated history of versions: the steps that the voters decided, and the state that follows from
//! them. Fronts that applied the same steps have equal histories, whichever front sent them.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::rules::Rules;
use super::successors::{SuccessionChange, Successors};
use super::Name;

/// Begun versions kept, counting back from the latest; versions that have not begun are always kept.
pub const VERSIONS_KEPT: usize = 64;
/// Outcomes of proposals kept.
const OUTCOMES_KEPT: usize = 64;
/// Most versions that may wait to begin at once.
pub const MAX_PENDING_VERSIONS: u64 = 16;

/// A proposal of rules.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Proposal {
    /// Drawn by the proposing front; the same each time the proposal is sent again.
    pub id: u64,
    /// The version that the proposal was made from.
    pub base: u64,
    /// The author, as stated by the operator.
    pub by: String,
    /// When it was proposed, by the clock of the front that was asked, us since 1970.
    pub at: u64,
    /// The proposed rules.
    pub rules: Arc<Rules>,
}

/// An entry of the consensus log.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub enum Entry {
    /// The next version, unless another proposal from the same base came first.
    Propose(Proposal),
    /// This version begins: no front can act any more on what came before it.
    Begin(u64),
    /// Changes of successors: a version of its own, if any of the changes still applies.
    #[serde(rename = "Succeed")]
    ChangeSuccessors(Vec<SuccessionChange>),
    /// Other voters from here on, or the same ones on a new log. Danger: the crate (0.2.4) has an entry of
    /// its own for this, and counts it twice after a loss; found by the schedule search.
    Voters(Voters),
}

/// A voter: its name, and the disk it votes with.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Seat {
    /// Name of the front.
    pub name: Name,
    /// Drawn when the disk was first used. Danger: a voter that comes back with an empty disk has forgotten
    /// its votes.
    pub disk: u64,
}

/// The voters of one epoch. Numbers of voters are never reused.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct Voters {
    /// Counts the changes of voters, from 1; 0 is before the first.
    pub epoch: u32,
    /// Voters by number.
    pub seats: BTreeMap<u64, Seat>,
}

impl Voters {
    /// Size of a majority.
    pub fn majority(&self) -> usize {
        self.seats.len() / 2 + 1
    }

    /// Number of a voter by its name.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.seats.iter().find(|(_, seat)| &*seat.name == name).map(|(number, _)| *number)
    }

    /// Number of a voter by its name and disk.
    pub fn number_of(&self, seat: &Seat) -> Option<u64> {
        self.seats.iter().find(|(_, old)| *old == seat).map(|(number, _)| *number)
    }

    /// The next voters, with these seats: a voter that stays keeps its number; one with a new name or disk
    /// gets an unused number.
    pub fn next(&self, wanted: &[Seat]) -> Voters {
        let mut fresh = self.seats.keys().max().copied().unwrap_or(0);
        let seats = wanted.iter().map(|seat| {
            let number = self.number_of(seat).unwrap_or_else(|| {
                fresh += 1;
                fresh
            });
            (number, seat.clone())
        });
        Voters { epoch: self.epoch + 1, seats: seats.collect() }
    }
}

/// A version.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Version {
    /// Who proposed it.
    pub by: String,
    /// When it was proposed, us since 1970.
    pub at: u64,
    /// Its rules.
    pub rules: Arc<Rules>,
    /// It only changes successors; its rules are those of the version before.
    #[serde(rename = "only_heirs")]
    pub only_successors: bool,
}

/// The outcome of a proposal. The variant names are part of the history log.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub enum ProposalOutcome {
    /// It became this version.
    Version(u64),
    /// It was made from a version that was no longer the latest; this one was.
    Late(u64),
    /// Too many versions are already waiting to begin.
    Crowded,
}

/// The first bytes of a BLAKE3 hash over all steps so far.
pub type Digest = [u8; 16];

/// The history known to a front.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct History {
    /// Number of steps applied.
    pub position: u64,
    /// Digest of those steps.
    pub digest: Digest,
    /// The latest version that has begun; 0 is the front's own settings file.
    pub begun: u64,
    /// The latest version.
    pub latest: u64,
    /// The versions that are kept.
    pub versions: BTreeMap<u64, Version>,
    /// Outcomes of the latest proposals, by proposal id.
    pub outcomes: VecDeque<(u64, ProposalOutcome)>,
    /// The current voters.
    pub voters: Voters,
    /// Number of steps applied when those voters took over.
    pub voters_at: u64,
    /// Successors of lost fronts.
    #[serde(rename = "heirs")]
    pub successors: Arc<Successors>,
    /// Digests by position, for the latest steps: two histories with different digests at a shared position
    /// have diverged.
    pub trail: BTreeMap<u64, Digest>,
}

impl History {
    /// Applies one step.
    pub fn apply(&mut self, step: &Entry) {
        match step {
            Entry::Propose(proposal) => self.propose(proposal),
            Entry::Begin(version) => {
                if *version <= self.latest {
                    self.begun = self.begun.max(*version);
                }
            }
            Entry::ChangeSuccessors(changes) => self.succeed(changes),
            Entry::Voters(voters) => {
                if voters.epoch == self.voters.epoch + 1 {
                    self.voters = voters.clone();
                    self.voters_at = self.position + 1;
                }
            }
        }
        self.position += 1;
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.digest);
        // An entry that cannot be encoded was never sent, so it cannot have been decided.
        hasher.update(&postcard::to_allocvec(step).unwrap_or_default());
        self.digest.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        self.trail.insert(self.position, self.digest);
        while self.trail.len() > VERSIONS_KEPT {
            self.trail.pop_first();
        }
        while self.versions.len() > VERSIONS_KEPT
            && self.versions.first_key_value().is_some_and(|(n, _)| *n < self.begun)
        {
            self.versions.pop_first();
        }
    }

    fn succeed(&mut self, changes: &[SuccessionChange]) {
        // The requesting front repeats changes that do not apply now.
        let crowded = self.latest - self.begun >= MAX_PENDING_VERSIONS;
        if crowded || !changes.iter().any(|change| self.successors.would_change(change)) {
            return;
        }
        let rules = self.rules(self.latest).unwrap_or_default();
        self.latest += 1;
        let successors = Arc::make_mut(&mut self.successors);
        for change in changes {
            successors.apply(change, self.latest);
        }
        self.versions
            .insert(self.latest, Version { by: "succession".into(), at: 0, rules, only_successors: true });
    }

    /// Whether a proposal made from this version is made from the rules in force: versions that only change
    /// successors change no rule.
    fn fits(&self, base: u64) -> bool {
        let kept = base <= self.latest && (base + 1..=self.latest).all(|at| self.versions.contains_key(&at));
        kept && self.versions.range(base + 1..).all(|(_, version)| version.only_successors)
    }

    fn propose(&mut self, proposal: &Proposal) {
        // Danger: a proposal that is sent again because its answer was lost would become two versions, or
        // would be refused as outdated by itself.
        if self.outcome(proposal.id).is_some() {
            return;
        }
        let became = if !self.fits(proposal.base) {
            ProposalOutcome::Late(self.latest)
        } else if self.latest - self.begun >= MAX_PENDING_VERSIONS {
            ProposalOutcome::Crowded
        } else {
            self.latest += 1;
            let Proposal { by, at, rules, .. } = proposal.clone();
            self.versions.insert(self.latest, Version { by, at, rules, only_successors: false });
            ProposalOutcome::Version(self.latest)
        };
        self.outcomes.push_back((proposal.id, became));
        if self.outcomes.len() > OUTCOMES_KEPT {
            self.outcomes.pop_front();
        }
    }

    /// The outcome of a proposal, if it was decided recently.
    pub fn outcome(&self, id: u64) -> Option<ProposalOutcome> {
        self.outcomes.iter().find(|(of, _)| *of == id).map(|(_, became)| *became)
    }

    /// The rules of a version; empty rules for 0.
    pub fn rules(&self, version: u64) -> Option<Arc<Rules>> {
        match version {
            0 => Some(Arc::default()),
            _ => self.versions.get(&version).map(|version| Arc::clone(&version.rules)),
        }
    }

    /// The meet of the version that has begun and of all later ones.
    pub fn meet(&self) -> Rules {
        let mut meet = self.rules(self.begun).unwrap_or_default().as_ref().clone();
        for (_, version) in self.versions.range(self.begun + 1..) {
            meet = meet.meet(&version.rules);
        }
        meet
    }

    /// Whether the two histories are known to have diverged; such a history must not replace the other.
    pub fn diverged_from(&self, other: &History) -> bool {
        let differ =
            |(at, digest): (&u64, &Digest)| other.trail.get(at).is_some_and(|theirs| theirs != digest);
        self.trail.iter().any(differ)
    }
}

/// The latest steps, for fronts that are only a little behind.
#[derive(Clone, Debug, Default)]
pub struct RecentSteps {
    /// Position and digest before the first kept step.
    before: (u64, Digest),
    steps: VecDeque<Entry>,
    digests: VecDeque<Digest>,
}

/// Number of steps kept.
const STEPS_KEPT: usize = 128;

impl RecentSteps {
    /// Starts at the end of this history.
    pub fn new(history: &History) -> RecentSteps {
        RecentSteps { before: (history.position, history.digest), ..RecentSteps::default() }
    }

    /// Adds a step that the history has already applied.
    pub fn push(&mut self, step: Entry, history: &History) {
        self.steps.push_back(step);
        self.digests.push_back(history.digest);
        if self.steps.len() > STEPS_KEPT {
            self.steps.pop_front();
            let digest = self.digests.pop_front().unwrap_or_default();
            self.before = (self.before.0 + 1, digest);
        }
    }

    /// The steps after a position with this digest; none if they are no longer kept or the digest differs.
    pub fn after(&self, position: u64, digest: &Digest) -> Option<Vec<Entry>> {
        let skip = position.checked_sub(self.before.0)? as usize;
        let here = match skip {
            0 => &self.before.1,
            _ => self.digests.get(skip - 1)?,
        };
        (here == digest).then(|| self.steps.iter().skip(skip).cloned().collect())
    }
}
