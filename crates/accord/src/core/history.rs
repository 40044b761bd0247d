//! The one history of versions: what the voters agree on, step by step, and what follows from it. Every front that has
//! taken the same steps has the same history, whoever told it.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::rules::Rules;
use super::successors::{SuccessionChange, Successors};
use super::Name;

/// Versions kept whole, from the latest back; and those that have not begun, however many.
pub const VERSIONS_KEPT: usize = 64;
/// Outcomes of proposals kept.
const OUTCOMES_KEPT: usize = 64;
/// Versions that may wait to begin at once.
pub const MAX_PENDING_VERSIONS: u64 = 16;

/// What somebody proposes.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Proposal {
    /// Drawn by whoever proposes it: the same each time it is sent again.
    pub id: u64,
    /// The version that it was made from.
    pub base: u64,
    /// Who proposes it, as that person says.
    pub by: String,
    /// When, by the clock of the front that was asked, us since 1970.
    pub at: u64,
    /// What it says.
    pub rules: Arc<Rules>,
}

/// What voters agree on.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub enum Entry {
    /// The next version, if nobody was first.
    Propose(Proposal),
    /// Nobody can act any more on what came before this version.
    Begin(u64),
    /// Heirs of fronts that are no more there: a version of its own, if any of it still holds.
    #[serde(rename = "Succeed")]
    ChangeSuccessors(Vec<SuccessionChange>),
    /// Others vote from here on, or the same ones on a new log. Danger: the crate (0.2.4) has a sign of its own for this,
    /// and counts it twice after a loss; found by the hunt.
    Voters(Voters),
}

/// A voter: its name, and the disk it votes with.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Seat {
    /// Its name.
    pub name: Name,
    /// Drawn when its disk was first used. Danger: a voter that comes back with an empty disk has forgotten its votes.
    pub disk: u64,
}

/// The voters of a time. Numbers are never given twice.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct Voters {
    /// Counts each change of the voters, from 1; 0 is before the first.
    pub epoch: u32,
    /// Voters by number.
    pub seats: BTreeMap<u64, Seat>,
}

impl Voters {
    /// How many make a majority.
    pub fn majority(&self) -> usize {
        self.seats.len() / 2 + 1
    }

    /// Number of a voter by its name.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.seats.iter().find(|(_, seat)| &*seat.name == name).map(|(number, _)| *number)
    }

    /// Number of a voter by its name and its disk.
    pub fn number_of(&self, seat: &Seat) -> Option<u64> {
        self.seats.iter().find(|(_, old)| *old == seat).map(|(number, _)| *number)
    }

    /// The next voters, where these seats are to vote: whoever stays keeps its number, whoever is new, by name or by
    /// disk, gets one that nobody had.
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
    /// When, us since 1970.
    pub at: u64,
    /// What it says.
    pub rules: Arc<Rules>,
    /// It only names heirs; its rules are those of the version before.
    #[serde(rename = "only_heirs")]
    pub only_successors: bool,
}

/// What became of a proposal.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub enum ProposalOutcome {
    /// It is this version.
    Version(u64),
    /// It was made from a version that was no longer the latest; this one was.
    Late(u64),
    /// Too many versions wait to begin already.
    Crowded,
}

/// First bytes of a BLAKE3 hash over all steps so far.
pub type Digest = [u8; 16];

/// The history as a front has it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct History {
    /// Steps taken.
    pub position: u64,
    /// Of these steps.
    pub digest: Digest,
    /// The latest version that has begun; 0 is the front's own file.
    pub begun: u64,
    /// The latest version.
    pub latest: u64,
    /// Those that are kept.
    pub versions: BTreeMap<u64, Version>,
    /// Outcomes of the latest proposals, by their ids.
    pub outcomes: VecDeque<(u64, ProposalOutcome)>,
    /// Who votes.
    pub voters: Voters,
    /// Steps taken when they began to.
    pub voters_at: u64,
    /// Who goes on with whose promises.
    #[serde(rename = "heirs")]
    pub successors: Arc<Successors>,
    /// Digests after the steps that made the kept versions: two histories that share a place and differ there have
    /// parted.
    pub trail: BTreeMap<u64, Digest>,
}

impl History {
    /// Takes one step.
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
        // What cannot be encoded was never sent, so nobody can have agreed on it.
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
        // What does not fit now comes again from whoever wants it.
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

    /// Whether a proposal made from this version is made from what holds: a version that only names heirs changes no rule.
    fn fits(&self, base: u64) -> bool {
        let kept = base <= self.latest && (base + 1..=self.latest).all(|at| self.versions.contains_key(&at));
        kept && self.versions.range(base + 1..).all(|(_, version)| version.only_successors)
    }

    fn propose(&mut self, proposal: &Proposal) {
        // Danger: a proposal sent again because its answer was lost becomes two versions, or is told that it lost
        // against itself.
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

    /// What became of a proposal, if it was agreed on lately.
    pub fn outcome(&self, id: u64) -> Option<ProposalOutcome> {
        self.outcomes.iter().find(|(of, _)| *of == id).map(|(_, became)| *became)
    }

    /// What a version says; the empty rules for 0.
    pub fn rules(&self, version: u64) -> Option<Arc<Rules>> {
        match version {
            0 => Some(Arc::default()),
            _ => self.versions.get(&version).map(|version| Arc::clone(&version.rules)),
        }
    }

    /// What the version that has begun and all later ones allow together.
    pub fn meet(&self) -> Rules {
        let mut meet = self.rules(self.begun).unwrap_or_default().as_ref().clone();
        for (_, version) in self.versions.range(self.begun + 1..) {
            meet = meet.meet(&version.rules);
        }
        meet
    }

    /// Whether the two have parted, as far as can be seen: no front may take one for the other.
    pub fn diverged_from(&self, other: &History) -> bool {
        let differ =
            |(at, digest): (&u64, &Digest)| other.trail.get(at).is_some_and(|theirs| theirs != digest);
        self.trail.iter().any(differ)
    }
}

/// The latest steps, for fronts that are only a little behind.
#[derive(Clone, Debug, Default)]
pub struct RecentSteps {
    /// Place and digest before the first one.
    before: (u64, Digest),
    steps: VecDeque<Entry>,
    digests: VecDeque<Digest>,
}

/// Steps kept to be told on.
const STEPS_KEPT: usize = 128;

impl RecentSteps {
    /// From here on.
    pub fn new(history: &History) -> RecentSteps {
        RecentSteps { before: (history.position, history.digest), ..RecentSteps::default() }
    }

    /// One more; the history has taken it.
    pub fn push(&mut self, step: Entry, history: &History) {
        self.steps.push_back(step);
        self.digests.push_back(history.digest);
        if self.steps.len() > STEPS_KEPT {
            self.steps.pop_front();
            let digest = self.digests.pop_front().unwrap_or_default();
            self.before = (self.before.0 + 1, digest);
        }
    }

    /// The steps after a place that was reached with this digest; nothing where they are not kept or the digest is
    /// another.
    pub fn after(&self, position: u64, digest: &Digest) -> Option<Vec<Entry>> {
        let skip = position.checked_sub(self.before.0)? as usize;
        let here = match skip {
            0 => &self.before.1,
            _ => self.digests.get(skip - 1)?,
        };
        (here == digest).then(|| self.steps.iter().skip(skip).cloned().collect())
    }
}
