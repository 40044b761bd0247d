//! A front's own clock in virtual time: off by an offset, fast or slow by parts in a million.

use rand_core::RngCore;

use crate::Micros;

/// How a clock differs from the trial's.
#[derive(Clone, Copy, Debug)]
pub struct Skew {
    offset: Micros,
    rate: i64,
}

impl Skew {
    /// Drawn anew: clocks have nothing to do with each other, and are off by at most 200 parts in a million. Steps of the
    /// machine's clock are no business of these; `stated` is what the description says of this one, us.
    pub fn drawn(rng: &mut impl RngCore, stated: i64) -> Skew {
        let offset = 3_600_000_000_u64.saturating_add_signed(stated) + u64::from(rng.next_u32());
        Skew { offset, rate: i64::from(rng.next_u32() % 401) - 200 }
    }

    /// What it shows at this time.
    pub fn local(&self, at: Micros) -> Micros {
        (at + self.offset).saturating_add_signed(at as i64 * self.rate / 1_000_000)
    }

    /// When it shows this.
    pub fn global(&self, local: Micros) -> Micros {
        let since = local.saturating_sub(self.offset);
        since.saturating_add_signed(-(since as i64 * self.rate / 1_000_000)) + 1
    }
}
