//! A front's own records, and how far each of its holders has them.

use std::collections::{BTreeMap, BTreeSet};

use super::replica::{entry_digest, partition, Change, Replica, PARTITIONS};
use super::{Micros, Name, RecordBody, RecordKey, BATCH_BYTES, RESEND_TIMEOUT};

/// A front that holds copies of this front's records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Number of changes acknowledged.
    pub acked: u64,
    /// Number of the last change sent.
    pub sent: u64,
    /// When it last answered, or when a change was first sent to it after that.
    pub heard: Micros,
    /// Its disk id. Danger: a holder may have lost its disk since it acknowledged.
    pub disk: u64,
    /// Whether it has been complete at some time.
    pub filled: bool,
}

/// Changes to be sent to a holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Number of the last change before these.
    pub from: u64,
    /// Number of the last change covered.
    pub to: u64,
    /// Whether nothing between is left out.
    pub whole: bool,
    /// The changes.
    pub changes: Vec<Change>,
}

/// A front's own records.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Owner {
    number: u64,
    entries: BTreeMap<RecordKey, (u64, Option<RecordBody>)>,
    order: BTreeMap<u64, RecordKey>,
    digests: [u64; PARTITIONS],
    live_records: usize,
    /// The holders of copies.
    pub holders: BTreeMap<Name, Holder>,
    /// Records that a caller waits for, with the deadlines.
    waiting: BTreeMap<RecordKey, Micros>,
}

impl Owner {
    /// Number of changes so far.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Number of records.
    pub fn live_records(&self) -> usize {
        self.live_records
    }

    /// Number of records that a caller waits for.
    pub fn waits(&self) -> usize {
        self.waiting.len()
    }

    /// Digests of the partitions, as a complete replica has them.
    pub fn digests(&self) -> [u64; PARTITIONS] {
        self.digests
    }

    #[cfg(test)]
    pub(crate) fn entries_for_tests(&self) -> BTreeMap<RecordKey, (u64, Option<RecordBody>)> {
        self.entries.clone()
    }

    /// The body of a record.
    pub fn get(&self, key: &str) -> Option<&RecordBody> {
        self.entries.get(key).and_then(|(_, body)| body.as_ref())
    }

    /// Keys of all records.
    pub fn keys(&self) -> impl Iterator<Item = &RecordKey> {
        self.entries.iter().filter(|(_, (_, body))| body.is_some()).map(|(key, _)| key)
    }

    /// Changes a record, or deletes it if `body` is none. Returns the numbered change; none if there was
    /// nothing to delete.
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

    /// Registers a caller that waits until the record is stored, at most until this time.
    pub fn wait(&mut self, key: RecordKey, until: Micros) {
        self.waiting.insert(key, until);
    }

    /// Takes the awaited records that are stored at enough holders, and those whose deadline has passed.
    pub fn settled(&mut self, now: Micros, enough: usize) -> (Vec<RecordKey>, Vec<RecordKey>) {
        if self.waiting.is_empty() {
            return (Vec::new(), Vec::new());
        }
        let mut acked: Vec<u64> = self.holders.values().map(|holder| holder.acked).collect();
        acked.sort_unstable_by(|a, b| b.cmp(a));
        // The number of changes that enough holders have.
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

    /// The earliest deadline of an awaited record.
    pub fn next_late(&self) -> Option<Micros> {
        self.waiting.values().min().copied()
    }

    /// Adds a holder.
    pub fn begin(&mut self, now: Micros, name: Name) {
        let holder = Holder { acked: 0, sent: 0, heard: now, disk: 0, filled: false };
        self.holders.insert(name, holder);
    }

    /// Records a holder's acknowledgement: its number of changes, and its disk id.
    pub fn acked(&mut self, now: Micros, name: &Name, have: u64, disk: u64) {
        let number = self.number;
        let Some(holder) = self.holders.get_mut(name) else { return };
        holder.heard = now;
        // The latest acknowledgement counts, also if it is lower than an earlier one.
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

    /// Deletes tombstones that every holder has.
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

    /// Limits the number of tombstones kept for holders that are behind; beyond that, such a holder is filled
    /// again from the start.
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

    /// Resends changes to holders that have not acknowledged them in time.
    pub fn again(&mut self, now: Micros) {
        for holder in self.holders.values_mut() {
            if holder.acked < holder.sent && holder.heard + RESEND_TIMEOUT <= now {
                (holder.sent, holder.heard) = (holder.acked, now);
            }
        }
    }

    /// The next changes to send to a holder. A holder that is being filled gets one batch at a time.
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

    /// The records of one partition, for a holder whose digest differs.
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

    /// The records as a complete replica.
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

    /// Names of the holders.
    pub fn group(&self) -> Vec<Name> {
        self.holders.keys().cloned().collect()
    }

    /// Holders that have been complete at some time.
    pub fn filled(&self) -> BTreeSet<Name> {
        let filled = self.holders.iter().filter(|(_, holder)| holder.filled);
        filled.map(|(name, _)| Name::clone(name)).collect()
    }
}
