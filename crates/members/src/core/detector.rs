//! Failure detector: which other fronts this front reaches in both directions.
//!
//! A front pings the few others that it observes (SWIM's ping, Das et al. 2002, but without its random order, so that
//! each front has the same number of observers at any time: Rapid, Suresh et al. 2018, section 4.1). The number of
//! consecutive misses that leads to an accusation follows from the loss that the front itself has measured: at a lossy
//! or slow front the same number of misses is weaker evidence (the local health of Lifeguard, 2017; the accrual
//! detector of Hayashibara et al. 2004).

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use super::view::{Fact, Name, View};
use super::{Micros, Times};

/// Maximum number of pings remembered per link; pongs to older ones are ignored.
const MAX_REMEMBERED_PINGS: usize = 64;
/// Pongs that take longer than this are ignored.
const MAX_PONG_DELAY: Micros = 3_000_000;
/// Minimum and maximum time to wait for a pong before it counts as a miss.
const PONG_TIMEOUT_BOUNDS: (Micros, Micros) = (60_000, 400_000);
/// Minimum and maximum number of consecutive misses that an accusation needs.
const MISSES_BOUNDS: (u32, u32) = (3, 60);
/// Each outcome has a weight of 1 in this many in the measured loss.
const LOSS_SMOOTHING: f64 = 64.0;

/// Share of round trips lost at this front, measured on peers that have answered again.
#[derive(Clone, Copy, Debug)]
pub struct Loss(f64);

impl Default for Loss {
    fn default() -> Self {
        Loss(0.02)
    }
}

impl Loss {
    /// The share of lost round trips, from 0 to 1.
    pub fn share(self) -> f64 {
        self.0
    }

    fn record_answer(&mut self, misses: u32) {
        for _ in 0..misses.min(MISSES_BOUNDS.1) {
            self.0 += (1.0 - self.0) / LOSS_SMOOTHING;
        }
        self.0 -= self.0 / LOSS_SMOOTHING;
    }

    /// The number of consecutive misses that a reachable peer causes with a probability of at most `chance`.
    pub fn misses_needed(self, chance: f64) -> u32 {
        let (mut probability, mut count) = (1.0, 0);
        while probability > chance && count < MISSES_BOUNDS.1 {
            probability *= self.0;
            count += 1;
        }
        count.max(MISSES_BOUNDS.0)
    }
}

#[derive(Clone, Debug)]
struct SentPing {
    nonce: u64,
    at: Micros,
    missed: bool,
}

/// Probe state of one other front.
#[derive(Clone, Debug)]
pub struct Link {
    /// Address at which it listens.
    pub address: SocketAddr,
    boot: u64,
    short_id: u32,
    pings: VecDeque<SentPing>,
    misses: u32,
    /// When it last answered, or when probing began.
    pub last_heard: Micros,
    /// Whether it has ever answered.
    pub has_answered: bool,
    next_ping: Micros,
    /// Smoothed round-trip time.
    pub round_trip: Micros,
    /// Whether it counts as unreachable.
    pub failing: bool,
    /// Set while it is probed because others accuse it: start and end of that time.
    polled: Option<(Micros, Micros)>,
    /// Set while it is still probed although this front doesn't observe it any more: the end of that time.
    watched_until: Option<Micros>,
}

/// The failure detector of one front, with a link to each front that it probes.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    links: BTreeMap<Name, Link>,
    /// Digest of a view, and the fronts that this front observes in that view.
    observed: (u64, Vec<Name>),
    loss: Loss,
}

impl Detector {
    /// The measured share of lost round trips.
    pub fn loss(&self) -> f64 {
        self.loss.share()
    }

    /// The link to a front, if this front probes it.
    pub fn link(&self, name: &str) -> Option<&Link> {
        self.links.get(name)
    }

    /// The fronts that this front observes: its successor in each of `rings` rings of all members, each ring ordered by
    /// its own hash.
    pub fn observed_fronts(&mut self, own_name: &Name, view: &View, rings: usize) -> &[Name] {
        if self.observed.0 != view.digest() || self.observed.1.is_empty() {
            self.observed = (view.digest(), successors(own_name, view, rings));
        }
        &self.observed.1
    }

    /// Sets the fronts to probe: `wanted`, `polled` (accused by others), and those still watched from before. Polled
    /// fronts are pinged at short intervals at first and while `majority_accuses` holds for them.
    pub fn set_targets(
        &mut self,
        now: Micros,
        wanted: &[&Fact],
        polled: &[&Fact],
        majority_accuses: impl Fn(&Fact) -> bool,
        times: &Times,
    ) {
        let current = |fact: &Fact, link: &Link| (fact.boot, fact.address) == (link.boot, link.address);
        for fact in wanted.iter().chain(polled) {
            if self.links.get(&fact.name).is_none_or(|link| !current(fact, link)) {
                self.links.insert(Name::clone(&fact.name), Link::new(now, fact));
            }
        }
        for fact in polled {
            if let Some(link) = self.links.get_mut(&fact.name) {
                let since = link.polled.map(|(since, _)| since).filter(|_| !majority_accuses(fact));
                let since = since.unwrap_or(now);
                link.polled = Some((since, now + times.poll_duration));
            }
        }
        self.links.retain(|name, link| {
            link.polled = link.polled.filter(|(_, until)| *until > now);
            let is_wanted = wanted.iter().any(|fact| fact.name == *name);
            // Danger: observers are reassigned with every view. Without this, all misses already counted of a front that
            // has just died would be lost, and its new observers would start from zero.
            link.watched_until = match link.watched_until {
                _ if is_wanted => None,
                None if link.misses > 0 => Some(now + 2 * times.min_silence),
                until => until,
            };
            is_wanted || link.polled.is_some() || link.watched_until.is_some_and(|until| until > now)
        });
        for fact in wanted.iter().chain(polled) {
            self.links.entry(Name::clone(&fact.name)).and_modify(|link| link.short_id = fact.short_id());
        }
    }

    /// The pings that are due: address and number, which `nonce` generates. Counts overdue pongs as misses.
    pub fn due_pings(
        &mut self,
        now: Micros,
        times: &Times,
        chance: f64,
        mut nonce: impl FnMut() -> u64,
    ) -> Vec<(SocketAddr, u64)> {
        let (link_count, failing) =
            (self.links.len(), self.links.values().filter(|link| link.misses >= MISSES_BOUNDS.0).count());
        // Danger: a front that is itself cut off or slow would accuse everybody. If most links fail at once, the cause is
        // more likely at this front, so twice as many misses are needed.
        let needed = self.loss.misses_needed(chance) * if failing * 2 > link_count { 2 } else { 1 };
        let mut pings = Vec::new();
        for link in self.links.values_mut() {
            let pong_timeout = (link.round_trip * 4).clamp(PONG_TIMEOUT_BOUNDS.0, PONG_TIMEOUT_BOUNDS.1);
            for sent in link.pings.iter_mut().filter(|sent| !sent.missed && sent.at + pong_timeout <= now) {
                sent.missed = true;
                link.misses += 1;
            }
            let min_silence = if link.polled.is_some() { times.min_silence / 2 } else { times.min_silence };
            link.failing |= link.misses >= needed && link.last_heard + min_silence <= now;
            if link.next_ping > now {
                continue;
            }
            let unanswered = link.misses > 0
                || !link.has_answered
                || link.pings.iter().any(|sent| sent.at > link.last_heard);
            // Unconfirmed accusations are checked at short intervals, but only for a limited time: a network cut may last.
            let recently_polled = link.polled.is_some_and(|(since, _)| since + times.poll_duration > now);
            let ping_fast = unanswered && (!link.failing || recently_polled);
            link.next_ping =
                now + if ping_fast { times.unanswered_ping_interval } else { times.ping_interval };
            let ping_nonce = nonce();
            link.pings.push_back(SentPing { nonce: ping_nonce, at: now, missed: false });
            if link.pings.len() > MAX_REMEMBERED_PINGS {
                link.pings.pop_front();
            }
            pings.push((link.address, ping_nonce));
        }
        pings
    }

    /// Handles a pong of the front with this name and `boot`, or of any `boot` if `any_start`: the front is reachable in
    /// both directions.
    pub fn receive_pong(&mut self, now: Micros, name: &str, boot: u64, nonce: u64, any_start: bool) {
        let is_same_start = |link: &&mut Link| link.boot == boot || any_start;
        let Some(link) = self.links.get_mut(name).filter(is_same_start) else { return };
        let Some(at) = link.pings.iter().position(|sent| sent.nonce == nonce) else { return };
        let Some(sent) = link.pings.remove(at).filter(|sent| sent.at + MAX_PONG_DELAY > now) else { return };
        let round_trip = now - sent.at;
        link.round_trip = (link.round_trip * 7 + round_trip) / 8;
        // Danger: if a link that was cut for seconds and works again counted as lossy, the next crash would be detected
        // late.
        self.loss.record_answer(if link.failing { 0 } else { link.misses });
        link.pings.retain(|other| other.at > sent.at);
        link.misses = link.pings.iter().filter(|other| other.missed).count() as u32;
        (link.last_heard, link.has_answered, link.failing) = (now, true, false);
    }

    /// Short ids of the fronts that count as unreachable.
    pub fn failing(&self) -> impl Iterator<Item = u32> + '_ {
        self.links.values().filter(|link| link.failing).map(|link| link.short_id)
    }

    /// Whether the front `name` has answered within the last `within` microseconds.
    pub fn answers(&self, now: Micros, name: &str, within: Micros) -> bool {
        self.links.get(name).is_some_and(|link| link.has_answered && link.last_heard + within > now)
    }

    /// Forgets all misses after this process was not running: silence during that time proves nothing.
    pub fn reset_after_pause(&mut self, now: Micros) {
        for link in self.links.values_mut() {
            link.pings.clear();
            (link.misses, link.last_heard, link.failing, link.next_ping) = (0, now, false, now);
        }
    }
}

impl Link {
    fn new(now: Micros, fact: &Fact) -> Link {
        Link {
            address: fact.address,
            boot: fact.boot,
            short_id: fact.short_id(),
            pings: VecDeque::new(),
            misses: 0,
            last_heard: now,
            has_answered: false,
            next_ping: now,
            round_trip: PONG_TIMEOUT_BOUNDS.1 / 8,
            failing: false,
            polled: None,
            watched_until: None,
        }
    }
}

fn successors(own_name: &Name, view: &View, rings: usize) -> Vec<Name> {
    let names: Vec<&Name> = view.members().map(|fact| &fact.name).filter(|name| *name != own_name).collect();
    if names.len() <= rings {
        return names.into_iter().cloned().collect();
    }
    let mut chosen = Vec::with_capacity(rings);
    for ring in 0..rings as u8 {
        let position = |name: &Name| {
            let mut bytes = vec![ring];
            bytes.extend(name.as_bytes());
            xxh3_64(&bytes)
        };
        let own_position = position(own_name);
        let distance = |name: &&&Name| (position(name).wrapping_sub(own_position), Name::clone(name));
        if let Some(next) = names.iter().filter(|name| !chosen.contains(**name)).min_by_key(distance) {
            chosen.push(Name::clone(next));
        }
    }
    chosen
}
