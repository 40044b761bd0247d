//! The local clock of a front in virtual time, with an offset and a rate error.

use rand_core::RngCore;

use crate::Micros;

/// Difference between a front's clock and the trial's.
#[derive(Clone, Copy, Debug)]
pub struct ClockSkew {
    offset: Micros,
    rate_ppm: i64,
}

impl ClockSkew {
    /// Draws a random offset and a rate error of at most 200 ppm; clocks of different fronts are independent. Steps of
    /// the machine's clock are not modelled. `offset_us` is the offset given in the description, us.
    pub fn random(rng: &mut impl RngCore, offset_us: i64) -> ClockSkew {
        let offset = 3_600_000_000_u64.saturating_add_signed(offset_us) + u64::from(rng.next_u32());
        ClockSkew { offset, rate_ppm: i64::from(rng.next_u32() % 401) - 200 }
    }

    /// Converts trial time to local time, us.
    pub fn to_local(&self, at: Micros) -> Micros {
        (at + self.offset).saturating_add_signed(at as i64 * self.rate_ppm / 1_000_000)
    }

    /// Converts local time to trial time, us.
    pub fn to_global(&self, local: Micros) -> Micros {
        let since = local.saturating_sub(self.offset);
        since.saturating_add_signed(-(since as i64 * self.rate_ppm / 1_000_000)) + 1
    }
}
