//! What is passed on, and how often: news go along with pings and pongs, and while there are any, to a few random
//! members besides (infection style, SWIM section 4.1). Each is sent a number of times that grows with the logarithm
//! of the view, the freshest first, within a bound of bytes.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::observe::{Observations, Row};
use super::view::{Fact, Name, View};

/// Bytes of news in one message at most; with envelope and authentication it stays under 1,200.
pub const ROOM: usize = 980;

/// News in one message.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct News {
    /// Who came and went.
    pub facts: Vec<Fact>,
    /// Who cannot be reached, by observers that say the same.
    pub rows: Vec<Alike>,
}

/// Observers whose rows accuse the same: after a loss of many, nearly all are alike.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct Alike {
    /// Marks of the accused, in order.
    pub accused: Vec<u32>,
    /// Observers and the versions of their rows.
    pub by: Vec<(u32, u32)>,
}

impl News {
    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.facts.is_empty() && self.rows.is_empty()
    }

    /// The rows, one by one.
    pub fn each_row(&self) -> impl Iterator<Item = Row> + '_ {
        self.rows.iter().flat_map(|alike| {
            alike.by.iter().map(|(by, version)| Row {
                by: *by,
                version: *version,
                accused: alike.accused.clone(),
            })
        })
    }
}

/// What a fact takes in a message, at most.
pub fn size(fact: &Fact) -> usize {
    fact.name.len() + 1 + 20 + 10 + 5 + 5 + 21
}

/// Keys with the number of times that each is still to be sent, those that were sent least first.
#[derive(Clone, Debug)]
struct Queue<K> {
    left: BTreeMap<K, u32>,
    order: BTreeSet<(u32, K)>,
}

impl<K> Default for Queue<K> {
    fn default() -> Self {
        Queue { left: BTreeMap::new(), order: BTreeSet::new() }
    }
}

impl<K: Ord + Clone> Queue<K> {
    fn set(&mut self, key: K, times: u32) {
        if let Some(before) = self.left.remove(&key) {
            self.order.remove(&(before, key.clone()));
        }
        if times > 0 {
            self.order.insert((times, key.clone()));
            self.left.insert(key, times);
        }
    }

    fn is_empty(&self) -> bool {
        self.left.is_empty()
    }

    /// Takes keys in order as long as `take` wants them, and counts them as sent once more; those that it does not
    /// know any more are forgotten.
    fn each(&mut self, mut take: impl FnMut(&K) -> Taken) {
        let mut sent = Vec::new();
        for (times, key) in self.order.iter().rev() {
            match take(key) {
                Taken::Sent => sent.push((key.clone(), times - 1)),
                Taken::Unknown => sent.push((key.clone(), 0)),
                Taken::Full => break,
            }
        }
        sent.into_iter().for_each(|(key, times)| self.set(key, times));
    }
}

enum Taken {
    Sent,
    Unknown,
    Full,
}

/// What is still to be passed on.
#[derive(Clone, Debug, Default)]
pub struct Gossip {
    facts: Queue<Name>,
    rows: Queue<u32>,
    /// Messages of its own that are still worth sending; renewals go along with pings alone.
    hot: u32,
}

fn times(members: usize) -> u32 {
    3 * (usize::BITS - members.leading_zeros()) + 3
}

impl Gossip {
    /// A fact is news.
    pub fn fact(&mut self, name: &Name, members: usize) {
        self.facts.set(Name::clone(name), times(members));
        self.hot = times(members);
    }

    /// An observer's row is news, or renewed with nothing new in it.
    pub fn row(&mut self, by: u32, members: usize, renewed: bool) {
        self.rows.set(by, times(members));
        if !renewed {
            self.hot = times(members);
        }
    }

    /// Whether a message of its own is worth sending; it is counted.
    pub fn hot(&mut self) -> bool {
        let none = self.facts.is_empty() && self.rows.is_empty();
        self.hot = if none { 0 } else { self.hot.saturating_sub(1) };
        self.hot > 0
    }

    /// News for one message.
    pub fn take(&mut self, view: &View, observations: &Observations) -> News {
        let (mut room, mut news) = (ROOM, News::default());
        self.facts.each(|name| {
            let Some(fact) = view.get(name) else { return Taken::Unknown };
            if size(fact) > room {
                return Taken::Full;
            }
            room -= size(fact);
            news.facts.push(fact.clone());
            Taken::Sent
        });
        let mut alike: BTreeMap<&[u32], Vec<(u32, u32)>> = BTreeMap::new();
        self.rows.each(|by| {
            let Some(row) = observations.row(*by) else { return Taken::Unknown };
            let known = alike.contains_key(row.accused.as_slice());
            let takes = 10 + if known { 0 } else { 4 + 5 * row.accused.len() };
            if takes > room {
                return Taken::Full;
            }
            room -= takes;
            alike.entry(&row.accused).or_default().push((*by, row.version));
            Taken::Sent
        });
        news.rows = alike.into_iter().map(|(accused, by)| Alike { accused: accused.to_vec(), by }).collect();
        news
    }
}
