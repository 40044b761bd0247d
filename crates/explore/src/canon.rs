//! When two states are one.
//!
//! A state is written out as text by the code that owns it, and then freed of what cannot decide anything: times
//! become distances from now, and numbers that are only counted up (connections, tries of streams, requests) are
//! named in the order in which they stand in the text. What is equal after that behaves equally: all comparisons of
//! times in core and module are of distances, and counters are compared for equality alone.

/// Every moment of an explored world is later than this, and no other number reaches it: so times are known in a text.
pub const EPOCH: u64 = 1_000_000_000_000_000;

/// Distances of the past that are told apart, us. Nothing in core or module looks further back than this in the
/// explored worlds, whose paths are shorter; older times are all one.
pub const PAST: u64 = 60_000_000;

/// Names before a number that is only counted up.
const COUNTED: [&str; 5] = ["ConnId(", "serial: ", "try_no: ", "RequestTimeout(", "last: "];

/// Frees a text of what cannot decide anything, at this time.
pub fn canon(text: &str, now: u64) -> String {
    let bytes = text.as_bytes();
    let mut out = String::with_capacity(text.len());
    let mut names: Vec<(usize, &str)> = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let start = at;
        while at < bytes.len() && !bytes[at].is_ascii_digit() {
            at += 1;
        }
        out.push_str(&text[start..at]);
        let digits = at;
        while at < bytes.len() && bytes[at].is_ascii_digit() {
            at += 1;
        }
        let number = &text[digits..at];
        if number.is_empty() {
            continue;
        }
        if number.len() >= 16 {
            if let Some(time) = number.parse::<u64>().ok().filter(|time| *time >= EPOCH) {
                write_distance(&mut out, time, now);
                continue;
            }
        }
        match COUNTED.iter().position(|name| text[..digits].ends_with(name)) {
            // The last number given out decides nothing; whatever holds a number names it.
            Some(4) => out.push('_'),
            Some(kind) => {
                let known = names.iter().filter(|(of, _)| *of == kind).position(|(_, name)| *name == number);
                let place = known.unwrap_or_else(|| {
                    names.push((kind, number));
                    names.iter().filter(|(of, _)| *of == kind).count() - 1
                });
                out.push_str(&place.to_string());
            }
            None => out.push_str(number),
        }
    }
    out
}

fn write_distance(out: &mut String, time: u64, now: u64) {
    if time >= now {
        out.push_str(&format!("+{}", time - now));
    } else if now - time > PAST {
        out.push_str("long ago");
    } else {
        out.push_str(&format!("-{}", now - time));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn times_that_only_shift_and_numbers_that_only_count_make_no_other_state() {
        let state = |now: u64, conn: u64| {
            let due = now + 300;
            format!(
                "{{ConnId({conn}): Busy, ConnId({}): Idle({due})}} serial: {conn}, last: {conn} rung: 2",
                conn + 3
            )
        };
        let one = canon(&state(EPOCH + 5, 1), EPOCH + 5);
        assert_eq!(one, canon(&state(EPOCH + 999, 40), EPOCH + 999));
        assert_eq!(one, "{ConnId(0): Busy, ConnId(1): Idle(+300)} serial: 0, last: _ rung: 2");
        assert_ne!(one, canon(&state(EPOCH + 5, 1), EPOCH + 6), "a distance is part of the state");
    }
}
