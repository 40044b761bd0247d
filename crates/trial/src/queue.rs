//! The event queue of a trial in virtual time, ordered by time; events of equal time are in insertion order.

use std::collections::BTreeMap;

use crate::describe::Trial;
use crate::plan::{Action, Plan};
use crate::Micros;

/// Pending events.
#[derive(Debug)]
pub struct Queue<E> {
    events: BTreeMap<(Micros, u64), E>,
    next: u64,
    end: Micros,
}

impl<E> Queue<E> {
    /// Creates a queue that holds the actions of a plan. The trial ends a quiet period after the last action.
    pub fn new(trial: &Trial, plan: &Plan, event: impl Fn(Action) -> E) -> Queue<E> {
        let end = plan.last().map_or(0, |(at, _)| *at) + trial.quiet_period;
        let mut queue = Queue { events: BTreeMap::new(), next: 0, end };
        for (at, action) in plan {
            queue.push(*at, event(action.clone()));
        }
        queue
    }

    /// Returns the end of the trial, us.
    pub fn end(&self) -> Micros {
        self.end
    }

    /// Schedules an event.
    pub fn push(&mut self, at: Micros, event: E) {
        self.next += 1;
        self.events.insert((at, self.next), event);
    }

    /// Removes the next event and returns it with its time; `None` once the trial has ended.
    pub fn pop(&mut self) -> Option<(Micros, E)> {
        let ((at, _), event) = self.events.pop_first()?;
        (at <= self.end).then_some((at, event))
    }
}
