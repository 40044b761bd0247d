//! A front's own promises, and how far each of its holders has them.

use std::collections::{BTreeMap, BTreeSet};

use super::replica::{entry_digest, partition, Change, Replica, PARTITIONS};
use super::{Micros, Name, RecordBody, RecordKey, BATCH_BYTES, RESEND_TIMEOUT};

/// One front that holds copies of this one's promises.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Changes that it has, as it says.
    pub acked: u64,
    /// Changes that are on their way to it, or there.
    pub sent: u64,
    /// When it last said something, or something was first sent after that.
    pub heard: Micros,
    /// Its disk. Danger: a copy that has lost its disk since it acknowledged.
    pub disk: u64,
    /// It has once had all that there was.
    pub filled: bool,
}

/// What goes to a holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// It has all up to here.
    pub from: u64,
    /// And then all up to here.
    pub to: u64,
    /// Nothing between is left out.
    pub whole: bool,
    /// What changed.
    pub changes: Vec<Change>,
}

/// A front's own promises.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Owner {
    number: u64,
    entries: BTreeMap<RecordKey, (u64, Option<RecordBody>)>,
    order: BTreeMap<u64, RecordKey>,
    digests: [u64; PARTITIONS],
    live_records: usize,
    /// Those that hold copies.
    pub holders: BTreeMap<Name, Holder>,
    /// Promises that somebody waits for, and until when.
    waiting: BTreeMap<RecordKey, Micros>,
}

impl Owner {
    /// Changes so far.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Promises that stand.
    pub fn live_records(&self) -> usize {
        self.live_records
    }

    /// Promises that somebody waits for.
    pub fn waits(&self) -> usize {
        self.waiting.len()
    }

    /// Digests of the parts, as a whole shelf has them.
    pub fn digests(&self) -> [u64; PARTITIONS] {
        self.digests
    }

    #[cfg(test)]
    pub(crate) fn entries_for_tests(&self) -> BTreeMap<RecordKey, (u64, Option<RecordBody>)> {
        self.entries.clone()
    }

    /// What stands under a key.
    pub fn get(&self, key: &str) -> Option<&RecordBody> {
        self.entries.get(key).and_then(|(_, body)| body.as_ref())
    }

    /// Keys under which something stands.
    pub fn keys(&self) -> impl Iterator<Item = &RecordKey> {
        self.entries.iter().filter(|(_, (_, body))| body.is_some()).map(|(key, _)| key)
    }

    /// A change; nothing ends what stands. Returns it with its number.
    pub fn change(&mut self, key: RecordKey, body: Option<RecordBody>) -> Option<Change> {
        let before = self.entries.get(&key);
        if before.is_none() && body.is_none() {
            return None;
        }
        if let Some((number, old)) = before {
            self.order.remove(number);
            if let Some(old) = old {
                self.digests[partition(&key)] ^= entry_digest(&key, *number, old);
                self.live_records -= 1;
            }
        }
        self.number += 1;
        if let Some(body) = &body {
            self.digests[partition(&key)] ^= entry_digest(&key, self.number, body);
            self.live_records += 1;
        } else {
            self.waiting.remove(&key);
        }
        self.order.insert(self.number, RecordKey::clone(&key));
        self.entries.insert(RecordKey::clone(&key), (self.number, body.clone()));
        Some(Change { key, number: self.number, body })
    }

    /// Somebody waits until this is kept, at most so long.
    pub fn wait(&mut self, key: RecordKey, until: Micros) {
        self.waiting.insert(key, until);
    }

    /// Those waited for that are at enough holders now, and those that waited too long.
    pub fn settled(&mut self, now: Micros, enough: usize) -> (Vec<RecordKey>, Vec<RecordKey>) {
        if self.waiting.is_empty() {
            return (Vec::new(), Vec::new());
        }
        let mut acked: Vec<u64> = self.holders.values().map(|holder| holder.acked).collect();
        acked.sort_unstable_by(|a, b| b.cmp(a));
        // So many changes are at enough holders.
        let sure = if enough == 0 { u64::MAX } else { acked.get(enough - 1).copied().unwrap_or(0) };
        let (mut kept, mut late) = (Vec::new(), Vec::new());
        let entries = &self.entries;
        self.waiting.retain(|key, until| {
            let there = entries.get(key).is_some_and(|(number, _)| *number <= sure);
            match () {
                () if there => kept.push(RecordKey::clone(key)),
                () if *until <= now => late.push(RecordKey::clone(key)),
                () => return true,
            }
            false
        });
        (kept, late)
    }

    /// The earliest time at which somebody has waited too long.
    pub fn next_late(&self) -> Option<Micros> {
        self.waiting.values().min().copied()
    }

    /// A front begins to hold copies.
    pub fn begin(&mut self, now: Micros, name: Name) {
        let holder = Holder { acked: 0, sent: 0, heard: now, disk: 0, filled: false };
        self.holders.insert(name, holder);
    }

    /// A holder says that it has so much, on this disk.
    pub fn acked(&mut self, now: Micros, name: &Name, have: u64, disk: u64) {
        let number = self.number;
        let Some(holder) = self.holders.get_mut(name) else { return };
        holder.heard = now;
        // What it has now counts, also where that is less than it said before.
        let lost = holder.disk != disk && holder.disk != 0;
        holder.disk = disk;
        if have < holder.acked || lost {
            (holder.sent, holder.filled) = (have, false);
        }
        holder.acked = have.min(number);
        holder.sent = holder.sent.max(holder.acked);
        holder.filled |= holder.acked == number;
        let all = self.holders.values().map(|holder| holder.acked).min().unwrap_or(0);
        self.forget(all);
    }

    /// Ends that everybody has are forgotten.
    fn forget(&mut self, all: u64) {
        let ended: Vec<(u64, RecordKey)> = self
            .order
            .range(..=all)
            .filter(|(_, key)| self.entries.get(*key).is_some_and(|(_, body)| body.is_none()))
            .map(|(number, key)| (*number, RecordKey::clone(key)))
            .collect();
        for (number, key) in ended {
            self.order.remove(&number);
            self.entries.remove(&key);
        }
    }

    /// Ends kept at most while holders are behind; beyond that whoever is so far behind is filled anew.
    pub fn bound(&mut self, most: usize) {
        let ended = self.entries.len() - self.live_records;
        if ended > most {
            let number = self.number;
            self.forget(number);
            self.holders.values_mut().filter(|holder| holder.acked < number).for_each(|holder| {
                (holder.acked, holder.sent, holder.filled) = (0, 0, false);
            });
        }
    }

    /// What a holder that does not answer was sent is sent again.
    pub fn again(&mut self, now: Micros) {
        for holder in self.holders.values_mut() {
            if holder.acked < holder.sent && holder.heard + RESEND_TIMEOUT <= now {
                (holder.sent, holder.heard) = (holder.acked, now);
            }
        }
    }

    /// What is to go to a holder now. One that is being filled gets one step at a time.
    pub fn batch(&mut self, now: Micros, name: &Name) -> Option<Batch> {
        let holder = self.holders.get_mut(name)?;
        let (from, number) = (holder.sent, self.number);
        if from >= number || !holder.filled && holder.acked < from {
            return None;
        }
        if holder.acked == holder.sent {
            holder.heard = now;
        }
        let (mut changes, mut size, mut to) = (Vec::new(), 0, number);
        for (at, key) in self.order.range(from + 1..) {
            let Some((_, body)) = self.entries.get(key) else { continue };
            let change = Change { key: RecordKey::clone(key), number: *at, body: body.clone() };
            size += change.size();
            if size > BATCH_BYTES && !changes.is_empty() {
                to = changes.last().map_or(number, |change: &Change| change.number);
                break;
            }
            changes.push(change);
        }
        holder.sent = to;
        Some(Batch { from, to, whole: to == number, changes })
    }

    /// One part, for a holder whose digest differs.
    pub fn partition(&self, which: usize) -> Vec<Change> {
        let there = self.entries.iter().filter(|(key, (_, body))| partition(key) == which && body.is_some());
        there
            .map(|(key, (number, body))| Change {
                key: RecordKey::clone(key),
                number: *number,
                body: body.clone(),
            })
            .collect()
    }

    /// Its promises as a shelf that is whole.
    pub fn replica(&self, name: &Name, boot: u64) -> Replica {
        let mut replica = Replica::new(name, boot);
        replica.entries = self
            .entries
            .iter()
            .filter(|(_, (_, body))| body.is_some())
            .map(|(k, v)| (k.clone(), v.clone()))
            .collect();
        (replica.head.applied, replica.head.complete) = (self.number, true);
        replica.head.holders = self.group();
        replica
    }

    /// Who holds copies.
    pub fn group(&self) -> Vec<Name> {
        self.holders.keys().cloned().collect()
    }

    /// Holders that have once had all.
    pub fn filled(&self) -> BTreeSet<Name> {
        let filled = self.holders.iter().filter(|(_, holder)| holder.filled);
        filled.map(|(name, _)| Name::clone(name)).collect()
    }
}
