//! Judges membership, from the histories of all fronts and the faults of the trial.
//!
//! Lines are JSON objects with `at` in microseconds of one clock. The trial writes lines with `truth`: `trial` (first:
//! fronts and time limits), `up`, `down`, `stopped`, `running` with `front`, `cut` with `from`, `to` and `on`, `calm` (no
//! faults from here on) and `end`. Fronts write lines with `view`, `stands` or `starts`.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;

/// Properties that must hold in every trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Property {
    /// No front is removed as unreachable that is up, was not stopped for longer than the stated time, and is reached by
    /// a majority in both directions.
    NoneReachedIsRemoved,
    /// A crashed front has left every view within the stated time.
    CrashesLeaveViews,
    /// Within the stated time after the end of all faults, all views are equal and contain all fronts that are up.
    ViewsBecomeEqual,
    /// The number of a front's view never decreases while its process runs.
    ViewsGrow,
    /// No name is twice in a view, and views with the same digest contain the same names.
    NamesAreOnce,
}

impl Property {
    /// All properties.
    pub const ALL: [Property; 5] = [
        Property::NoneReachedIsRemoved,
        Property::CrashesLeaveViews,
        Property::ViewsBecomeEqual,
        Property::ViewsGrow,
        Property::NamesAreOnce,
    ];

    /// A short description, also the key in [`Verdict::decided`].
    pub fn description(self) -> &'static str {
        match self {
            Property::NoneReachedIsRemoved => "nobody whom a majority reaches is removed",
            Property::CrashesLeaveViews => "a front that crashed leaves every view in time",
            Property::ViewsBecomeEqual => "after all faults all views become equal in time",
            Property::ViewsGrow => "views only grow",
            Property::NamesAreOnce => "no name is twice in a view",
        }
    }
}

/// Result of judging a trial.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    /// Violations: the property and a description.
    pub broken: Vec<(Property, String)>,
    /// Number of checks of each property, by description; a property without checks was not tested.
    pub decided: BTreeMap<&'static str, u64>,
    /// Time from each crash until the crashed front has left the last view, in microseconds.
    pub crash_to_last: Vec<u64>,
    /// Time from each crash until the crashed front has left each view, in microseconds.
    pub crash_to_each: Vec<u64>,
    /// Removals of fronts that were stopped for longer than the stated time.
    pub stopped_removed: u64,
    /// Time from the end of all faults to the last change of any view, in microseconds.
    pub calm_to_equal: u64,
}

#[derive(Clone, Debug, Default)]
struct FrontHistory {
    /// Times at which it went up (true) or down (false), in order.
    up: Vec<(u64, bool)>,
    /// Times at which it was stopped (true) or continued (false), in order.
    stopped: Vec<(u64, bool)>,
    /// Views: time, number, digest, members.
    views: Vec<(u64, u64, String, BTreeSet<String>)>,
    /// Members that it removed by its own count, with the time.
    removed: Vec<(u64, String)>,
    starts: Vec<u64>,
    /// When it entered the view, as reported by itself.
    entered: Vec<u64>,
}

/// Appends a change; overlapping faults of one front count as one span.
fn push_change(changes: &mut Vec<(u64, bool)>, at: u64, on: bool) {
    if changes.last().is_some_and(|(_, last)| *last) != on {
        changes.push((at, on));
    }
}

fn is_on(changes: &[(u64, bool)], at: u64) -> bool {
    changes.iter().take_while(|(since, _)| *since <= at).last().is_some_and(|(_, on)| *on)
}

/// The spans in which `changes` is on that overlap this window, not clipped to it.
fn overlapping_spans(changes: &[(u64, bool)], from: u64, to: u64) -> Vec<(u64, u64)> {
    let mut spans = Vec::new();
    for (place, (since, on)) in changes.iter().enumerate() {
        let until = changes.get(place + 1).map_or(u64::MAX, |(at, _)| *at);
        if *on && *since <= to && until > from {
            spans.push((*since, until));
        }
    }
    spans
}

struct TrialHistory {
    fronts: BTreeMap<String, FrontHistory>,
    cuts: BTreeMap<(String, String), Vec<(u64, bool)>>,
    /// Time within which a crashed front must leave all views, in microseconds.
    removed_within: u64,
    /// Time after `calm` within which all views must be equal, in microseconds.
    equal_within: u64,
    /// Longest stop for which a front must not be removed, in microseconds.
    max_stop: u64,
    calm: Option<u64>,
    end: u64,
}

impl TrialHistory {
    fn link_is_open(&self, from: &str, to: &str, at: u64) -> bool {
        self.cuts.get(&(from.to_owned(), to.to_owned())).is_none_or(|cut| !is_on(cut, at))
    }

    /// The times at which reachability may have changed, including `from`.
    fn change_times(&self, from: u64, to: u64) -> Vec<u64> {
        let front_changes =
            self.fronts.values().flat_map(|history| history.up.iter().chain(&history.stopped));
        let all = front_changes.chain(self.cuts.values().flatten()).map(|(at, _)| *at);
        let mut times: Vec<u64> = all.filter(|at| (from..=to).contains(at)).collect();
        times.push(from);
        times.sort_unstable();
        times.dedup();
        times
    }

    /// Whether more than half of `among` reach the front in both directions at this time; the front itself counts.
    fn majority_reaches(&self, front: &str, among: &BTreeSet<String>, at: u64) -> bool {
        let is_running = |name: &str| {
            self.fronts
                .get(name)
                .is_some_and(|history| is_on(&history.up, at) && !is_on(&history.stopped, at))
        };
        let reaches = |other: &&String| {
            other.as_str() == front
                || (is_running(other)
                    && self.link_is_open(front, other, at)
                    && self.link_is_open(other, front, at))
        };
        among.iter().filter(reaches).count() * 2 > among.len()
    }
}

/// Judges the lines of all histories and of the trial, in any order.
pub fn judge(lines: &[Value]) -> Verdict {
    let mut sorted: Vec<&Value> = lines.iter().collect();
    sorted.sort_by_key(|line| line["at"].as_u64().unwrap_or(0));
    let trial = read_lines(&sorted);
    let mut verdict = Verdict::default();
    check_removals(&trial, &mut verdict);
    check_crashes(&trial, &mut verdict);
    check_equality(&trial, &mut verdict);
    check_growth(&trial, &mut verdict);
    verdict
}

fn read_lines(lines: &[&Value]) -> TrialHistory {
    let mut trial = TrialHistory {
        fronts: BTreeMap::new(),
        cuts: BTreeMap::new(),
        removed_within: 3_000_000,
        equal_within: 10_000_000,
        max_stop: 700_000,
        calm: None,
        end: 0,
    };
    for line in lines {
        let at = line["at"].as_u64().unwrap_or(0);
        trial.end = trial.end.max(at);
        let text = |key: &str| line[key].as_str().unwrap_or_default().to_owned();
        let history = trial.fronts.entry(text("front")).or_default();
        match line["truth"].as_str() {
            Some("trial") => {
                trial.removed_within = line["removed_us"].as_u64().unwrap_or(trial.removed_within);
                trial.equal_within = line["equal_us"].as_u64().unwrap_or(trial.equal_within);
                trial.max_stop = line["borne_us"].as_u64().unwrap_or(trial.max_stop);
            }
            Some("up") => push_change(&mut history.up, at, true),
            Some("down") => {
                push_change(&mut history.up, at, false);
                push_change(&mut history.stopped, at, false);
            }
            Some("stopped") => push_change(&mut history.stopped, at, true),
            Some("running") => push_change(&mut history.stopped, at, false),
            Some("cut") => {
                let on = line["on"].as_bool().unwrap_or(false);
                trial.cuts.entry((text("from"), text("to"))).or_default().push((at, on));
            }
            Some("calm") => trial.calm = Some(at),
            Some(_) => {}
            None => {
                if let Some(number) = line["view"].as_u64() {
                    let array = |key: &str| line[key].as_array().cloned().unwrap_or_default();
                    let names: Vec<String> =
                        array("members").iter().filter_map(|name| name.as_str().map(str::to_owned)).collect();
                    for gone in array("gone").iter().filter(|gone| gone[1] == "unreached") {
                        history.removed.push((at, gone[0].as_str().unwrap_or_default().to_owned()));
                    }
                    let name_set: BTreeSet<String> = names.iter().cloned().collect();
                    // A view with a duplicate name gets a digest that no other view has.
                    let digest =
                        if name_set.len() < names.len() { "twice".to_owned() } else { text("digest") };
                    history.views.push((at, number, digest, name_set));
                } else if line["starts"].is_u64() {
                    history.starts.push(at);
                } else if line["stands"] == "in" {
                    history.entered.push(at);
                }
            }
        }
    }
    trial.fronts.remove("");
    trial
}

fn check_removals(trial: &TrialHistory, verdict: &mut Verdict) {
    let mut decided = 0;
    for (observer, history) in &trial.fronts {
        for (at, subject) in &history.removed {
            decided += 1;
            let Some(subject_history) = trial.fronts.get(subject) else { continue };
            let from = at.saturating_sub(trial.removed_within);
            let went_down = |(when, on): &(u64, bool)| !on && (from..=*at).contains(when);
            let is_down = !is_on(&subject_history.up, *at) || subject_history.up.iter().any(went_down);
            let exceeds_max_stop =
                |(since, until): &(u64, u64)| until.min(at).saturating_sub(*since) > trial.max_stop;
            // If the front has restarted recently or hasn't entered the view since, its previous start is removed.
            let restart = subject_history
                .starts
                .iter()
                .rev()
                .find(|start| **start <= *at)
                .filter(|_| subject_history.starts.len() > 1);
            let is_previous_start = restart.is_some_and(|restart| {
                *restart >= from
                    || !subject_history.entered.iter().any(|entered| (restart..=at).contains(&entered))
            });
            if is_down || is_previous_start {
                continue;
            }
            if overlapping_spans(&subject_history.stopped, from, *at).iter().any(exceeds_max_stop) {
                verdict.stopped_removed += 1;
                continue;
            }
            let before = history.views.iter().take_while(|view| view.0 < *at).last();
            let Some((_, _, _, members)) = before else { continue };
            let reached_throughout = trial
                .change_times(from, *at)
                .iter()
                .all(|when| trial.majority_reaches(subject, members, *when));
            if reached_throughout {
                let text =
                    format!("{observer} removed {subject} at {} ms, whom a majority reached", at / 1000);
                verdict.broken.push((Property::NoneReachedIsRemoved, text));
            }
        }
    }
    verdict.decided.insert(Property::NoneReachedIsRemoved.description(), decided);
}

fn check_crashes(trial: &TrialHistory, verdict: &mut Verdict) {
    let mut decided = 0;
    for (subject, subject_history) in &trial.fronts {
        for (place, (crash, _)) in subject_history.up.iter().enumerate().filter(|(_, (_, on))| !on) {
            let until = crash + trial.removed_within;
            let is_back = subject_history.up.get(place + 1).is_some_and(|(at, _)| *at <= until);
            if is_back || until > trial.end {
                continue;
            }
            let (mut last, mut all) = (0, true);
            for (observer, history) in trial.fronts.iter().filter(|(name, _)| *name != subject) {
                let is_running = is_on(&history.up, *crash)
                    && !history.up.iter().any(|(at, _)| (*crash..=until).contains(at))
                    && overlapping_spans(&history.stopped, *crash, until).is_empty();
                let Some((_, _, _, members)) =
                    history.views.iter().take_while(|view| view.0 <= *crash).last()
                else {
                    continue;
                };
                let times = trial.change_times(*crash, until);
                let connected = times.iter().all(|when| trial.majority_reaches(observer, members, *when));
                if !is_running || !connected || !members.contains(subject) {
                    continue;
                }
                decided += 1;
                let departure =
                    history.views.iter().find(|view| view.0 > *crash && !view.3.contains(subject));
                match departure {
                    Some((at, ..)) if *at <= until => {
                        verdict.crash_to_each.push(at - crash);
                        last = last.max(at - crash);
                    }
                    other => {
                        all = false;
                        let when = other.map_or("never".to_owned(), |view| {
                            format!("after {} ms", (view.0 - crash) / 1000)
                        });
                        let text = format!(
                            "{subject} crashed at {} ms and left {observer}'s view {when}",
                            crash / 1000
                        );
                        verdict.broken.push((Property::CrashesLeaveViews, text));
                    }
                }
            }
            if all && last > 0 {
                verdict.crash_to_last.push(last);
            }
        }
    }
    verdict.decided.insert(Property::CrashesLeaveViews.description(), decided);
}

fn check_equality(trial: &TrialHistory, verdict: &mut Verdict) {
    let Some(calm) = trial.calm.filter(|calm| calm + trial.equal_within <= trial.end) else {
        verdict.decided.insert(Property::ViewsBecomeEqual.description(), 0);
        return;
    };
    let running: BTreeSet<String> = trial
        .fronts
        .iter()
        .filter(|(_, history)| is_on(&history.up, trial.end) && !is_on(&history.stopped, trial.end))
        .map(|(name, _)| name.clone())
        .collect();
    let deadline = calm + trial.equal_within;
    let mut broken = |text: String| verdict.broken.push((Property::ViewsBecomeEqual, text));
    let mut last = 0;
    for name in &running {
        let views = &trial.fronts[name].views;
        last = last.max(views.last().map_or(0, |view| view.0.saturating_sub(calm)));
        match views.iter().take_while(|view| view.0 <= deadline).last() {
            None => broken(format!("{name} has no view")),
            Some(view) if view.3 != running => {
                let missing: Vec<&String> = running.difference(&view.3).take(5).collect();
                let extra: Vec<&String> = view.3.difference(&running).take(5).collect();
                broken(format!(
                    "{name} lacks {missing:?} and has {extra:?} {} ms after calm",
                    trial.equal_within / 1000
                ));
            }
            Some(_) => {}
        }
        if views.last().is_some_and(|view| view.0 > deadline) {
            broken(format!("{name}'s view still changed {} ms after calm", last / 1000));
        }
    }
    let digests: BTreeSet<&str> = running
        .iter()
        .filter_map(|name| trial.fronts[name].views.last())
        .map(|view| view.2.as_str())
        .collect();
    if digests.len() > 1 {
        broken(format!("{} different views at the end", digests.len()));
    }
    verdict.calm_to_equal = last;
    verdict.decided.insert(Property::ViewsBecomeEqual.description(), running.len() as u64);
}

fn check_growth(trial: &TrialHistory, verdict: &mut Verdict) {
    let (mut decided, mut by_digest) = (0, BTreeMap::<&str, &BTreeSet<String>>::new());
    let mut views_checked = 0;
    for (name, history) in &trial.fronts {
        for pair in history.views.windows(2) {
            let restarted =
                history.starts.iter().any(|at| (pair[0].0..=pair[1].0).contains(at) && *at > pair[0].0);
            if restarted {
                continue;
            }
            decided += 1;
            if pair[1].1 <= pair[0].1 && pair[0].2 != pair[1].2 && pair[1].1 < pair[0].1 {
                let text = format!("{name} went from view {} to {}", pair[0].1, pair[1].1);
                verdict.broken.push((Property::ViewsGrow, text));
            }
        }
        for view in &history.views {
            views_checked += 1;
            if view.2 == "twice" {
                verdict.broken.push((Property::NamesAreOnce, format!("{name} has a name twice")));
            } else if *by_digest.entry(&view.2).or_insert(&view.3) != &view.3 {
                let text = format!("{name}: two views of digest {}", view.2);
                verdict.broken.push((Property::NamesAreOnce, text));
            }
        }
    }
    verdict.decided.insert(Property::ViewsGrow.description(), decided);
    verdict.decided.insert(Property::NamesAreOnce.description(), views_checked);
}
