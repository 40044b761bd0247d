//! Steps of a peer and their one deadline.
//!
//! Danger: a time-out asked of each wait. A peer that sends one byte just before each of them ends holds its place
//! for as long as it likes, and with a few hundred connections takes the front from everybody. So a step (a
//! handshake, a message from its first byte to its last) has one deadline as a whole, and within it a least pace:
//! the deadline of a peer that sends nothing more comes sooner than that of one that is merely slow.

use salttally::interface::Micros;

const SECOND: u64 = 1_000_000;

/// How slow a step may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// The whole step takes this long at most.
    pub within: Micros,
    /// Nothing is asked of its pace for this long: a line may be far away.
    pub grace: Micros,
    /// After the grace, bytes a second since the begin.
    pub least: u64,
}

impl Pace {
    /// When a step that began then and has brought so many bytes runs out of time.
    pub fn due(&self, begun: Micros, bytes: u64) -> Micros {
        let earned = bytes.saturating_mul(SECOND) / self.least.max(1);
        begun.saturating_add(self.within.min(self.grace.saturating_add(earned)))
    }
}

/// Where a player's bytes stand between two messages (RFC 6455 section 5.2): it reads heads of frames and counts
/// payloads, and takes no frame for right or wrong, which the WebSocket's reader does.
#[derive(Clone, Debug, Default)]
pub struct Frames {
    head: Vec<u8>,
    payload: u64,
    last_is_final: bool,
    last_is_control: bool,
    /// A message of several frames is open.
    open: bool,
    step: Option<(Micros, u64)>,
    controls: u64,
}

impl Frames {
    /// Takes in bytes that came now.
    pub fn push(&mut self, now: Micros, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let step = self.step.get_or_insert((now, 0));
            if self.payload > 0 {
                let taken = self.payload.min(bytes.len() as u64);
                step.1 += taken;
                self.payload -= taken;
                bytes = &bytes[taken as usize..];
                if self.payload > 0 {
                    return;
                }
            } else {
                step.1 += 1;
                self.head.push(bytes[0]);
                bytes = &bytes[1..];
                let Some(payload) = payload_of(&self.head) else { continue };
                self.last_is_final = self.head[0] & 0x80 != 0;
                self.last_is_control = self.head[0] & 0x08 != 0;
                self.head.clear();
                self.payload = payload;
                if payload > 0 {
                    continue;
                }
            }
            self.frame_ends();
        }
    }

    fn frame_ends(&mut self) {
        if self.last_is_control {
            self.controls += 1;
        } else {
            self.open = !self.last_is_final;
        }
        // A control frame within a message of several frames ends nothing: its sender goes on with the message.
        if !self.open {
            self.step = None;
        }
    }

    /// Begin and bytes of the step under way: a message, or a control frame between messages.
    pub fn step(&self) -> Option<(Micros, u64)> {
        self.step
    }

    /// Nothing was read for this long, by no fault of the peer.
    pub fn held_up(&mut self, pause: Micros) {
        if let Some((begun, _)) = &mut self.step {
            *begun = begun.saturating_add(pause);
        }
    }

    /// Control frames that were whole since this was asked last.
    pub fn controls(&mut self) -> u64 {
        std::mem::take(&mut self.controls)
    }
}

/// Length of the payload after a head, once the head is whole.
fn payload_of(head: &[u8]) -> Option<u64> {
    let second = *head.get(1)?;
    let mask = if second & 0x80 != 0 { 4 } else { 0 };
    let (length, extended) = match second & 0x7f {
        126 => (2, head.get(2..4)?),
        127 => (8, head.get(2..10)?),
        _ => (0, &head[..0]),
    };
    if head.len() < 2 + length + mask {
        return None;
    }
    let long = extended.iter().fold(0u64, |sum, byte| sum << 8 | u64::from(*byte));
    Some(if length == 0 { u64::from(second & 0x7f) } else { long })
}
