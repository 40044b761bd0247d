//! Judges replication of session records and takeovers, from the histories of viewers, boxes and fronts, and the faults
//! of the trial.
//!
//! Lines are JSON objects with `at` in microseconds. Viewers write `plays` (the session was answered as playing, with
//! `front`), `found`, `closed`, `moved` and `lost` (with `why`). Boxes write `set_up` (with `attempt`, `paid`, `took`),
//! `begins`, `ends`, and at the end `holds` (the sessions that still have places). Fronts write `acts` (a request sent
//! for a session, with `epoch` and `what`), `answers` (an answer that the session plays), `adopts` (takeover of an
//! incarnation, with `epoch`), `over` (an incarnation has no sessions left) and `copies_at` (the replicas). The trial
//! writes `disk_lost` and `calm`. A session's id begins with the incarnation of the front that opened it.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;

/// Properties that must hold in every trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Property {
    /// No session that was answered as playing is lost while its owner or a replica still has its disk.
    SessionsSurvive,
    /// No paid set-up is sent twice, by whichever front.
    PaidOnce,
    /// Each session has one owner at a time, and the epochs of its requests increase.
    OneOwner,
    /// Each place at a box is free within the stated time after the end of its session.
    PlacesFreed,
}

impl Property {
    /// All properties.
    pub const ALL: [Property; 4] =
        [Property::SessionsSurvive, Property::PaidOnce, Property::OneOwner, Property::PlacesFreed];

    /// A short description, also the key in [`Verdict::decided`].
    pub fn description(self) -> &'static str {
        match self {
            Property::SessionsSurvive => "no session told to play is lost with a copy left",
            Property::PaidOnce => "no paid set-up is sent twice",
            Property::OneOwner => "one owner at a time, by growing epochs",
            Property::PlacesFreed => "places are free in time after an end",
        }
    }
}

/// Result of judging a trial.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    /// Violations: the property and a description.
    pub broken: Vec<(Property, String)>,
    /// Number of checks of each property, by description.
    pub decided: BTreeMap<&'static str, u64>,
    /// Times that viewers needed to find their sessions again, in microseconds.
    pub found: Vec<u64>,
    /// Number of sessions answered as playing, and of incarnations taken over.
    pub counts: [u64; 2],
}

fn text<'a>(line: &'a Value, key: &str) -> Option<&'a str> {
    line[key].as_str()
}

/// The incarnation of the front that opened a session.
fn incarnation(session: &str) -> &str {
    session.rsplit_once('-').map_or(session, |(incarnation, _)| incarnation)
}

/// The name of the front that opened a session.
fn owner(session: &str) -> &str {
    session.split('-').next().unwrap_or(session)
}

#[derive(Default)]
struct TrialHistory<'a> {
    /// When each session was answered as playing.
    played_at: BTreeMap<&'a str, u64>,
    /// When each session ended for its viewer.
    ended_at: BTreeMap<&'a str, u64>,
    /// For each front: the groups that held replicas of its session records, and since when.
    replica_groups: BTreeMap<&'a str, Vec<(u64, BTreeSet<&'a str>)>>,
    /// Fronts that lost their disks, and when.
    lost_disks: Vec<(u64, &'a str)>,
    /// Takeovers of each incarnation: time, epoch and successor.
    takeovers: BTreeMap<&'a str, Vec<(u64, u64, &'a str)>>,
    /// Incarnations that have no sessions left, and since when.
    finished_at: BTreeMap<&'a str, u64>,
    /// Times of the paid set-ups of each session.
    paid_set_ups: BTreeMap<&'a str, Vec<u64>>,
    verdict: Verdict,
}

/// Judges the lines of all histories and of the trial, in any order but for the first line, which has `freed_us`.
pub fn judge(lines: &[Value]) -> Verdict {
    let mut sorted: Vec<&Value> = lines.iter().collect();
    sorted.sort_by_key(|line| line["at"].as_u64());
    let mut trial = TrialHistory::default();
    let freed_within = lines.first().and_then(|line| line["freed_us"].as_u64()).unwrap_or(u64::MAX);
    for line in &sorted {
        trial.read_line(line);
    }
    for line in &sorted {
        trial.check_line(line, freed_within);
    }
    trial.verdict
}

impl<'a> TrialHistory<'a> {
    fn count_decided(&mut self, property: Property) {
        *self.verdict.decided.entry(property.description()).or_default() += 1;
    }

    fn add_broken(&mut self, property: Property, text: String) {
        self.verdict.broken.push((property, text));
    }

    /// Records the state that a line describes.
    fn read_line(&mut self, line: &'a Value) {
        let at = line["at"].as_u64().unwrap_or(0);
        let front = text(line, "front").unwrap_or("");
        if let Some(session) = text(line, "plays") {
            self.played_at.insert(session, at);
            self.verdict.counts[0] += 1;
        }
        for key in ["closed", "moved", "lost"] {
            if let Some(session) = text(line, key) {
                self.ended_at.insert(session, at);
            }
        }
        if let Some(names) = line["copies_at"].as_array() {
            let names = names.iter().filter_map(Value::as_str).collect();
            self.replica_groups.entry(front).or_default().push((at, names));
        }
        if let Some(incarnation) = text(line, "over") {
            self.finished_at.entry(incarnation).or_insert(at);
        }
        if line["truth"] == "disk_lost" {
            self.lost_disks.push((at, front));
        }
        if let (Some(incarnation), Some(epoch)) = (text(line, "adopts"), line["epoch"].as_u64()) {
            self.takeovers.entry(incarnation).or_default().push((at, epoch, front));
            self.verdict.counts[1] += 1;
        }
    }

    /// Whether the owner of the session and all holders of replicas since it was answered have lost their disks since.
    fn excused(&self, session: &str, at: u64) -> bool {
        let Some(answered_at) = self.played_at.get(session) else { return true };
        let mut holders: BTreeSet<&str> = [owner(session)].into();
        // Successors and the holders of their replicas count as well.
        let takeovers = self.takeovers.get(incarnation(session)).into_iter().flatten();
        let mut owners: BTreeSet<&str> = takeovers.map(|(_, _, front)| *front).collect();
        owners.insert(owner(session));
        for front in &owners {
            let groups = self.replica_groups.get(front).map_or(&[][..], Vec::as_slice);
            for (place, (since, names)) in groups.iter().enumerate() {
                let until = groups.get(place + 1).map_or(u64::MAX, |(next, _)| *next);
                if *since <= at && until >= *answered_at {
                    holders.extend(names);
                }
            }
        }
        holders.extend(owners);
        let has_lost_disk = |front: &&str| {
            self.lost_disks.iter().any(|(when, of)| of == front && (*answered_at..=at).contains(when))
        };
        holders.iter().all(has_lost_disk)
    }

    fn check_line(&mut self, line: &'a Value, freed_within: u64) {
        let at = line["at"].as_u64().unwrap_or(0);
        let front = text(line, "front").unwrap_or("");
        if text(line, "plays").is_some() {
            self.count_decided(Property::SessionsSurvive);
        }
        if let (Some(_), Some(took)) = (text(line, "found"), line["took"].as_u64()) {
            self.verdict.found.push(took);
        }
        if let Some(session) = text(line, "lost") {
            if !self.excused(session, at) {
                let why = text(line, "why").unwrap_or("");
                self.add_broken(
                    Property::SessionsSurvive,
                    format!("{session} at {} ms: {why} {front}", at / 1000),
                );
            }
        }
        if let Some(session) = text(line, "set_up").filter(|_| line["paid"] == true) {
            self.count_decided(Property::PaidOnce);
            let before = self.paid_set_ups.entry(session).or_default();
            before.push(at);
            if before.len() > 1 {
                let text = format!("{session} was set up {} times, the last time by {front}", before.len());
                self.add_broken(Property::PaidOnce, text);
            }
        }
        let action = text(line, "acts").map(|session| (session, text(line, "what").unwrap_or("")));
        let answer = text(line, "answers").map(|session| (session, "answer"));
        if let Some((session, what)) = action.or(answer) {
            self.check_owner(at, front, session, what, line["epoch"].as_u64());
        }
        if let Some(held) = line["holds"].as_array() {
            for session in held.iter().filter_map(Value::as_str) {
                self.count_decided(Property::PlacesFreed);
                // Sessions never answered as playing, or ended for their viewers, must be released.
                let since = self
                    .ended_at
                    .get(session)
                    .copied()
                    .or_else(|| (!self.played_at.contains_key(session)).then_some(0));
                if since.is_some_and(|since| since.saturating_add(freed_within) < at) {
                    self.add_broken(Property::PlacesFreed, format!("{session} is still held at the end"));
                }
            }
            if held.is_empty() {
                self.count_decided(Property::PlacesFreed);
            }
        }
    }

    /// Checks that a request or answer comes from the owner of the incarnation at that time.
    fn check_owner(&mut self, at: u64, front: &str, session: &str, what: &str, epoch: Option<u64>) {
        self.count_decided(Property::OneOwner);
        let takeovers = || self.takeovers.get(incarnation(session)).into_iter().flatten();
        // At the moment of the takeover itself, the successor is the owner.
        if takeovers().any(|(since, taken_epoch, successor)| {
            *since == at && *successor == front && epoch.is_none_or(|epoch| epoch >= *taken_epoch)
        }) {
            return;
        }
        // Places still held for a finished incarnation are released by the front whose incarnation it was.
        if self.finished_at.get(incarnation(session)).is_some_and(|since| *since <= at)
            && owner(session) == front
        {
            return;
        }
        let latest = takeovers().filter(|(since, ..)| *since < at).max_by_key(|(_, epoch, _)| *epoch);
        let violation = match latest {
            None => (owner(session) != front).then(|| "nobody had taken it over".to_owned()),
            Some((_, latest, successor)) => {
                let is_other_front = *successor != front;
                let has_old_epoch = epoch.is_some_and(|epoch| epoch < *latest);
                (is_other_front || has_old_epoch).then(|| format!("{successor} had it by epoch {latest}"))
            }
        };
        if let Some(why) = violation {
            let text =
                format!("{front}: {what} of {session} by epoch {epoch:?} at {} ms, though {why}", at / 1000);
            self.add_broken(Property::OneOwner, text);
        }
    }
}
