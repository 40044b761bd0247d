//! Decoder for server-sent events (HTML standard, section 9.2), independent of any socket.

use thiserror::Error;

/// Maximum event size, bytes. The list of all sessions that a box holds is the longest event.
pub const MAX_EVENT_BYTES: usize = 4 * 1024 * 1024;

/// An event exceeds the maximum size.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("event exceeds {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// One event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// Event name.
    pub name: String,
    /// Data; several lines are joined with line feeds.
    pub data: String,
}

/// Incremental decoder: takes bytes as they arrive and returns complete events.
#[derive(Clone, Debug, Default)]
pub struct Decoder {
    line: Vec<u8>,
    event: Event,
    size: usize,
    has_data: bool,
    /// The last byte was a carriage return, so a line feed now belongs to the same line end.
    after_return: bool,
}

impl Decoder {
    /// Decodes bytes. Comments give no events, but the bytes show that the peer is alive.
    ///
    /// # Errors
    /// An event exceeds [`MAX_EVENT_BYTES`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Event>, EventTooLong> {
        let mut events = Vec::new();
        for byte in bytes {
            let after_return = std::mem::replace(&mut self.after_return, *byte == b'\r');
            match byte {
                b'\n' if after_return => {}
                b'\n' | b'\r' => events.extend(self.line_done()),
                _ => {
                    self.size += 1;
                    if self.size > MAX_EVENT_BYTES {
                        return Err(EventTooLong);
                    }
                    self.line.push(*byte);
                }
            }
        }
        Ok(events)
    }

    /// Whether an event or a line is incomplete.
    pub fn has_partial_event(&self) -> bool {
        !self.line.is_empty() || self.has_data || !self.event.name.is_empty()
    }

    fn line_done(&mut self) -> Option<Event> {
        let line = std::mem::take(&mut self.line);
        if line.is_empty() {
            self.size = 0;
            let event = std::mem::take(&mut self.event);
            return std::mem::take(&mut self.has_data).then_some(event);
        }
        let text = String::from_utf8_lossy(&line);
        let (field, value) = text.split_once(':').unwrap_or((&text, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "event" => self.event.name = value.to_owned(),
            "data" => {
                if self.has_data {
                    self.event.data.push('\n');
                }
                self.has_data = true;
                self.event.data.push_str(value);
            }
            // A comment ends no event, but must not count towards the size of the next one.
            "" if !self.has_data && self.event.name.is_empty() => self.size = 0,
            _ => {}
        }
        None
    }
}
