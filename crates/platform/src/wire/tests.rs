//! Dangers of the wire.
