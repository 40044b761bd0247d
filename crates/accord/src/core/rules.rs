//! The content of a version, and how two versions relate: pure functions without state.
//!
//! Rules only restrict what a front's own settings file allows. They form a meet-semilattice: [`Rules::meet`]
//! allows exactly what both allow, the empty rules allow everything, and a version
//! [`tightens`](Rules::tightens) another if it equals their meet. Each kind of rule has its own order:
//!
//! | kind | what two versions may differ in | stricter |
//! |---|---|---|
//! | class | whether it is open, its top rung, its seats, whether its sessions end | closed, lower, fewer, end |
//! | ladder | the highest rung | lower |
//! | limit | the number | lower |
//! | title | the cells that may serve it | fewer cells |
//! | cell | whether it is closed | closed |
//! | refused | whether a tenant or viewer is refused | refused |
//! | box | the operator's order | drain, then hold, then no order |

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};

/// Terms of a class. A class that no version names has the [default](ClassTerms::default): everything the
/// front's settings file allows.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct ClassTerms {
    /// New sessions are accepted.
    pub open: bool,
    /// Highest rung of new sessions.
    pub top_rung: u32,
    /// Most sessions of the class at one front.
    pub seats: u32,
    /// Playing sessions are ended when the class is not open; otherwise they continue.
    pub ends: bool,
}

impl Default for ClassTerms {
    fn default() -> Self {
        ClassTerms { open: true, top_rung: u32::MAX, seats: u32::MAX, ends: false }
    }
}

impl ClassTerms {
    fn meet(self, other: ClassTerms) -> ClassTerms {
        ClassTerms {
            open: self.open && other.open,
            top_rung: self.top_rung.min(other.top_rung),
            seats: self.seats.min(other.seats),
            ends: self.ends || other.ends,
        }
    }
}

/// Limits that a front applies.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Limit {
    /// Most sessions at one front.
    SessionsPerFront,
    /// Most sessions of one viewer at one front.
    SessionsPerViewer,
}

/// A refused tenant or viewer.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusedParty {
    /// All viewers of a tenant: those whose names begin with its name and a slash.
    #[serde(rename = "firm")]
    Tenant(String),
    /// One viewer.
    Viewer(String),
}

/// An operator's order for a box; it overrides the box list.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// No new sessions; playing ones continue.
    Hold,
    /// The box drains, as if the box list said so.
    Drain,
}

/// The rules of one version.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct Rules {
    /// Classes by name.
    pub classes: BTreeMap<String, ClassTerms>,
    /// Highest rung of the ladder, for all classes.
    pub ladder: Option<u32>,
    /// Limits.
    pub limits: BTreeMap<Limit, u32>,
    /// Cells that may serve a title, among those that the front's settings file has for it; with no cell, the
    /// title is not served.
    pub titles: BTreeMap<String, BTreeSet<u32>>,
    /// Cells that accept no new sessions.
    pub closed: BTreeSet<u32>,
    /// Refused tenants and viewers.
    pub refused: BTreeSet<RefusedParty>,
    /// Orders for boxes, by name.
    pub boxes: BTreeMap<String, Order>,
}

/// The parts of a session request that rules look at.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SessionRequest<'a> {
    /// Name of the viewer.
    pub viewer: &'a str,
    /// Name of the class.
    pub class: &'a str,
    /// Name of the title.
    pub title: &'a str,
    /// Sessions at this front: in all, of the class, of the viewer.
    pub held: [u32; 3],
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The viewer or its tenant is refused.
    #[serde(rename = "who")]
    Party,
    /// The class accepts no new sessions.
    Class,
    /// The class has no seat left at this front.
    Seats,
    /// No cell may serve the title.
    Title,
    /// This front is at its limit of sessions.
    Front,
    /// The viewer is at its limit of sessions.
    Viewer,
    /// The front has no lease, and its grace period is over.
    Lease,
}

impl Refusal {
    /// Whether a later attempt may succeed without an operator changing anything.
    pub fn is_transient(self) -> bool {
        matches!(self, Refusal::Seats | Refusal::Front | Refusal::Viewer | Refusal::Lease)
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Refusal::Party => "this viewer is refused",
            Refusal::Class => "this class takes no new sessions",
            Refusal::Seats => "no seat of this class is free here",
            Refusal::Title => "this title is shown nowhere",
            Refusal::Front => "this front holds as many sessions as it may",
            Refusal::Viewer => "this viewer has as many sessions as it may",
            Refusal::Lease => "this front may not act on its rules",
        })
    }
}

/// One rule in which two versions contradict each other.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Contradiction {
    /// Kind of rule.
    pub kind: &'static str,
    /// Name that the rule applies to.
    pub name: String,
    /// The later version refuses something that the earlier one allows.
    pub tightened: bool,
    /// The later version allows something that the earlier one refuses.
    pub loosened: bool,
}

impl Rules {
    /// Removes entries without effect, so that equivalent rules compare equal.
    pub fn normalized(mut self) -> Rules {
        self.classes.retain(|_, terms| *terms != ClassTerms::default());
        self.limits.retain(|_, most| *most != u32::MAX);
        self.ladder = self.ladder.filter(|top| *top != u32::MAX);
        self
    }

    /// The rules that allow exactly what both allow.
    pub fn meet(&self, other: &Rules) -> Rules {
        let mut both = self.clone();
        for (name, terms) in &other.classes {
            let here = both.classes.entry(name.clone()).or_default();
            *here = here.meet(*terms);
        }
        both.ladder = self.ladder.into_iter().chain(other.ladder).min();
        for (limit, most) in &other.limits {
            let here = both.limits.entry(*limit).or_insert(u32::MAX);
            *here = (*here).min(*most);
        }
        for (title, cells) in &other.titles {
            match both.titles.get_mut(title) {
                Some(here) => here.retain(|cell| cells.contains(cell)),
                None => {
                    both.titles.insert(title.clone(), cells.clone());
                }
            }
        }
        both.closed.extend(&other.closed);
        both.refused.extend(other.refused.iter().cloned());
        for (name, order) in &other.boxes {
            let here = both.boxes.entry(name.clone()).or_insert(*order);
            *here = (*here).max(*order);
        }
        both.normalized()
    }

    /// Whether a new session may begin.
    ///
    /// # Errors
    /// The first reason against it, in the order most useful to an operator.
    pub fn allows(&self, asked: &SessionRequest<'_>) -> Result<(), Refusal> {
        let firm = asked.viewer.split_once('/').map(|(firm, _)| RefusedParty::Tenant(firm.to_owned()));
        let refused = |who: &RefusedParty| self.refused.contains(who);
        if refused(&RefusedParty::Viewer(asked.viewer.to_owned())) || firm.as_ref().is_some_and(refused) {
            return Err(Refusal::Party);
        }
        let terms = self.terms(asked.class);
        if !terms.open {
            return Err(Refusal::Class);
        }
        if self.titles.get(asked.title).is_some_and(|cells| cells.is_subset(&self.closed)) {
            return Err(Refusal::Title);
        }
        let most = |limit: Limit| self.limits.get(&limit).copied().unwrap_or(u32::MAX);
        let [all, of_class, of_viewer] = asked.held;
        match () {
            () if of_class >= terms.seats => Err(Refusal::Seats),
            () if all >= most(Limit::SessionsPerFront) => Err(Refusal::Front),
            () if of_viewer >= most(Limit::SessionsPerViewer) => Err(Refusal::Viewer),
            () => Ok(()),
        }
    }

    /// Terms of a class.
    pub fn terms(&self, class: &str) -> ClassTerms {
        self.classes.get(class).copied().unwrap_or_default()
    }

    /// Highest rung of new sessions of a class.
    pub fn top_rung(&self, class: &str) -> u32 {
        self.terms(class).top_rung.min(self.ladder.unwrap_or(u32::MAX))
    }

    /// Whether these rules allow a title to be served from a cell.
    pub fn allows_cell(&self, title: &str, cell: u32) -> bool {
        !self.closed.contains(&cell) && self.titles.get(title).is_none_or(|cells| cells.contains(&cell))
    }

    /// Whether these rules allow nothing that the other rules refuse.
    pub fn tightens(&self, other: &Rules) -> bool {
        self.meet(other) == self.clone().normalized()
    }

    /// What the later of two versions changes, one entry for each name.
    pub fn contradictions(earlier: &Rules, later: &Rules) -> Vec<Contradiction> {
        let mut found = Vec::new();
        let mut one = |kind: &'static str, name: String, part: &dyn Fn(&Rules) -> Rules| {
            let (a, b) = (part(earlier).normalized(), part(later).normalized());
            if a != b {
                let meet = a.meet(&b);
                found.push(Contradiction { kind, name, tightened: meet != a, loosened: meet != b });
            }
        };
        let names = |of: &dyn Fn(&Rules) -> Vec<String>| -> BTreeSet<String> {
            of(earlier).into_iter().chain(of(later)).collect()
        };
        for name in names(&|rules| rules.classes.keys().cloned().collect()) {
            one("class", name.clone(), &|rules| Rules {
                classes: rules
                    .classes
                    .get_key_value(&name)
                    .map(|(k, v)| (k.clone(), *v))
                    .into_iter()
                    .collect(),
                ..Rules::default()
            });
        }
        one("ladder", String::new(), &|rules| Rules { ladder: rules.ladder, ..Rules::default() });
        for limit in [Limit::SessionsPerFront, Limit::SessionsPerViewer] {
            one("limit", limit.to_string(), &|rules| Rules {
                limits: rules.limits.get(&limit).map(|most| (limit, *most)).into_iter().collect(),
                ..Rules::default()
            });
        }
        for name in names(&|rules| rules.titles.keys().cloned().collect()) {
            one("title", name.clone(), &|rules| Rules {
                titles: rules
                    .titles
                    .get(&name)
                    .map(|cells| (name.clone(), cells.clone()))
                    .into_iter()
                    .collect(),
                ..Rules::default()
            });
        }
        for cell in earlier.closed.symmetric_difference(&later.closed) {
            one("cell", cell.to_string(), &|rules| Rules {
                closed: rules.closed.get(cell).copied().into_iter().collect(),
                ..Rules::default()
            });
        }
        for who in earlier.refused.symmetric_difference(&later.refused) {
            one("refused", who.to_string(), &|rules| Rules {
                refused: rules.refused.get(who).cloned().into_iter().collect(),
                ..Rules::default()
            });
        }
        for name in names(&|rules| rules.boxes.keys().cloned().collect()) {
            one("box", name.clone(), &|rules| Rules {
                boxes: rules.boxes.get(&name).map(|order| (name.clone(), *order)).into_iter().collect(),
                ..Rules::default()
            });
        }
        found
    }
}

impl Limit {
    /// Name of the limit in settings.
    pub fn name(self) -> &'static str {
        match self {
            Limit::SessionsPerFront => "sessions-per-front",
            Limit::SessionsPerViewer => "sessions-per-viewer",
        }
    }
}

impl fmt::Display for Limit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl fmt::Display for RefusedParty {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RefusedParty::Tenant(name) => write!(f, "firm {name}"),
            RefusedParty::Viewer(name) => write!(f, "viewer {name}"),
        }
    }
}
