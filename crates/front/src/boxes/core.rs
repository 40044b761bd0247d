//! What one box may cost the front's thread.
//!
//! Danger: a box that tells without end, by fault or by intent. Each of its events is taken in by the front's one
//! thread, before the answers of viewers at other boxes. So what comes on a box's event stream is metered before it
//! gets there: each event weighs what it costs, the stream earns so much a second, and a box over that is cut off.
//!
//! Danger: an event that is begun and never ended, a byte at a time, looks like a box that lives.

use salttally::interface::Micros;

use crate::core::StreamEvent;

/// What one box may cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MeterLimits {
    /// Weight of events that a box may send in a second.
    pub per_s: u64,
    /// Weight that it may send at once after a rest: a list of all that it holds among them.
    pub at_once: u64,
    /// An event is whole within this.
    pub event_within: Micros,
}

/// Why a box is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Over {
    /// It told more than it may.
    Events(u64),
    /// It began an event and did not end it.
    Unended(Micros),
}

impl std::fmt::Display for Over {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Over::Events(per_s) => write!(f, "its events weigh over {per_s} a second (`box-events-per-s`)"),
            Over::Unended(within) => {
                write!(f, "an event is begun and not ended after {} ms (`box-event-ms`)", within / 1_000)
            }
        }
    }
}

/// The meter of one stream.
#[derive(Clone, Debug)]
pub struct Meter {
    limits: MeterLimits,
    /// Millionths of weight.
    left: u64,
    at: Micros,
    begun: Option<Micros>,
}

const SCALE: u64 = 1_000_000;

/// What news cost the front's thread, in signs of life.
pub fn weight(news: &StreamEvent) -> u64 {
    match news {
        // Each session named is looked for, and one that nobody knows is released.
        StreamEvent::Up(held) => 4 + 4 * held.len() as u64,
        StreamEvent::Began(_) | StreamEvent::Ended(..) => 4,
        StreamEvent::Note(..) => 2,
        StreamEvent::Heartbeat => 1,
        StreamEvent::NoConnection(_) | StreamEvent::Broken | StreamEvent::CutOff(_) => 0,
    }
}

impl Meter {
    /// That of a stream that is opened now.
    pub fn new(limits: MeterLimits, now: Micros) -> Meter {
        Meter { limits, left: limits.at_once * SCALE, at: now, begun: None }
    }

    /// News have come.
    ///
    /// # Errors
    /// They are more than the box may send: they are not to be handed on.
    pub fn take(&mut self, now: Micros, news: &[StreamEvent]) -> Result<(), Over> {
        let since = now.saturating_sub(self.at);
        self.at = self.at.max(now);
        let earned = since.saturating_mul(self.limits.per_s);
        self.left = self.left.saturating_add(earned).min(self.limits.at_once * SCALE);
        let cost = news.iter().map(weight).sum::<u64>().saturating_mul(SCALE);
        self.left = self.left.checked_sub(cost).ok_or(Over::Events(self.limits.per_s))?;
        Ok(())
    }

    /// Bytes have come; after them an event is begun and not ended, or none is.
    ///
    /// # Errors
    /// It has been begun for too long.
    pub fn unended(&mut self, now: Micros, begun: bool) -> Result<(), Over> {
        if !begun {
            self.begun = None;
            return Ok(());
        }
        let since = *self.begun.get_or_insert(now);
        if now.saturating_sub(since) >= self.limits.event_within {
            return Err(Over::Unended(self.limits.event_within));
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const LIMITS: MeterLimits = MeterLimits { per_s: 2_000, at_once: 8_000, event_within: 10_000_000 };

    #[test]
    fn a_box_that_tells_without_end_is_cut_off_and_one_with_a_thousand_sessions_is_not() {
        let mut meter = Meter::new(LIMITS, 0);
        // 500 notes of their link and 400 of what was delivered a second, for a minute.
        let busy = (0..60_000u64).all(|ms| {
            let note = (ms % 10 < 9).then_some(StreamEvent::Note(
                salttally::interface::SessionId("s".into()),
                salttally::interface::Note::Link(0.5),
            ));
            meter.take(ms * 1_000, note.as_slice()).is_ok()
        });
        assert!(busy);
        let mut meter = Meter::new(LIMITS, 0);
        let beats =
            (0..100_000u64).take_while(|us| meter.take(*us, &[StreamEvent::Heartbeat]).is_ok()).count();
        assert!((8_000..8_300).contains(&beats), "{beats} of 100,000 in a tenth of a second");
    }

    #[test]
    fn an_event_begun_and_never_ended_is_no_sign_of_life() {
        let mut meter = Meter::new(LIMITS, 0);
        let second = 1_000_000;
        assert!((0..10).all(|s| meter.unended(s * second, true).is_ok()));
        assert_eq!(meter.unended(10 * second, true), Err(Over::Unended(10 * second)));
        assert_eq!(meter.unended(11 * second, false), Ok(()));
        assert_eq!(meter.unended(12 * second, true), Ok(()), "another one");
    }

    proptest! {
        #[test]
        fn no_box_costs_more_than_it_may(steps in prop::collection::vec((0u64..5_000, 1usize..40), 1..400)) {
            let mut meter = Meter::new(LIMITS, 0);
            let (mut now, mut taken) = (0, 0);
            for (pause, beats) in steps {
                now += pause;
                if meter.take(now, &vec![StreamEvent::Heartbeat; beats]).is_ok() {
                    taken += beats as u64;
                }
                prop_assert!(taken <= 8_000 + now * 2_000 / 1_000_000 + 1);
            }
        }
    }
}
