//! Limit on the events of one box.
//!
//! Danger: a box that sends events without end, by fault or by intent. The engine thread handles each of them
//! before the answers of viewers at other boxes. So the events of a stream are metered before they reach that
//! thread: each event has a weight by its cost, the stream earns weight per second, and a box that exceeds
//! this is disconnected.
//!
//! Danger: an event that is sent a byte at a time and never ends looks like a box that is alive.

use salttally::interface::Micros;

use crate::core::StreamEvent;

/// Limits of one event stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MeterLimits {
    /// Weight of events per second that a box may send.
    pub weight_per_s: u64,
    /// Weight of events that it may send at once after a pause, for instance the list of all its sessions.
    pub burst: u64,
    /// Time in which an event has to be complete.
    pub event_timeout: Micros,
}

/// Why a box is disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitExceeded {
    /// Its events exceed this weight per second.
    EventRate(u64),
    /// It did not complete an event within this time, us.
    UnfinishedEvent(Micros),
}

impl std::fmt::Display for LimitExceeded {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            LimitExceeded::EventRate(per_s) => {
                write!(f, "its events exceed a weight of {per_s} per second (`box-events-per-s`)")
            }
            LimitExceeded::UnfinishedEvent(timeout_us) => {
                write!(f, "an event was not complete after {} ms (`box-event-ms`)", timeout_us / 1_000)
            }
        }
    }
}

/// Meter of one event stream.
#[derive(Clone, Debug)]
pub struct Meter {
    limits: MeterLimits,
    /// Weight that may still be sent, in millionths.
    credit: u64,
    updated_at: Micros,
    event_begun: Option<Micros>,
}

const SCALE: u64 = 1_000_000;

/// Weight of an event: its cost on the engine thread, in heartbeats.
pub fn weight(event: &StreamEvent) -> u64 {
    match event {
        // Each session in the list is looked up, and an unknown one is released.
        StreamEvent::Up(held) => 4 + 4 * held.len() as u64,
        StreamEvent::Began(_) | StreamEvent::Ended(..) => 4,
        StreamEvent::Note(..) => 2,
        StreamEvent::Heartbeat => 1,
        StreamEvent::NoConnection(_) | StreamEvent::Broken | StreamEvent::CutOff(_) => 0,
    }
}

impl Meter {
    /// The meter of a new stream.
    pub fn new(limits: MeterLimits, now: Micros) -> Meter {
        Meter { limits, credit: limits.burst * SCALE, updated_at: now, event_begun: None }
    }

    /// Charges received events.
    ///
    /// # Errors
    /// The box sends more than it may; these events must not be handled.
    pub fn charge(&mut self, now: Micros, events: &[StreamEvent]) -> Result<(), LimitExceeded> {
        let elapsed = now.saturating_sub(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        let earned = elapsed.saturating_mul(self.limits.weight_per_s);
        self.credit = self.credit.saturating_add(earned).min(self.limits.burst * SCALE);
        let cost = events.iter().map(weight).sum::<u64>().saturating_mul(SCALE);
        self.credit =
            self.credit.checked_sub(cost).ok_or(LimitExceeded::EventRate(self.limits.weight_per_s))?;
        Ok(())
    }

    /// Checks the event that is incomplete after the latest bytes, if there is one.
    ///
    /// # Errors
    /// It has been incomplete for too long.
    pub fn check_unfinished_event(&mut self, now: Micros, unfinished: bool) -> Result<(), LimitExceeded> {
        if !unfinished {
            self.event_begun = None;
            return Ok(());
        }
        let begun = *self.event_begun.get_or_insert(now);
        if now.saturating_sub(begun) >= self.limits.event_timeout {
            return Err(LimitExceeded::UnfinishedEvent(self.limits.event_timeout));
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const LIMITS: MeterLimits = MeterLimits { weight_per_s: 2_000, burst: 8_000, event_timeout: 10_000_000 };

    #[test]
    fn a_box_that_floods_events_exceeds_the_limit_and_one_with_a_thousand_sessions_does_not() {
        let mut meter = Meter::new(LIMITS, 0);
        // 500 link notes and 400 delivery notes per second, for a minute.
        let busy = (0..60_000u64).all(|ms| {
            let note = (ms % 10 < 9).then_some(StreamEvent::Note(
                salttally::interface::SessionId("s".into()),
                salttally::interface::Note::Link(0.5),
            ));
            meter.charge(ms * 1_000, note.as_slice()).is_ok()
        });
        assert!(busy);
        let mut meter = Meter::new(LIMITS, 0);
        let accepted =
            (0..100_000u64).take_while(|us| meter.charge(*us, &[StreamEvent::Heartbeat]).is_ok()).count();
        assert!((8_000..8_300).contains(&accepted), "{accepted} of 100,000 in a tenth of a second");
    }

    #[test]
    fn an_event_that_never_ends_is_no_heartbeat() {
        let mut meter = Meter::new(LIMITS, 0);
        let second_us = 1_000_000;
        assert!((0..10).all(|s| meter.check_unfinished_event(s * second_us, true).is_ok()));
        assert_eq!(
            meter.check_unfinished_event(10 * second_us, true),
            Err(LimitExceeded::UnfinishedEvent(10 * second_us))
        );
        assert_eq!(meter.check_unfinished_event(11 * second_us, false), Ok(()));
        assert_eq!(meter.check_unfinished_event(12 * second_us, true), Ok(()), "a new event");
    }

    proptest! {
        #[test]
        fn no_box_exceeds_its_limit(steps in prop::collection::vec((0u64..5_000, 1usize..40), 1..400)) {
            let mut meter = Meter::new(LIMITS, 0);
            let (mut now, mut accepted) = (0, 0);
            for (pause, heartbeats) in steps {
                now += pause;
                if meter.charge(now, &vec![StreamEvent::Heartbeat; heartbeats]).is_ok() {
                    accepted += heartbeats as u64;
                }
                prop_assert!(accepted <= 8_000 + now * 2_000 / 1_000_000 + 1);
            }
        }
    }
}
