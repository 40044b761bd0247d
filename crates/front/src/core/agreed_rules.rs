//! Rules that fronts agree on, as this front's ledger heeds them: fitted to the places and numbers of its settings, and
//! looked at again where an act is about to be written. Without accord nothing is asked and nothing changes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use salttally::interface::{ServerEntry, ServerId, ServerState, TitleId, ViewerId};
use salttally_accord::core::heirs::Heirs;
use salttally_accord::core::rules::{Limit, Order, Refusal, Rules, Who};
use salttally_accord::core::stand::Stand;

use super::{Micros, OpenRequest};

/// What rules name, as the settings have it.
#[derive(Clone, Debug, Default)]
pub struct SettingsNames {
    /// Classes in the settings' order.
    pub classes: Vec<String>,
    /// Titles.
    pub titles: BTreeMap<TitleId, String>,
    /// Number of a viewer, or of a firm, by its name.
    pub viewer: Option<fn(&str) -> ViewerId>,
}

/// One version's rules, fitted.
#[derive(Clone, Debug, Default, PartialEq)]
struct Fitted {
    refused: BTreeSet<ViewerId>,
    firms: BTreeSet<ViewerId>,
    open: Vec<bool>,
    ends: Vec<bool>,
    top: Vec<usize>,
    seats: Vec<u32>,
    titles: BTreeMap<TitleId, BTreeSet<u32>>,
    closed: BTreeSet<u32>,
    per_front: u32,
    per_viewer: u32,
    boxes: BTreeMap<ServerId, Order>,
}

impl Fitted {
    fn new(rules: &Rules, names: &SettingsNames) -> Fitted {
        let number = |name: &str| names.viewer.map(|viewer| viewer(name));
        let whos = |firms: bool| {
            let one = move |who: &Who| match who {
                Who::Firm(name) if firms => number(name),
                Who::Viewer(name) if !firms => number(name),
                _ => None,
            };
            rules.refused.iter().filter_map(one).collect()
        };
        let terms = |class: &String| rules.terms(class);
        let titles = names.titles.iter();
        let most = |limit| rules.limits.get(&limit).copied().unwrap_or(u32::MAX);
        Fitted {
            refused: whos(false),
            firms: whos(true),
            open: names.classes.iter().map(|class| terms(class).open).collect(),
            ends: names.classes.iter().map(|class| terms(class).ends).collect(),
            top: names.classes.iter().map(|class| rules.top_rung(class) as usize).collect(),
            seats: names.classes.iter().map(|class| terms(class).seats).collect(),
            titles: titles.filter_map(|(id, name)| Some((*id, rules.titles.get(name)?.clone()))).collect(),
            closed: rules.closed.clone(),
            per_front: most(Limit::SessionsPerFront),
            per_viewer: most(Limit::SessionsPerViewer),
            // A box is named by its number, as in the list.
            boxes: rules
                .boxes
                .iter()
                .filter_map(|(name, order)| Some((ServerId(name.parse().ok()?), *order)))
                .collect(),
        }
    }

    fn lies(&self, title: TitleId, cell: u32) -> bool {
        !self.closed.contains(&cell) && self.titles.get(&title).is_none_or(|cells| cells.contains(&cell))
    }
}

/// How many sessions are held: of all, of a class, of a viewer; asked only where a rule counts them.
pub trait SessionCounts {
    /// All of this front.
    fn all(&self) -> usize;
    /// Of the class at this place.
    fn of_class(&self, class: usize) -> usize;
    /// Of this viewer.
    fn of_viewer(&self, viewer: ViewerId) -> usize;
}

/// What this front may do by the rules that are agreed on.
#[derive(Clone, Debug)]
pub struct AgreedRules {
    names: Arc<SettingsNames>,
    /// Nothing, until the front has been told for the first time.
    stand: Option<Stand>,
    agreed: Fitted,
    meet: Fitted,
    /// The time by the clock of leases.
    now: Micros,
}

impl AgreedRules {
    /// Of a front that has not been told anything yet: it takes no session.
    pub fn new(names: SettingsNames) -> AgreedRules {
        let (agreed, meet) = (Fitted::default(), Fitted::default());
        AgreedRules { names: Arc::new(names), stand: None, agreed, meet, now: 0 }
    }

    /// The time by the clock of leases.
    pub fn set_lease_time(&mut self, now: Micros) {
        self.now = self.now.max(now);
    }

    /// What the front stands on has changed; returns whether the rules have.
    pub fn update(&mut self, stand: Stand) -> bool {
        let same = |old: &Stand| old.agreed == stand.agreed && old.meet == stand.meet;
        let changed = !self.stand.as_ref().is_some_and(same);
        if changed {
            self.agreed = Fitted::new(&stand.agreed, &self.names);
            self.meet = Fitted::new(&stand.meet, &self.names);
        }
        self.stand = Some(stand);
        changed
    }

    /// Until when what may be done now may be done, by the clock of leases, if nothing else is told.
    pub fn valid_until(&self) -> Micros {
        self.stand.as_ref().map_or(0, |stand| if self.now < stand.until { stand.until } else { stand.alone })
    }

    /// What rules name, as the settings have it.
    pub fn names(&self) -> Arc<SettingsNames> {
        Arc::clone(&self.names)
    }

    /// The epoch by which a front that lives `own` may act for a life now; nothing if it may not.
    pub fn epoch(&self, own: &str, life: &str) -> Option<u64> {
        self.stand.as_ref()?.epoch(self.now, own, life)
    }

    /// Who goes on with whose promises.
    pub fn successors(&self) -> Arc<Heirs> {
        self.stand.as_ref().map(|stand| Arc::clone(&stand.heirs)).unwrap_or_default()
    }

    fn in_force(&self) -> Result<&Fitted, Refusal> {
        match &self.stand {
            Some(stand) if self.now < stand.until => Ok(&self.agreed),
            Some(stand) if self.now < stand.alone => Ok(&self.meet),
            _ => Err(Refusal::Lease),
        }
    }

    /// Whether a session of this opening may begin, with `held` sessions before it.
    ///
    /// # Errors
    /// Why not.
    pub fn check_new(&self, opening: &OpenRequest, held: &impl SessionCounts) -> Result<(), Refusal> {
        self.check_accepted(opening)?;
        let fitted = self.in_force()?;
        let seats = fitted.seats.get(opening.class).copied().unwrap_or(u32::MAX);
        let over = |most: u32, held: &dyn Fn() -> usize| most != u32::MAX && held() >= most as usize;
        match () {
            () if over(seats, &|| held.of_class(opening.class)) => Err(Refusal::Seats),
            () if over(fitted.per_front, &|| held.all()) => Err(Refusal::Front),
            () if over(fitted.per_viewer, &|| held.of_viewer(opening.viewer)) => Err(Refusal::Viewer),
            () => Ok(()),
        }
    }

    /// The same for a session that is counted already.
    ///
    /// # Errors
    /// Why not.
    pub fn check_accepted(&self, opening: &OpenRequest) -> Result<(), Refusal> {
        let fitted = self.in_force()?;
        let firm = opening.tenant.is_some_and(|firm| fitted.firms.contains(&firm));
        if firm || fitted.refused.contains(&opening.viewer) {
            return Err(Refusal::Who);
        }
        if !fitted.open.get(opening.class).copied().unwrap_or(true) {
            return Err(Refusal::Class);
        }
        if self.cells(opening, 1).is_none() {
            return Err(Refusal::Title);
        }
        Ok(())
    }

    /// Narrows an opening to what the rules leave of it: its highest rung, and the longest row of cells. `cells` is how
    /// many the fleet has.
    pub fn restrict(&self, opening: &mut OpenRequest, cells: u32) {
        let Ok(fitted) = self.in_force() else { return };
        let top = fitted.top.get(opening.class).copied().unwrap_or(usize::MAX);
        opening.top_rung = opening.top_rung.min(top);
        if let Some((first, count)) = self.cells(opening, cells) {
            (opening.first_cell, opening.cell_count) = (first, count);
        }
    }

    /// The longest row of an opening's cells that are left.
    fn cells(&self, opening: &OpenRequest, cells: u32) -> Option<(u32, u32)> {
        let fitted = self.in_force().ok()?;
        let (mut best, mut row) = (None, (opening.first_cell, 0));
        for step in 0..opening.cell_count {
            let cell = opening.first_cell.wrapping_add(step);
            let cell = if cells > 1 { cell % cells } else { cell };
            if !fitted.lies(opening.title, cell) {
                row.1 = 0;
                continue;
            }
            row = if row.1 == 0 { (cell, 1) } else { (row.0, row.1 + 1) };
            if best.is_none_or(|(_, count)| row.1 > count) {
                best = Some(row);
            }
        }
        best
    }

    /// Whether what plays in this class is to end.
    pub fn ends_playing(&self, class: usize) -> bool {
        let of = |which: &Vec<bool>| which.get(class).copied().unwrap_or(false);
        // Only what is agreed on ends sessions, with or without a lease.
        !self.agreed.open.get(class).copied().unwrap_or(true) && of(&self.agreed.ends)
    }

    /// Whether an operator has ordered that nothing new is set up at this box.
    pub fn box_held(&self, server: ServerId) -> bool {
        self.agreed.boxes.contains_key(&server) || self.meet.boxes.contains_key(&server)
    }

    /// A line of the box list as an operator has overruled it.
    pub fn apply_box_order(&self, entry: &mut ServerEntry) {
        let drains = self.agreed.boxes.get(&entry.server) == Some(&Order::Drain);
        if drains && entry.state == ServerState::Ready {
            entry.state = ServerState::Draining;
        }
    }
}
