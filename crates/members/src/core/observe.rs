//! Combines the observations of all fronts and decides which members leave the view.
//!
//! Each front publishes the members that it cannot reach, as one row with a version. A member leaves the view when more
//! than half of all members cannot reach it, so no member that a majority reaches is removed, and a minority that is
//! cut off removes nobody. As in Rapid's almost-everywhere detection (section 4.2), there are a low and a high
//! threshold, and nothing is removed, for a bounded time, while another member is between them, so that removals with
//! one cause happen in one step. Once a member reaches the low threshold, all fronts probe it themselves, since its few
//! observers are no majority.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::view::View;
use super::Micros;

/// Maximum number of members that one row accuses; further ones follow when these have been removed.
pub const MAX_ACCUSED_PER_ROW: usize = 100;

/// The members that one front cannot reach, by short id.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct Row {
    /// Short id of the observer.
    pub by: u32,
    /// Version of the observer's row; a later one replaces an earlier one.
    pub version: u32,
    /// Short ids of the members that it cannot reach, ascending.
    pub accused: Vec<u32>,
}

/// What a received row adds to the stored one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RowNovelty {
    /// The stored version is as recent, or the row is too long.
    Known,
    /// A later version that accuses the same members.
    Renewed,
    /// It accuses other members than before.
    New,
}

#[derive(Clone, Debug)]
struct StoredRow {
    row: Row,
    at: Micros,
}

/// The latest rows of all observers.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    rows: BTreeMap<u32, StoredRow>,
}

/// The thresholds for a view of `member_count` members: low, at which all fronts probe the accused themselves, and
/// high, at which it is removed.
pub fn thresholds(member_count: usize) -> (usize, usize) {
    let high = member_count / 2 + 1;
    (high.saturating_sub(1).clamp(1, 3), high)
}

impl Observations {
    /// Stores a row if it is newer than the stored one, and returns what it adds.
    pub fn store(&mut self, now: Micros, row: &Row) -> RowNovelty {
        let stored = self.rows.get(&row.by);
        if stored.is_some_and(|stored| stored.row.version >= row.version)
            || row.accused.len() > MAX_ACCUSED_PER_ROW
        {
            return RowNovelty::Known;
        }
        let same = stored.is_some_and(|stored| stored.row.accused == row.accused);
        self.rows.insert(row.by, StoredRow { row: row.clone(), at: now });
        if same {
            RowNovelty::Renewed
        } else {
            RowNovelty::New
        }
    }

    /// The latest row of an observer.
    pub fn row(&self, by: u32) -> Option<&Row> {
        self.rows.get(&by).map(|stored| &stored.row)
    }

    /// Whether no row accuses any member.
    pub fn has_no_accusations(&self) -> bool {
        self.rows.values().all(|stored| stored.row.accused.is_empty())
    }

    /// Drops the rows of observers that aren't members, and the accusations of rows not renewed within `lifetime`: an
    /// observer that has stopped accuses nobody.
    pub fn expire(&mut self, now: Micros, lifetime: Micros, view: &View) {
        self.rows.retain(|by, stored| {
            if stored.at + lifetime <= now {
                // The version is kept, so that a delayed copy of the row doesn't count as new.
                stored.row.accused.clear();
            }
            view.has_short_id(*by)
        });
    }

    /// Number of other members that accuse each member, by short id.
    pub fn accusation_counts(&self, view: &View) -> BTreeMap<u32, usize> {
        let mut counts = BTreeMap::new();
        if view.has_short_id_collision() {
            // Two members with the same short id can't be told apart: nobody is removed until one of them has left.
            return counts;
        }
        for (by, stored) in self.rows.iter().filter(|(by, _)| view.has_short_id(**by)) {
            for accused in stored.row.accused.iter().filter(|id| *id != by && view.has_short_id(**id)) {
                *counts.entry(*accused).or_insert(0) += 1;
            }
        }
        counts
    }

    /// Short ids of the observers that accuse this member.
    pub fn accusers(&self, short_id: u32) -> impl Iterator<Item = u32> + '_ {
        self.rows.iter().filter(move |(_, stored)| stored.row.accused.contains(&short_id)).map(|(by, _)| *by)
    }

    /// Clears all accusations after this process was not running: they are outdated.
    pub fn reset_after_pause(&mut self) {
        self.rows.values_mut().for_each(|stored| stored.row.accused.clear());
    }
}

/// Decides when members that reach the high threshold leave the view, several at once if possible.
#[derive(Clone, Debug, Default)]
pub struct CutDetector {
    at_high_since: BTreeMap<u32, Micros>,
}

/// Factor on the confirmation time while hardly more than half of all members accuse.
pub const THIN_MAJORITY_FACTOR: Micros = 15;

/// Factor on the confirmation time while all other members accuse but are no more than a bare majority. Danger: of
/// three fronts, one that is cut off accuses the second by itself, and the last row that it received from the third
/// still accuses the second although the third has withdrawn that since. The silence before an own accusation (1 s) and
/// this time are together longer than the lifetime of rows.
pub const ALL_OTHERS_FACTOR: Micros = 8;

/// Timing of removals.
#[derive(Clone, Copy, Debug)]
pub struct CutTimes {
    /// A member is removed when it has been at or above the high threshold for this long without a break, or for
    /// [`THIN_MAJORITY_FACTOR`] times as long while hardly more than half of all accuse it. Danger: where nearly half of
    /// all fronts permanently can't reach a member, a single accusation by chance completes the majority, and the next
    /// answer withdraws it.
    pub confirm_time: Micros,
    /// Removals wait at most this long for other members that are between the thresholds.
    pub settle_time: Micros,
}

impl CutDetector {
    /// The short ids of the members to remove now.
    pub fn decide(
        &mut self,
        now: Micros,
        counts: &BTreeMap<u32, usize>,
        member_count: usize,
        times: CutTimes,
    ) -> Vec<u32> {
        let (low, high) = thresholds(member_count);
        self.at_high_since.retain(|id, _| counts.get(id).is_some_and(|count| *count >= high));
        for (id, _) in counts.iter().filter(|(_, count)| **count >= high) {
            self.at_high_since.entry(*id).or_insert(now);
        }
        let Some(first) = self.at_high_since.values().min().copied() else { return Vec::new() };
        let factor = |count: usize| match count {
            _ if count >= high + (member_count / 10).max(1) => 1,
            _ if count + 1 >= member_count => ALL_OTHERS_FACTOR,
            _ => THIN_MAJORITY_FACTOR,
        };
        let is_confirmed = |(id, since): &(&u32, &Micros)| {
            *since + times.confirm_time * counts.get(*id).map_or(THIN_MAJORITY_FACTOR, |count| factor(*count))
                <= now
        };
        let between_thresholds = counts.values().any(|count| (low..high).contains(count));
        let unsettled = between_thresholds || !self.at_high_since.iter().all(|entry| is_confirmed(&entry));
        if unsettled && now < first + times.settle_time {
            return Vec::new();
        }
        self.at_high_since.iter().filter(is_confirmed).map(|(id, _)| *id).collect()
    }

    /// Restarts all confirmation times after this process was not running.
    pub fn reset_after_pause(&mut self) {
        self.at_high_since.clear();
    }
}
