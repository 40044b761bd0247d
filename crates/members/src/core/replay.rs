//! Replay protection. Each sender numbers its datagrams; a receiver remembers the highest number and which of the
//! last 128 numbers it has received (the sliding window of RFC 4303, section 3.4.3).

use std::collections::BTreeMap;

use super::view::Name;

/// Maximum number of senders remembered.
const MAX_SENDERS: usize = 8_192;

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    boot: u64,
    highest: u64,
    received: u128,
}

/// Replay windows of all senders.
#[derive(Clone, Debug, Default)]
pub struct Replay {
    windows: BTreeMap<Name, Window>,
    /// Datagrams rejected as repeated, or as too old to tell.
    pub stale: u64,
}

impl Replay {
    /// Whether a datagram with this sender, process start and number is new; records it as received.
    pub fn accept(&mut self, name: &Name, boot: u64, number: u64) -> bool {
        if self.windows.len() >= MAX_SENDERS && !self.windows.contains_key(name) {
            self.windows.pop_first();
        }
        let window = self.windows.entry(Name::clone(name)).or_default();
        if window.boot != boot {
            *window = Window { boot, highest: number, received: 1 };
            return true;
        }
        let is_new = if number > window.highest {
            let step = number - window.highest;
            window.received = if step < 128 { window.received << step | 1 } else { 1 };
            window.highest = number;
            true
        } else {
            let age = window.highest - number;
            let first_time = age < 128 && window.received & (1 << age) == 0;
            if first_time {
                window.received |= 1 << age;
            }
            first_time
        };
        self.stale += u64::from(!is_new);
        is_new
    }
}
