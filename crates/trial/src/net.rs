//! Simulated network between the fronts: loss, delay, duplication and cuts, used in real and in virtual time.

use std::collections::BTreeMap;

use rand_core::RngCore;

use crate::Micros;

/// Quality of a link in one direction.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quality {
    /// Fraction of datagrams that are lost.
    pub loss: f64,
    /// Base delay, us.
    pub delay: Micros,
    /// Upper bound of the additional, uniformly distributed delay, us.
    pub jitter: Micros,
    /// Fraction that is duplicated.
    pub duplicate: f64,
    /// Fraction that is reordered: delayed additionally by ten times the jitter plus 20 ms.
    pub reorder: f64,
    /// Rate limit, datagrams per second; 0 means unlimited.
    pub per_second: u32,
}

impl Default for Quality {
    fn default() -> Self {
        Quality { loss: 0.0, delay: 200, jitter: 200, duplicate: 0.0, reorder: 0.0, per_second: 0 }
    }
}

/// State of all links between fronts.
#[derive(Clone, Debug)]
pub struct Net {
    default_quality: Quality,
    overrides: BTreeMap<(usize, usize), Vec<(usize, Quality)>>,
    cut: BTreeMap<(usize, usize), u32>,
    rate_counters: BTreeMap<(usize, usize), (Micros, u32)>,
    /// Arrival time of the latest bytes of each connection, us.
    last_arrivals: BTreeMap<(usize, usize), Micros>,
}

/// Retransmission timeout of a lost segment, us (RFC 6298, section 2.4, with the lowest timeout in use).
pub const RETRANSMIT_TIMEOUT: Micros = 200_000;

/// Draws whether an event of this probability occurs; draws nothing if the probability is 0.
pub fn chance(rng: &mut impl RngCore, share: f64) -> bool {
    share > 0.0 && f64::from(rng.next_u32()) < share * 4_294_967_296.0
}

impl Net {
    /// Creates a network in which all links have this quality.
    pub fn new(default_quality: Quality) -> Net {
        let (overrides, cut, rate_counters, last_arrivals) =
            (BTreeMap::new(), BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Net { default_quality, overrides, cut, rate_counters, last_arrivals }
    }

    /// Adds or removes one cut of a link; cuts are counted. Returns whether the link's state has changed.
    pub fn cut(&mut self, from: usize, to: usize, active: bool) -> bool {
        let cuts = self.cut.entry((from, to)).or_default();
        let before = *cuts > 0;
        *cuts = if active { *cuts + 1 } else { cuts.saturating_sub(1) };
        before != (*cuts > 0)
    }

    /// Returns whether a link is cut.
    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cut.get(&(from, to)).is_some_and(|cuts| *cuts > 0)
    }

    /// Sets the quality of a link for the duration of a fault; `None` removes the fault's quality.
    pub fn set_quality(&mut self, from: usize, to: usize, fault: usize, quality: Option<Quality>) {
        let overrides = self.overrides.entry((from, to)).or_default();
        overrides.retain(|(owner, _)| *owner != fault);
        overrides.extend(quality.map(|quality| (fault, quality)));
    }

    /// Returns the arrival time of bytes sent now on a connection. Order is kept: a lost segment is retransmitted, and
    /// later bytes wait for it. `None` if the link is cut or repeated loss breaks the connection.
    pub fn stream_arrival(
        &mut self,
        now: Micros,
        from: usize,
        to: usize,
        rng: &mut impl RngCore,
    ) -> Option<Micros> {
        let mut retransmit_delay = 0;
        let delay = loop {
            match self.delivery_delays(now, from, to, rng).first() {
                Some(delay) => break delay + retransmit_delay,
                None if retransmit_delay < 4 * RETRANSMIT_TIMEOUT => {
                    retransmit_delay = retransmit_delay * 2 + RETRANSMIT_TIMEOUT
                }
                None => return None,
            }
        };
        let last = self.last_arrivals.entry((from, to)).or_default();
        *last = (*last + 1).max(now + delay);
        Some(*last)
    }

    /// Returns the delay of each delivered copy of a datagram, us; empty if it is lost.
    pub fn delivery_delays(
        &mut self,
        now: Micros,
        from: usize,
        to: usize,
        rng: &mut impl RngCore,
    ) -> Vec<Micros> {
        if self.is_cut(from, to) {
            return Vec::new();
        }
        let fault_quality = self.overrides.get(&(from, to)).and_then(|all| all.last());
        let quality = fault_quality.map_or(self.default_quality, |(_, quality)| *quality);
        if quality.per_second > 0 {
            let (second, count) = self.rate_counters.entry((from, to)).or_default();
            if *second != now / 1_000_000 {
                (*second, *count) = (now / 1_000_000, 0);
            }
            *count += 1;
            if *count > quality.per_second {
                return Vec::new();
            }
        }
        if chance(rng, quality.loss) {
            return Vec::new();
        }
        let copies = if chance(rng, quality.duplicate) { 2 } else { 1 };
        let mut draw_delay = || {
            let jitter = if quality.jitter == 0 { 0 } else { u64::from(rng.next_u32()) % quality.jitter };
            let reorder_delay = if chance(rng, quality.reorder) { 20_000 + 10 * quality.jitter } else { 0 };
            quality.delay + jitter + reorder_delay
        };
        (0..copies).map(|_| draw_delay()).collect()
    }
}
