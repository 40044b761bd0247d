//! Promises and their copies, judged from the histories of viewers, boxes and fronts, and from what the trial did.
//!
//! Lines are JSON with `at`, us. Of viewers: `plays` (told so, with `front`), `found`, `closed`, `moved`, `lost` (with
//! `why`). Of boxes: `set_up` (with `attempt`, `paid`, `took`), `begins`, `ends`, and at the end `holds`. Of fronts: `acts`
//! (a request written for a session, with `epoch` and `what`), `answers` (told to play), `adopts` (a life, with `epoch`),
//! `over` (nothing is left of a life), `copies_at`. Of the trial: `disk_lost`, `calm`. A session's id begins with the life of the front that opened it.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;

/// What must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Property {
    /// No session told to play is lost while its owner or a copy is left with its disk.
    SessionsSurvive,
    /// No paid set-up is sent twice by anyone.
    PaidOnce,
    /// Each session has one owner at a time, whose acts carry growing epochs.
    OneOwner,
    /// Each place at a box is free within the stated time of its session's end.
    PlacesFreed,
}

impl Property {
    /// All of them.
    pub const ALL: [Property; 4] =
        [Property::SessionsSurvive, Property::PaidOnce, Property::OneOwner, Property::PlacesFreed];

    /// In words.
    pub fn description(self) -> &'static str {
        match self {
            Property::SessionsSurvive => "no session told to play is lost with a copy left",
            Property::PaidOnce => "no paid set-up is sent twice",
            Property::OneOwner => "one owner at a time, by growing epochs",
            Property::PlacesFreed => "places are free in time after an end",
        }
    }
}

/// What was found.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    /// What broke a property, in words.
    pub broken: Vec<(Property, String)>,
    /// How often each property had something to decide.
    pub decided: BTreeMap<&'static str, u64>,
    /// From when a viewer began to look for its session until it had it again, us.
    pub found: Vec<u64>,
    /// Sessions told to play; lives taken over.
    pub counts: [u64; 2],
}

fn text<'a>(line: &'a Value, key: &str) -> Option<&'a str> {
    line[key].as_str()
}

fn life(session: &str) -> &str {
    session.rsplit_once('-').map_or(session, |(life, _)| life)
}

fn owner(session: &str) -> &str {
    session.split('-').next().unwrap_or(session)
}

#[derive(Default)]
struct World<'a> {
    /// Sessions told to play, and when.
    told: BTreeMap<&'a str, u64>,
    /// When a viewer was done with a session.
    ended: BTreeMap<&'a str, u64>,
    /// Whoever held copies of a front's promises, from when on.
    groups: BTreeMap<&'a str, Vec<(u64, BTreeSet<&'a str>)>>,
    /// Disks lost.
    disks: Vec<(u64, &'a str)>,
    /// By life: from when on which epoch is whose.
    owners: BTreeMap<&'a str, Vec<(u64, u64, &'a str)>>,
    /// Lives of which nothing is left, and since when.
    over: BTreeMap<&'a str, u64>,
    paid: BTreeMap<&'a str, Vec<u64>>,
    verdict: Verdict,
}

/// Decides a trial.
pub fn judge(lines: &[Value]) -> Verdict {
    let mut sorted: Vec<&Value> = lines.iter().collect();
    sorted.sort_by_key(|line| line["at"].as_u64());
    let mut world = World::default();
    let freed = lines.first().and_then(|line| line["freed_us"].as_u64()).unwrap_or(u64::MAX);
    for line in &sorted {
        world.read(line);
    }
    for line in &sorted {
        world.decide(line, freed);
    }
    world.verdict
}

impl<'a> World<'a> {
    fn decided(&mut self, property: Property) {
        *self.verdict.decided.entry(property.description()).or_default() += 1;
    }

    fn broken(&mut self, property: Property, text: String) {
        self.verdict.broken.push((property, text));
    }

    /// Takes down what was so at which time.
    fn read(&mut self, line: &'a Value) {
        let at = line["at"].as_u64().unwrap_or(0);
        let front = text(line, "front").unwrap_or("");
        if let Some(session) = text(line, "plays") {
            self.told.insert(session, at);
            self.verdict.counts[0] += 1;
        }
        for key in ["closed", "moved", "lost"] {
            if let Some(session) = text(line, key) {
                self.ended.insert(session, at);
            }
        }
        if let Some(names) = line["copies_at"].as_array() {
            let names = names.iter().filter_map(Value::as_str).collect();
            self.groups.entry(front).or_default().push((at, names));
        }
        if let Some(life) = text(line, "over") {
            self.over.entry(life).or_insert(at);
        }
        if line["truth"] == "disk_lost" {
            self.disks.push((at, front));
        }
        if let (Some(life), Some(epoch)) = (text(line, "adopts"), line["epoch"].as_u64()) {
            self.owners.entry(life).or_default().push((at, epoch, front));
            self.verdict.counts[1] += 1;
        }
    }

    /// Whether its owner, and whoever held a copy since it was told, have all lost their disks since.
    fn excused(&self, session: &str, at: u64) -> bool {
        let Some(told) = self.told.get(session) else { return true };
        let mut holders: BTreeSet<&str> = [owner(session)].into();
        // Heirs and their holders count as well.
        let heirs = self.owners.get(life(session)).into_iter().flatten();
        let mut owners: BTreeSet<&str> = heirs.map(|(_, _, front)| *front).collect();
        owners.insert(owner(session));
        for front in &owners {
            let groups = self.groups.get(front).map_or(&[][..], Vec::as_slice);
            for (place, (since, names)) in groups.iter().enumerate() {
                let until = groups.get(place + 1).map_or(u64::MAX, |(next, _)| *next);
                if *since <= at && until >= *told {
                    holders.extend(names);
                }
            }
        }
        holders.extend(owners);
        let lost =
            |front: &&str| self.disks.iter().any(|(when, of)| of == front && (*told..=at).contains(when));
        holders.iter().all(lost)
    }

    fn decide(&mut self, line: &'a Value, freed: u64) {
        let at = line["at"].as_u64().unwrap_or(0);
        let front = text(line, "front").unwrap_or("");
        if text(line, "plays").is_some() {
            self.decided(Property::SessionsSurvive);
        }
        if let (Some(_), Some(took)) = (text(line, "found"), line["took"].as_u64()) {
            self.verdict.found.push(took);
        }
        if let Some(session) = text(line, "lost") {
            if !self.excused(session, at) {
                let why = text(line, "why").unwrap_or("");
                self.broken(
                    Property::SessionsSurvive,
                    format!("{session} at {} ms: {why} {front}", at / 1000),
                );
            }
        }
        if let Some(session) = text(line, "set_up").filter(|_| line["paid"] == true) {
            self.decided(Property::PaidOnce);
            let before = self.paid.entry(session).or_default();
            before.push(at);
            if before.len() > 1 {
                let text = format!("{session} was set up {} times, the last time by {front}", before.len());
                self.broken(Property::PaidOnce, text);
            }
        }
        let acts = text(line, "acts").map(|session| (session, text(line, "what").unwrap_or("")));
        let answers = text(line, "answers").map(|session| (session, "answer"));
        if let Some((session, what)) = acts.or(answers) {
            self.one_owner(at, front, session, what, line["epoch"].as_u64());
        }
        if let Some(held) = line["holds"].as_array() {
            for session in held.iter().filter_map(Value::as_str) {
                self.decided(Property::PlacesFreed);
                // What nobody was told to play, or whose viewer is done, plays for nobody.
                let since = self
                    .ended
                    .get(session)
                    .copied()
                    .or_else(|| (!self.told.contains_key(session)).then_some(0));
                if since.is_some_and(|since| since.saturating_add(freed) < at) {
                    self.broken(Property::PlacesFreed, format!("{session} is still held at the end"));
                }
            }
            if held.is_empty() {
                self.decided(Property::PlacesFreed);
            }
        }
    }

    /// An act, held against who had taken the life over by then.
    fn one_owner(&mut self, at: u64, front: &str, session: &str, what: &str, epoch: Option<u64>) {
        self.decided(Property::OneOwner);
        let taken = || self.owners.get(life(session)).into_iter().flatten();
        // What is done as it is handed over is done by the heir.
        if taken()
            .any(|(since, of, heir)| *since == at && *heir == front && epoch.is_none_or(|epoch| epoch >= *of))
        {
            return;
        }
        // What boxes still hold of a life that is over is released by the front that lived it.
        if self.over.get(life(session)).is_some_and(|since| *since <= at) && owner(session) == front {
            return;
        }
        let latest = taken().filter(|(since, ..)| *since < at).max_by_key(|(_, epoch, _)| *epoch);
        let wrong = match latest {
            None => (owner(session) != front).then(|| "nobody had taken it over".to_owned()),
            Some((_, latest, heir)) => {
                let other = *heir != front;
                let lower = epoch.is_some_and(|epoch| epoch < *latest);
                (other || lower).then(|| format!("{heir} had it by epoch {latest}"))
            }
        };
        if let Some(why) = wrong {
            let text =
                format!("{front}: {what} of {session} by epoch {epoch:?} at {} ms, though {why}", at / 1000);
            self.broken(Property::OneOwner, text);
        }
    }
}
