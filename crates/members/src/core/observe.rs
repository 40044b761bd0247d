//! What single fronts observe, put together: who is to leave the view.
//!
//! Each front publishes whom it cannot reach, as one row with a version. A front leaves the view when more than half
//! of all members cannot reach it: so nobody whom a majority reaches is removed, and a minority that is cut off
//! removes nobody. Rapid's almost-everywhere detection (section 4.2) has a low and a high mark; here, too, nothing is
//! removed while somebody else stands between them, for a bounded time, so that removals of one cause come in one
//! step. At the low mark everybody looks for itself: the few observers of a front are no majority.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::view::View;
use super::Micros;

/// Most that one row accuses; the rest follows when these are gone.
pub const MOST_ACCUSED: usize = 100;

/// Whom one front cannot reach, by marks.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Row {
    /// Mark of the observer.
    pub by: u32,
    /// Its count of rows; a later one takes the place of an earlier one.
    pub version: u32,
    /// Marks of those that it cannot reach, in order.
    pub accused: Vec<u32>,
}

/// What a row was to whoever heard it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// Nothing new.
    Known,
    /// A later version that accuses the same.
    Renewed,
    /// It accuses others than before.
    New,
}

#[derive(Clone, Debug)]
struct Kept {
    row: Row,
    at: Micros,
}

/// The rows of all observers.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    rows: BTreeMap<u32, Kept>,
}

/// The marks that count for a view of so many: low, at which all look for themselves, and high, from which on a
/// front is removed.
pub fn marks(members: usize) -> (usize, usize) {
    let high = members / 2 + 1;
    (high.saturating_sub(1).clamp(1, 3), high)
}

impl Observations {
    /// Takes in a row; returns whether it is news: one that is only renewed is less so.
    pub fn hear(&mut self, now: Micros, row: &Row) -> Heard {
        let kept = self.rows.get(&row.by);
        if kept.is_some_and(|kept| kept.row.version >= row.version) || row.accused.len() > MOST_ACCUSED {
            return Heard::Known;
        }
        let same = kept.is_some_and(|kept| kept.row.accused == row.accused);
        self.rows.insert(row.by, Kept { row: row.clone(), at: now });
        if same {
            Heard::Renewed
        } else {
            Heard::New
        }
    }

    /// The row of an observer, to be passed on.
    pub fn row(&self, by: u32) -> Option<&Row> {
        self.rows.get(&by).map(|kept| &kept.row)
    }

    /// Whether anybody accuses anybody.
    pub fn quiet(&self) -> bool {
        self.rows.values().all(|kept| kept.row.accused.is_empty())
    }

    /// Forgets rows of observers that are no members, and rows that were not renewed in time: an observer that has
    /// stopped accuses nobody.
    pub fn age(&mut self, now: Micros, life: Micros, view: &View) {
        self.rows.retain(|by, kept| {
            if kept.at + life <= now {
                // The version stays, so that the row that comes late is not news again.
                kept.row.accused.clear();
            }
            view.has_mark(*by)
        });
    }

    /// By how many members each member is accused.
    pub fn tally(&self, view: &View) -> BTreeMap<u32, usize> {
        let mut tally = BTreeMap::new();
        if view.has_twins() {
            // Two members of one mark cannot be told apart by it: until one has gone, nobody is removed.
            return tally;
        }
        for (by, kept) in self.rows.iter().filter(|(by, _)| view.has_mark(**by)) {
            for mark in kept.row.accused.iter().filter(|mark| *mark != by && view.has_mark(**mark)) {
                *tally.entry(*mark).or_insert(0) += 1;
            }
        }
        tally
    }

    /// Who accuses this member.
    pub fn accusers(&self, mark: u32) -> impl Iterator<Item = u32> + '_ {
        self.rows.iter().filter(move |(_, kept)| kept.row.accused.contains(&mark)).map(|(by, _)| *by)
    }

    /// The process was not running: whatever was observed is from before.
    pub fn woke(&mut self) {
        self.rows.values_mut().for_each(|kept| kept.row.accused.clear());
    }
}

/// When those over the high mark leave the view.
#[derive(Clone, Debug, Default)]
pub struct Cut {
    over: BTreeMap<u32, Micros>,
}

/// A thin majority must last so many times as long.
pub const THIN: Micros = 15;

/// All others together, where they are no more than a bare majority, so many times. Danger: of three, one that is cut
/// off doubts the second by itself, and the third's doubt, taken back since, is the last that it heard; found by the
/// hunt. LocalConfig doubt (1 s of silence) and this are longer than rows live.
pub const ALL: Micros = 8;

/// Times of a cut.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// Over the high mark for so long without a break, and for [`THIN`] times as long while hardly more than half of
    /// all accuse. Danger: where nearly half cannot reach a front for good, one accusation by chance makes the
    /// majority; it is taken back by the next answer. Found by the hunt.
    pub confirm: Micros,
    /// Others between the marks are awaited for so long.
    pub settle: Micros,
}

impl Cut {
    /// The marks of those that leave now.
    pub fn decide(
        &mut self,
        now: Micros,
        tally: &BTreeMap<u32, usize>,
        members: usize,
        patience: Patience,
    ) -> Vec<u32> {
        let (low, high) = marks(members);
        self.over.retain(|mark, _| tally.get(mark).is_some_and(|count| *count >= high));
        for (mark, _) in tally.iter().filter(|(_, count)| **count >= high) {
            self.over.entry(*mark).or_insert(now);
        }
        let Some(first) = self.over.values().min().copied() else { return Vec::new() };
        let factor = |count: usize| match count {
            _ if count >= high + (members / 10).max(1) => 1,
            _ if count + 1 >= members => ALL,
            _ => THIN,
        };
        let sure = |(mark, since): &(&u32, &Micros)| {
            *since + patience.confirm * tally.get(*mark).map_or(THIN, |count| factor(*count)) <= now
        };
        let between = tally.values().any(|count| (low..high).contains(count));
        let unsettled = between || !self.over.iter().all(|one| sure(&one));
        if unsettled && now < first + patience.settle {
            return Vec::new();
        }
        self.over.iter().filter(sure).map(|(mark, _)| *mark).collect()
    }

    /// The process was not running.
    pub fn woke(&mut self) {
        self.over.clear();
    }
}
