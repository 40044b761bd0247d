//! Deadline and minimum rate of a handshake or message.
//!
//! Danger: a time-out per read. A peer that sends one byte just before each time-out keeps its connection for
//! as long as it likes, and a few hundred such connections lock everybody else out. So each step (a
//! handshake, or a message from its first byte to its last) has one deadline as a whole, and within it a
//! minimum rate: a peer that sends nothing more reaches its deadline sooner than one that is merely slow.

use salttally::interface::Micros;

const SECOND_US: u64 = 1_000_000;

/// How slow a step may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Maximum duration of the whole step.
    pub timeout: Micros,
    /// The minimum rate does not apply for this long, since the network path may be slow.
    pub grace: Micros,
    /// Minimum rate after the grace period, in bytes per second since the step began.
    pub min_bytes_per_s: u64,
}

impl Pace {
    /// The deadline of a step that began at `begun` and has received `bytes` so far.
    pub fn deadline(&self, begun: Micros, bytes: u64) -> Micros {
        let earned = bytes.saturating_mul(SECOND_US) / self.min_bytes_per_s.max(1);
        begun.saturating_add(self.timeout.min(self.grace.saturating_add(earned)))
    }
}

/// Finds message boundaries in the bytes of a player (RFC 6455 section 5.2). It reads frame headers and skips
/// payloads; it does not validate frames, which the WebSocket library does.
#[derive(Clone, Debug, Default)]
pub struct FrameScanner {
    /// The frame header so far.
    head: Vec<u8>,
    /// Bytes of the payload that are still to come.
    payload_left: u64,
    frame_is_final: bool,
    frame_is_control: bool,
    /// A fragmented message has begun and not ended.
    in_fragmented_message: bool,
    /// Start time and number of received bytes of the current step.
    step: Option<(Micros, u64)>,
    /// Complete control frames since the last [`FrameScanner::take_control_frames`].
    control_frames: u64,
}

impl FrameScanner {
    /// Takes in bytes that were received at `now`.
    pub fn push(&mut self, now: Micros, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let step = self.step.get_or_insert((now, 0));
            if self.payload_left > 0 {
                let taken = self.payload_left.min(bytes.len() as u64);
                step.1 += taken;
                self.payload_left -= taken;
                bytes = &bytes[taken as usize..];
                if self.payload_left > 0 {
                    return;
                }
            } else {
                step.1 += 1;
                self.head.push(bytes[0]);
                bytes = &bytes[1..];
                let Some(payload) = payload_length(&self.head) else { continue };
                self.frame_is_final = self.head[0] & 0x80 != 0;
                self.frame_is_control = self.head[0] & 0x08 != 0;
                self.head.clear();
                self.payload_left = payload;
                if payload > 0 {
                    continue;
                }
            }
            self.finish_frame();
        }
    }

    fn finish_frame(&mut self) {
        if self.frame_is_control {
            self.control_frames += 1;
        } else {
            self.in_fragmented_message = !self.frame_is_final;
        }
        // A control frame within a fragmented message does not end the step: the message goes on.
        if !self.in_fragmented_message {
            self.step = None;
        }
    }

    /// Start time and number of received bytes of the current step: a message, or a control frame between
    /// messages.
    pub fn in_progress(&self) -> Option<(Micros, u64)> {
        self.step
    }

    /// Excludes a pause in which the front itself did not read.
    pub fn exclude_pause(&mut self, pause: Micros) {
        if let Some((begun, _)) = &mut self.step {
            *begun = begun.saturating_add(pause);
        }
    }

    /// Number of complete control frames since the last call.
    pub fn take_control_frames(&mut self) -> u64 {
        std::mem::take(&mut self.control_frames)
    }
}

/// Length of the payload, once the frame header is complete.
fn payload_length(head: &[u8]) -> Option<u64> {
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
