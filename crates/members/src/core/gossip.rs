//! Dissemination of updates. Updates are piggybacked on pings and pongs, and while there are new ones, also sent to a
//! few random members in messages of their own (infection style, SWIM section 4.1). Each update is sent a number of
//! times that grows with the logarithm of the number of members, the least-sent first, within a byte limit per
//! message.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::observe::{Observations, Row};
use super::view::{Fact, Name, View};

/// Maximum size of the updates in one message, in bytes; with envelope and authentication a datagram stays under 1,200.
pub const MAX_UPDATE_BYTES: usize = 980;

/// Updates in one message.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct Updates {
    /// Joins and departures.
    pub facts: Vec<Fact>,
    /// Unreachable fronts, grouped by observers that accuse the same ones.
    pub rows: Vec<RowGroup>,
}

/// Observers whose rows accuse the same fronts: after the loss of many fronts, nearly all rows are equal.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct RowGroup {
    /// Short ids of the accused, ascending.
    pub accused: Vec<u32>,
    /// Short ids of the observers and the versions of their rows.
    pub by: Vec<(u32, u32)>,
}

impl Updates {
    /// Whether there are no updates.
    pub fn is_empty(&self) -> bool {
        self.facts.is_empty() && self.rows.is_empty()
    }

    /// All rows, ungrouped.
    pub fn each_row(&self) -> impl Iterator<Item = Row> + '_ {
        self.rows.iter().flat_map(|group| {
            group.by.iter().map(|(by, version)| Row {
                by: *by,
                version: *version,
                accused: group.accused.clone(),
            })
        })
    }
}

/// Maximum encoded size of a fact, in bytes.
pub fn max_encoded_size(fact: &Fact) -> usize {
    fact.name.len() + 1 + 20 + 10 + 5 + 5 + 21
}

/// Keys with the number of transmissions that each has left; those with the most left come first.
#[derive(Clone, Debug)]
struct Queue<K> {
    remaining: BTreeMap<K, u32>,
    order: BTreeSet<(u32, K)>,
}

impl<K> Default for Queue<K> {
    fn default() -> Self {
        Queue { remaining: BTreeMap::new(), order: BTreeSet::new() }
    }
}

impl<K: Ord + Clone> Queue<K> {
    fn set(&mut self, key: K, times: u32) {
        if let Some(before) = self.remaining.remove(&key) {
            self.order.remove(&(before, key.clone()));
        }
        if times > 0 {
            self.order.insert((times, key.clone()));
            self.remaining.insert(key, times);
        }
    }

    fn is_empty(&self) -> bool {
        self.remaining.is_empty()
    }

    /// Passes the keys to `send` in order until it answers `Full`, and counts a transmission for each that it has sent.
    /// Keys that are `Unknown` to it are dropped.
    fn send_in_order(&mut self, mut send: impl FnMut(&K) -> SendResult) {
        let mut sent = Vec::new();
        for (times, key) in self.order.iter().rev() {
            match send(key) {
                SendResult::Sent => sent.push((key.clone(), times - 1)),
                SendResult::Unknown => sent.push((key.clone(), 0)),
                SendResult::Full => break,
            }
        }
        sent.into_iter().for_each(|(key, times)| self.set(key, times));
    }
}

enum SendResult {
    Sent,
    Unknown,
    Full,
}

/// The updates that are still to be disseminated.
#[derive(Clone, Debug, Default)]
pub struct Gossip {
    facts: Queue<Name>,
    rows: Queue<u32>,
    /// Number of rounds of standalone messages left; renewed rows are only piggybacked.
    standalone_rounds_left: u32,
}

fn transmissions(member_count: usize) -> u32 {
    3 * (usize::BITS - member_count.leading_zeros()) + 3
}

impl Gossip {
    /// Queues a fact for dissemination.
    pub fn queue_fact(&mut self, name: &Name, member_count: usize) {
        self.facts.set(Name::clone(name), transmissions(member_count));
        self.standalone_rounds_left = transmissions(member_count);
    }

    /// Queues the row of an observer; `renewed` if it accuses the same fronts as its previous version.
    pub fn queue_row(&mut self, by: u32, member_count: usize, renewed: bool) {
        self.rows.set(by, transmissions(member_count));
        if !renewed {
            self.standalone_rounds_left = transmissions(member_count);
        }
    }

    /// Whether to send standalone messages in this round; counts the round.
    pub fn take_standalone_round(&mut self) -> bool {
        let nothing_queued = self.facts.is_empty() && self.rows.is_empty();
        self.standalone_rounds_left =
            if nothing_queued { 0 } else { self.standalone_rounds_left.saturating_sub(1) };
        self.standalone_rounds_left > 0
    }

    /// The updates for one message, each counted as sent once more.
    pub fn take_updates(&mut self, view: &View, observations: &Observations) -> Updates {
        let (mut bytes_left, mut updates) = (MAX_UPDATE_BYTES, Updates::default());
        self.facts.send_in_order(|name| {
            let Some(fact) = view.get(name) else { return SendResult::Unknown };
            if max_encoded_size(fact) > bytes_left {
                return SendResult::Full;
            }
            bytes_left -= max_encoded_size(fact);
            updates.facts.push(fact.clone());
            SendResult::Sent
        });
        let mut groups: BTreeMap<&[u32], Vec<(u32, u32)>> = BTreeMap::new();
        self.rows.send_in_order(|by| {
            let Some(row) = observations.row(*by) else { return SendResult::Unknown };
            let group_exists = groups.contains_key(row.accused.as_slice());
            let row_bytes = 10 + if group_exists { 0 } else { 4 + 5 * row.accused.len() };
            if row_bytes > bytes_left {
                return SendResult::Full;
            }
            bytes_left -= row_bytes;
            groups.entry(&row.accused).or_default().push((*by, row.version));
            SendResult::Sent
        });
        updates.rows =
            groups.into_iter().map(|(accused, by)| RowGroup { accused: accused.to_vec(), by }).collect();
        updates
    }
}
