//! Dangers of the protocol, in virtual time.
