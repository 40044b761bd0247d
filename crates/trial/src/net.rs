//! What becomes of each datagram between two fronts: the same for processes and in virtual time.

use std::collections::BTreeMap;

use rand_core::RngCore;

use crate::Micros;

/// What a link is like.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quality {
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Time on the way, us.
    pub delay: Micros,
    /// Up to so much more, evenly, us.
    pub jitter: Micros,
    /// Share that comes twice.
    pub duplicate: f64,
    /// Share that is held back behind later ones, by ten times the jitter and 20 ms.
    pub reorder: f64,
    /// Datagrams a second at most; 0 is without bound.
    pub per_second: u32,
}

impl Default for Quality {
    fn default() -> Self {
        Quality { loss: 0.0, delay: 200, jitter: 200, duplicate: 0.0, reorder: 0.0, per_second: 0 }
    }
}

/// All links.
#[derive(Clone, Debug)]
pub struct Net {
    usual: Quality,
    special: BTreeMap<(usize, usize), Vec<(usize, Quality)>>,
    cut: BTreeMap<(usize, usize), u32>,
    sent: BTreeMap<(usize, usize), (Micros, u32)>,
    /// When the latest bytes of each connection arrive.
    arrived: BTreeMap<(usize, usize), Micros>,
}

/// A lost segment comes again after this (RFC 6298, section 2.4, with the least time-out in use).
pub const AGAIN: Micros = 200_000;

/// A share as a chance of a draw.
pub fn chance(rng: &mut impl RngCore, share: f64) -> bool {
    share > 0.0 && f64::from(rng.next_u32()) < share * 4_294_967_296.0
}

impl Net {
    /// All links are like this.
    pub fn new(usual: Quality) -> Net {
        let (special, cut, sent, arrived) =
            (BTreeMap::new(), BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Net { usual, special, cut, sent, arrived }
    }

    /// Cuts a link, or takes one cut back; returns whether the link's state has changed.
    pub fn cut(&mut self, from: usize, to: usize, on: bool) -> bool {
        let cuts = self.cut.entry((from, to)).or_default();
        let before = *cuts > 0;
        *cuts = if on { *cuts + 1 } else { cuts.saturating_sub(1) };
        before != (*cuts > 0)
    }

    /// Whether a link is cut.
    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cut.get(&(from, to)).is_some_and(|cuts| *cuts > 0)
    }

    /// A link is like this from now on, by this fault; or the fault has ended.
    pub fn like(&mut self, from: usize, to: usize, fault: usize, quality: Option<Quality>) {
        let special = self.special.entry((from, to)).or_default();
        special.retain(|(by, _)| *by != fault);
        special.extend(quality.map(|quality| (fault, quality)));
    }

    /// When bytes that are sent now arrive on a connection that keeps order: a lost segment comes again, and what follows
    /// waits for it. Nothing where a cut, or loss upon loss, swallows them with the connection.
    pub fn streamed(
        &mut self,
        now: Micros,
        from: usize,
        to: usize,
        rng: &mut impl RngCore,
    ) -> Option<Micros> {
        let mut again = 0;
        let delay = loop {
            match self.fate(now, from, to, rng).first() {
                Some(delay) => break delay + again,
                None if again < 4 * AGAIN => again = again * 2 + AGAIN,
                None => return None,
            }
        };
        let last = self.arrived.entry((from, to)).or_default();
        *last = (*last + 1).max(now + delay);
        Some(*last)
    }

    /// After how long each copy of a datagram arrives; none where it is lost.
    pub fn fate(&mut self, now: Micros, from: usize, to: usize, rng: &mut impl RngCore) -> Vec<Micros> {
        if self.is_cut(from, to) {
            return Vec::new();
        }
        let special = self.special.get(&(from, to)).and_then(|all| all.last());
        let like = special.map_or(self.usual, |(_, quality)| *quality);
        if like.per_second > 0 {
            let (second, count) = self.sent.entry((from, to)).or_default();
            if *second != now / 1_000_000 {
                (*second, *count) = (now / 1_000_000, 0);
            }
            *count += 1;
            if *count > like.per_second {
                return Vec::new();
            }
        }
        if chance(rng, like.loss) {
            return Vec::new();
        }
        let copies = if chance(rng, like.duplicate) { 2 } else { 1 };
        let mut one = || {
            let jitter = if like.jitter == 0 { 0 } else { u64::from(rng.next_u32()) % like.jitter };
            let held = if chance(rng, like.reorder) { 20_000 + 10 * like.jitter } else { 0 };
            like.delay + jitter + held
        };
        (0..copies).map(|_| one()).collect()
    }
}
