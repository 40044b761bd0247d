//! The rules that the fronts have agreed on, resolved to the indices of this front's settings. They are
//! checked again when a request is about to be written. Without accord there are no rules, and nothing is
//! checked.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use salttally::interface::{ServerEntry, ServerId, ServerState, TitleId, ViewerId};
use salttally_accord::core::coordination::CoordinationState;
use salttally_accord::core::rules::{Limit, Order, Refusal, RefusedParty, Rules};
use salttally_accord::core::successors::Successors;

use super::{Micros, OpenRequest};

/// The names in the settings, as the rules use them.
#[derive(Clone, Debug, Default)]
pub struct SettingsNames {
    /// Class names, in the order of the settings.
    pub classes: Vec<String>,
    /// Title names.
    pub titles: BTreeMap<TitleId, String>,
    /// Computes the number of a viewer or tenant from its name.
    pub viewer: Option<fn(&str) -> ViewerId>,
}

/// One version of the rules, resolved to this front's settings.
#[derive(Clone, Debug, Default, PartialEq)]
struct ResolvedRules {
    refused_viewers: BTreeSet<ViewerId>,
    refused_tenants: BTreeSet<ViewerId>,
    open_classes: Vec<bool>,
    classes_ending_playing: Vec<bool>,
    top_rungs: Vec<usize>,
    class_seats: Vec<u32>,
    title_cells: BTreeMap<TitleId, BTreeSet<u32>>,
    closed_cells: BTreeSet<u32>,
    max_sessions_per_front: u32,
    max_sessions_per_viewer: u32,
    box_orders: BTreeMap<ServerId, Order>,
}

impl ResolvedRules {
    fn new(rules: &Rules, names: &SettingsNames) -> ResolvedRules {
        let number = |name: &str| names.viewer.map(|viewer| viewer(name));
        let refused_by_kind = |tenants: bool| {
            let refused_id = move |who: &RefusedParty| match who {
                RefusedParty::Tenant(name) if tenants => number(name),
                RefusedParty::Viewer(name) if !tenants => number(name),
                _ => None,
            };
            rules.refused.iter().filter_map(refused_id).collect()
        };
        let terms = |class: &String| rules.terms(class);
        let titles = names.titles.iter();
        let limit_or_max = |limit| rules.limits.get(&limit).copied().unwrap_or(u32::MAX);
        ResolvedRules {
            refused_viewers: refused_by_kind(false),
            refused_tenants: refused_by_kind(true),
            open_classes: names.classes.iter().map(|class| terms(class).open).collect(),
            classes_ending_playing: names.classes.iter().map(|class| terms(class).ends).collect(),
            top_rungs: names.classes.iter().map(|class| rules.top_rung(class) as usize).collect(),
            class_seats: names.classes.iter().map(|class| terms(class).seats).collect(),
            title_cells: titles
                .filter_map(|(id, name)| Some((*id, rules.titles.get(name)?.clone())))
                .collect(),
            closed_cells: rules.closed.clone(),
            max_sessions_per_front: limit_or_max(Limit::SessionsPerFront),
            max_sessions_per_viewer: limit_or_max(Limit::SessionsPerViewer),
            // Boxes are named by their numbers, as in the box list.
            box_orders: rules
                .boxes
                .iter()
                .filter_map(|(name, order)| Some((ServerId(name.parse().ok()?), *order)))
                .collect(),
        }
    }

    fn is_available(&self, title: TitleId, cell: u32) -> bool {
        !self.closed_cells.contains(&cell)
            && self.title_cells.get(&title).is_none_or(|cells| cells.contains(&cell))
    }
}

/// Numbers of current sessions, counted only where a rule limits them.
pub trait SessionCounts {
    /// All sessions of this front.
    fn total(&self) -> usize;
    /// Sessions of the class with this index.
    fn of_class(&self, class: usize) -> usize;
    /// Sessions of this viewer.
    fn of_viewer(&self, viewer: ViewerId) -> usize;
}

/// What the agreed rules and the lease allow this front to do.
#[derive(Clone, Debug)]
pub struct AgreedRules {
    names: Arc<SettingsNames>,
    /// `None` until the first update.
    state: Option<CoordinationState>,
    /// Rules in force with a lease.
    agreed: ResolvedRules,
    /// Rules in force for a while without a lease: the strictest combination of all known ones.
    meet: ResolvedRules,
    /// Current time of the lease clock.
    now: Micros,
}

impl AgreedRules {
    /// Creates the rules of a front without an update yet, which allow no session.
    pub fn new(names: SettingsNames) -> AgreedRules {
        let (agreed, meet) = (ResolvedRules::default(), ResolvedRules::default());
        AgreedRules { names: Arc::new(names), state: None, agreed, meet, now: 0 }
    }

    /// Sets the time of the lease clock.
    pub fn set_lease_time(&mut self, now: Micros) {
        self.now = self.now.max(now);
    }

    /// Replaces the agreed state; returns whether the rules have changed.
    pub fn update(&mut self, state: CoordinationState) -> bool {
        let same = |old: &CoordinationState| old.agreed == state.agreed && old.meet == state.meet;
        let changed = !self.state.as_ref().is_some_and(same);
        if changed {
            self.agreed = ResolvedRules::new(&state.agreed, &self.names);
            self.meet = ResolvedRules::new(&state.meet, &self.names);
        }
        self.state = Some(state);
        changed
    }

    /// Until when the current permissions hold, by the lease clock, unless there is an update.
    pub fn valid_until(&self) -> Micros {
        self.state.as_ref().map_or(0, |state| {
            if self.now < state.lease_until {
                state.lease_until
            } else {
                state.grace_until
            }
        })
    }

    /// The names in the settings.
    pub fn names(&self) -> Arc<SettingsNames> {
        Arc::clone(&self.names)
    }

    /// The epoch under which a front with incarnation `own` may act for `incarnation` now; `None` if it may
    /// not.
    pub fn epoch(&self, own: &str, incarnation: &str) -> Option<u64> {
        self.state.as_ref()?.acting_epoch(self.now, own, incarnation)
    }

    /// The successors of incarnations.
    pub fn successors(&self) -> Arc<Successors> {
        self.state.as_ref().map(|state| Arc::clone(&state.successors)).unwrap_or_default()
    }

    fn in_force(&self) -> Result<&ResolvedRules, Refusal> {
        match &self.state {
            Some(state) if self.now < state.lease_until => Ok(&self.agreed),
            Some(state) if self.now < state.grace_until => Ok(&self.meet),
            _ => Err(Refusal::Lease),
        }
    }

    /// Checks whether a new session may begin with this request, given the sessions so far.
    ///
    /// # Errors
    /// The rule that forbids it.
    pub fn check_new(&self, request: &OpenRequest, counts: &impl SessionCounts) -> Result<(), Refusal> {
        self.check_accepted(request)?;
        let rules = self.in_force()?;
        let seats = rules.class_seats.get(request.class).copied().unwrap_or(u32::MAX);
        let reaches = |limit: u32, count: &dyn Fn() -> usize| limit != u32::MAX && count() >= limit as usize;
        match () {
            () if reaches(seats, &|| counts.of_class(request.class)) => Err(Refusal::Seats),
            () if reaches(rules.max_sessions_per_front, &|| counts.total()) => Err(Refusal::Front),
            () if reaches(rules.max_sessions_per_viewer, &|| counts.of_viewer(request.viewer)) => {
                Err(Refusal::Viewer)
            }
            () => Ok(()),
        }
    }

    /// Checks a session that has already been accepted and counted.
    ///
    /// # Errors
    /// The rule that forbids it.
    pub fn check_accepted(&self, request: &OpenRequest) -> Result<(), Refusal> {
        let rules = self.in_force()?;
        let tenant_refused = request.tenant.is_some_and(|tenant| rules.refused_tenants.contains(&tenant));
        if tenant_refused || rules.refused_viewers.contains(&request.viewer) {
            return Err(Refusal::Party);
        }
        if !rules.open_classes.get(request.class).copied().unwrap_or(true) {
            return Err(Refusal::Class);
        }
        if self.longest_cell_run(request, 1).is_none() {
            return Err(Refusal::Title);
        }
        Ok(())
    }

    /// Restricts a request to what the rules allow: its top rung, and the longest run of consecutive cells.
    /// `cells` is the number of cells of the fleet.
    pub fn restrict(&self, request: &mut OpenRequest, cells: u32) {
        let Ok(rules) = self.in_force() else { return };
        let top = rules.top_rungs.get(request.class).copied().unwrap_or(usize::MAX);
        request.top_rung = request.top_rung.min(top);
        if let Some((first, count)) = self.longest_cell_run(request, cells) {
            (request.first_cell, request.cell_count) = (first, count);
        }
    }

    /// The longest run of allowed cells of a request: first cell and length.
    fn longest_cell_run(&self, request: &OpenRequest, cells: u32) -> Option<(u32, u32)> {
        let rules = self.in_force().ok()?;
        let (mut best, mut run) = (None, (request.first_cell, 0));
        for step in 0..request.cell_count {
            let cell = request.first_cell.wrapping_add(step);
            let cell = if cells > 1 { cell % cells } else { cell };
            if !rules.is_available(request.title, cell) {
                run.1 = 0;
                continue;
            }
            run = if run.1 == 0 { (cell, 1) } else { (run.0, run.1 + 1) };
            if best.is_none_or(|(_, count)| run.1 > count) {
                best = Some(run);
            }
        }
        best
    }

    /// Whether playing sessions of this class must end.
    pub fn ends_playing(&self, class: usize) -> bool {
        let of = |which: &Vec<bool>| which.get(class).copied().unwrap_or(false);
        // Only agreed rules end sessions, with or without a lease.
        !self.agreed.open_classes.get(class).copied().unwrap_or(true)
            && of(&self.agreed.classes_ending_playing)
    }

    /// Whether an operator has ordered that this box accepts no new sessions.
    pub fn box_held(&self, server: ServerId) -> bool {
        self.agreed.box_orders.contains_key(&server) || self.meet.box_orders.contains_key(&server)
    }

    /// Applies operator orders to an entry of the box list.
    pub fn apply_box_order(&self, entry: &mut ServerEntry) {
        let drains = self.agreed.box_orders.get(&entry.server) == Some(&Order::Drain);
        if drains && entry.state == ServerState::Ready {
            entry.state = ServerState::Draining;
        }
    }
}
