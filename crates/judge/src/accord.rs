//! Judges agreement on versions of the rules, from the histories of all fronts and the faults of the trial.
//!
//! Lines are as in [`crate::members`]. A front writes `took` (number of steps of the agreed history that it has applied,
//! with `digest` and `latest`), `version` (with the viewers that it `refuses`), `acts` (a viewer that asked, whether it
//! was `allowed`, `by` which authority: `lease`, `meet` (only what all rules known to it allow) or `none`, and the
//! range of versions: `begun`, `latest`) and `told` (the outcome of a proposal). The trial's first line has
//! `stated_us`, the longest time for which fronts may contradict each other.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;

/// Properties that must hold in every trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Property {
    /// Versions have the same order and content at all fronts.
    OneOrder,
    /// No two fronts act on contradicting versions for longer than stated.
    ContradictionsEnd,
    /// Agreed versions are never lost, whichever processes were killed.
    AgreedStays,
    /// Within the stated time after the end of all faults, all fronts act on one version. Where links still lose many
    /// messages, a lease may lapse briefly: such a front still acts on the version, by the meet.
    AllOnOne,
    /// A version begins only when no front acts by a lease that doesn't include it.
    BeginsAfterLeases,
    /// Each front follows the versions that it acts on, and acts on none that wasn't agreed.
    ActsAsAgreed,
}

impl Property {
    /// All properties.
    pub const ALL: [Property; 6] = [
        Property::OneOrder,
        Property::ContradictionsEnd,
        Property::AgreedStays,
        Property::AllOnOne,
        Property::BeginsAfterLeases,
        Property::ActsAsAgreed,
    ];

    /// A short description, also the key in [`Verdict::decided`].
    pub fn description(self) -> &'static str {
        match self {
            Property::OneOrder => "versions have one order everywhere",
            Property::ContradictionsEnd => "fronts contradict each other no longer than stated",
            Property::AgreedStays => "what was agreed is never lost",
            Property::AllOnOne => "after all faults all act on one version in time",
            Property::BeginsAfterLeases => "a version begins after all leases without it",
            Property::ActsAsAgreed => "acts follow agreed versions",
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
    /// For each proposal that became a version, the time until all fronts that ran throughout had acted on it by a
    /// lease, in microseconds.
    pub spread: Vec<u64>,
    /// The longest contradiction, in microseconds.
    pub contradiction: u64,
    /// Number of actions by a lease, by the meet, and without either.
    pub acts: [u64; 3],
}

/// What a front did for a viewer. `by` is an index into the authorities lease, meet and none; `begun` and `latest` are
/// versions.
struct Action {
    at: u64,
    viewer: String,
    allowed: bool,
    by: usize,
    begun: u64,
    latest: u64,
}

#[derive(Default)]
struct FrontHistory {
    /// Applied steps: time, number of steps, digest, latest version.
    steps: Vec<(u64, u64, String, u64)>,
    actions: Vec<Action>,
    /// Whether it is up and whether it is stopped, at the end, and the times of all changes of these.
    up: bool,
    stopped: bool,
    status_changes: Vec<u64>,
}

fn number(line: &Value, key: &str) -> Option<u64> {
    line[key].as_u64()
}

/// Judges the lines of all histories and of the trial, in any order.
pub fn judge(lines: &[Value]) -> Verdict {
    let mut trial = TrialHistory::default();
    let mut sorted: Vec<&Value> = lines.iter().collect();
    sorted.sort_by_key(|line| number(line, "at"));
    for line in sorted {
        trial.read_line(line);
    }
    trial.check_order();
    trial.check_contradictions();
    trial.check_agreed_stays();
    trial.check_all_on_one();
    trial.check_beginnings();
    trial.check_actions();
    trial.measure_spread();
    trial.verdict
}

#[derive(Default)]
struct TrialHistory {
    fronts: BTreeMap<String, FrontHistory>,
    /// For each version: the viewers that it refuses, and when a front first knew it.
    versions: BTreeMap<u64, (BTreeSet<String>, u64)>,
    /// Proposals reported as agreed: ticket and version.
    agreed: Vec<(u64, u64)>,
    /// Time of each proposal, by ticket.
    proposed: BTreeMap<u64, u64>,
    /// Longest contradiction allowed, in microseconds.
    max_contradiction: Option<u64>,
    /// Time after `calm` within which all fronts must be on one version, in microseconds.
    equal_within: u64,
    calm: Option<u64>,
    end: u64,
    verdict: Verdict,
}

impl TrialHistory {
    fn add_broken(&mut self, property: Property, text: String) {
        self.verdict.broken.push((property, text));
    }

    fn count_decided(&mut self, property: Property, count: u64) {
        *self.verdict.decided.entry(property.description()).or_default() += count;
    }

    fn read_line(&mut self, line: &Value) {
        let at = number(line, "at").unwrap_or(0);
        self.end = self.end.max(at);
        let front = line["front"].as_str().unwrap_or_default().to_owned();
        if let Some(truth) = line["truth"].as_str() {
            match truth {
                "trial" => {
                    self.max_contradiction = number(line, "stated_us");
                    self.equal_within = number(line, "equal_us").unwrap_or(0);
                }
                "calm" => self.calm = Some(at),
                "proposed" => {
                    self.proposed.insert(number(line, "ticket").unwrap_or(0), at);
                }
                "up" | "down" | "stopped" | "running" => {
                    let history = self.fronts.entry(front).or_default();
                    match truth {
                        "up" => (history.up, history.stopped) = (true, false),
                        "down" => history.up = false,
                        _ => history.stopped = truth == "stopped",
                    }
                    history.status_changes.push(at);
                }
                _ => {}
            }
            return;
        }
        if let Some(version) = number(line, "version") {
            let refuses: BTreeSet<String> = line["refuses"].as_array().map_or(BTreeSet::new(), |all| {
                all.iter().filter_map(Value::as_str).map(str::to_owned).collect()
            });
            self.count_decided(Property::OneOrder, 1);
            let known = self.versions.entry(version).or_insert_with(|| (refuses.clone(), at));
            if known.0 != refuses {
                self.add_broken(Property::OneOrder, format!("{at}: {front} has another version {version}"));
            }
            return;
        }
        if let Some(ticket) = number(line, "told") {
            let what = line["what"].as_str().unwrap_or_default();
            let version = what.strip_prefix("Became(Version(").and_then(|rest| rest.strip_suffix("))"));
            self.agreed
                .extend(version.and_then(|number| number.parse().ok()).map(|version| (ticket, version)));
            return;
        }
        if line["parted"].is_string() {
            self.add_broken(Property::OneOrder, format!("{at}: {front} has parted from {}", line["parted"]));
            return;
        }
        let history = self.fronts.entry(front).or_default();
        if let Some(position) = number(line, "took") {
            let digest = line["digest"].as_str().unwrap_or_default().to_owned();
            history.steps.push((at, position, digest, number(line, "latest").unwrap_or(0)));
        } else if let Some(viewer) = line["acts"].as_str() {
            let by = ["lease", "meet", "none"].iter().position(|by| line["by"] == **by).unwrap_or(2);
            history.actions.push(Action {
                at,
                viewer: viewer.to_owned(),
                allowed: line["allowed"] == true,
                by,
                begun: number(line, "begun").unwrap_or(0),
                latest: number(line, "latest").unwrap_or(0),
            });
            self.verdict.acts[by] += 1;
        }
    }

    /// Whether a version refuses a viewer; version 0 refuses nobody.
    fn refuses(&self, version: u64, viewer: &str) -> bool {
        self.versions.get(&version).is_some_and(|(refuses, _)| refuses.contains(viewer))
    }

    /// The actions of all fronts, ordered by time.
    fn actions(&self) -> Vec<(&Action, &String)> {
        let all = self
            .fronts
            .iter()
            .flat_map(|(front, history)| history.actions.iter().map(move |action| (action, front)));
        let mut actions: Vec<(&Action, &String)> = all.collect();
        actions.sort_by_key(|(action, _)| action.at);
        actions
    }

    fn check_order(&mut self) {
        let mut by_position: BTreeMap<u64, (String, String)> = BTreeMap::new();
        let mut broken = Vec::new();
        let mut count = 0;
        for (front, history) in &self.fronts {
            for (when, position, digest, _) in &history.steps {
                count += 1;
                let (first, by) =
                    by_position.entry(*position).or_insert_with(|| (digest.clone(), front.clone()));
                if first != digest {
                    broken.push(format!("{when}: after {position} steps {front} and {by} differ"));
                }
            }
        }
        self.count_decided(Property::OneOrder, count);
        broken.into_iter().for_each(|text| self.add_broken(Property::OneOrder, text));
    }

    /// Finds the two kinds of contradiction: a front still allows what a later version refuses, or a front still refuses,
    /// by a lease and only because of an old version, what others already allow.
    fn check_contradictions(&mut self) {
        let (mut longest, mut count, mut broken) = (0, 0, Vec::new());
        // For each viewer: the versions under which it was allowed, with the time of the first such action.
        let mut allowed: BTreeMap<&str, BTreeMap<u64, u64>> = BTreeMap::new();
        for (action, front) in self.actions() {
            let since = if action.allowed {
                let begun = allowed.entry(&action.viewer).or_default();
                begun.entry(action.begun).or_insert(action.at);
                let later = self.versions.range(action.latest + 1..);
                later
                    .filter(|(_, (refuses, _))| refuses.contains(&action.viewer))
                    .map(|(_, (_, at))| *at)
                    .min()
            } else if action.by == 0 {
                let refusing = (action.begun..=action.latest)
                    .rev()
                    .find(|version| self.refuses(*version, &action.viewer));
                let later = refusing.and_then(|last| {
                    allowed
                        .get(action.viewer.as_str())
                        .and_then(|begun| begun.range(last + 1..).map(|(_, at)| *at).min())
                });
                later
            } else {
                None
            };
            count += 1;
            let Some(since) = since.filter(|since| *since < action.at) else { continue };
            longest = longest.max(action.at - since);
            if self.max_contradiction.is_some_and(|max| action.at - since > max) {
                broken.push(format!(
                    "{}: {front} acts on {} to {} for {}, contradicted for {} us",
                    action.at,
                    action.begun,
                    action.latest,
                    action.viewer,
                    action.at - since
                ));
            }
        }
        self.count_decided(Property::ContradictionsEnd, count);
        self.verdict.contradiction = longest;
        broken.into_iter().for_each(|text| self.add_broken(Property::ContradictionsEnd, text));
    }

    fn check_agreed_stays(&mut self) {
        let furthest =
            self.fronts.values().flat_map(|history| history.steps.iter()).max_by_key(|step| step.1).cloned();
        let Some((_, position, digest, latest)) = furthest else { return };
        let mut broken = Vec::new();
        for (ticket, version) in &self.agreed {
            if *version > latest {
                broken.push(format!(
                    "proposal {ticket} was reported as version {version}, the latest is {latest}"
                ));
            }
        }
        for (front, history) in &self.fronts {
            let last = history.steps.last().map_or(0, |step| step.1);
            if self.calm.is_some() && history.up && !history.stopped && last < position {
                broken.push(format!("{front} ends after {last} steps of {position} ({digest})"));
            }
        }
        self.count_decided(Property::AgreedStays, self.agreed.len() as u64 + self.fronts.len() as u64);
        broken.into_iter().for_each(|text| self.add_broken(Property::AgreedStays, text));
    }

    fn check_all_on_one(&mut self) {
        let Some(from) = self.calm.map(|calm| calm + self.equal_within) else { return };
        if from >= self.end {
            return;
        }
        let latest = self.versions.keys().max().copied().unwrap_or(0);
        let (mut broken, mut count) = (Vec::new(), 0);
        for (front, history) in self.fronts.iter().filter(|(_, history)| history.up && !history.stopped) {
            for action in history.actions.iter().filter(|action| action.at >= from) {
                count += 1;
                if action.by == 2 || (action.begun, action.latest) != (latest, latest) {
                    let by = ["a lease", "the meet", "nothing"][action.by];
                    broken.push(format!(
                        "{}: {front} acts by {by} on {} to {} of {latest}",
                        action.at, action.begun, action.latest
                    ));
                    break;
                }
            }
        }
        self.count_decided(Property::AllOnOne, count);
        broken.into_iter().for_each(|text| self.add_broken(Property::AllOnOne, text));
    }

    fn check_beginnings(&mut self) {
        let (mut begun, mut broken, mut count) = ((0, 0, ""), Vec::new(), 0);
        for (action, front) in self.actions() {
            if action.by == 0 && action.latest < begun.0 && action.at > begun.1 {
                broken.push(format!(
                    "{}: {front} acts by a lease on {} and no more, {} began at {} for {}",
                    action.at, action.latest, begun.0, begun.1, begun.2
                ));
            }
            count += 1;
            if action.begun > begun.0 {
                begun = (action.begun, action.at, front);
            }
        }
        self.count_decided(Property::BeginsAfterLeases, count);
        broken.into_iter().for_each(|text| self.add_broken(Property::BeginsAfterLeases, text));
    }

    fn check_actions(&mut self) {
        let (mut broken, mut count) = (Vec::new(), 0);
        let latest = self
            .fronts
            .values()
            .flat_map(|history| history.steps.iter())
            .map(|step| step.3)
            .max()
            .unwrap_or(0);
        for (front, history) in &self.fronts {
            for action in &history.actions {
                count += 1;
                let refused =
                    (action.begun..=action.latest).any(|version| self.refuses(version, &action.viewer));
                // By the meet, proposals that aren't agreed yet may refuse further viewers.
                let wrong = match action.by {
                    0 => action.allowed == refused,
                    1 => action.allowed && refused,
                    _ => action.allowed,
                };
                if wrong || action.begun > action.latest || action.latest > latest {
                    broken.push(format!(
                        "{}: {front} {} {} on versions {} to {}",
                        action.at,
                        if action.allowed { "allows" } else { "refuses" },
                        action.viewer,
                        action.begun,
                        action.latest
                    ));
                }
            }
        }
        self.count_decided(Property::ActsAsAgreed, count);
        broken.into_iter().for_each(|text| self.add_broken(Property::ActsAsAgreed, text));
    }

    /// Measures the time from each proposal until all fronts that run throughout act on it.
    fn measure_spread(&mut self) {
        let mut spread = Vec::new();
        for (ticket, version) in &self.agreed {
            let Some(at) = self.proposed.get(ticket) else { continue };
            let first_action = |history: &FrontHistory| {
                let actions = history.actions.iter().filter(|action| action.at >= *at && action.by == 0);
                actions.filter(|action| action.begun >= *version).map(|action| action.at - at).next()
            };
            // Fronts with a fault of their own in that time would measure the fault, not the spread.
            let runs_throughout = |history: &&FrontHistory| {
                history.up
                    && !history.status_changes.iter().any(|change| change >= at && *change < at + 10_000_000)
            };
            let all: Option<Vec<u64>> =
                self.fronts.values().filter(runs_throughout).map(first_action).collect();
            spread.extend(all.and_then(|all| all.into_iter().max()));
        }
        self.verdict.spread = spread;
    }
}
