//! Canonical form of states, by which equal states are recognized.
//!
//! A state is formatted with `Debug` and then normalized: times become distances from the current time, and counter values
//! (connections, stream attempts, requests) are renumbered in order of appearance. States with the same canonical form
//! behave equally, since core and module only compare distances of times, and compare counters only for equality.

/// Lower bound of all times in an explored world, us. No other number reaches it, so that times are recognizable in a
/// text.
pub const EPOCH: u64 = 1_000_000_000_000_000;

/// Largest distance into the past that is distinguished, us; older times are equal. In the explored worlds, whose paths
/// are shorter, core and module never look further back.
pub const MAX_PAST_US: u64 = 60_000_000;

/// Texts that precede counter values.
const COUNTER_PREFIXES: [&str; 5] = ["ConnId(", "serial: ", "try_no: ", "RequestTimeout(", "last: "];

/// Normalizes the text of a state at this time.
pub fn canonicalize(text: &str, now: u64) -> String {
    let bytes = text.as_bytes();
    let mut out = String::with_capacity(text.len());
    let mut seen_numbers: Vec<(usize, &str)> = Vec::new();
    let mut position = 0;
    while position < bytes.len() {
        let start = position;
        while position < bytes.len() && !bytes[position].is_ascii_digit() {
            position += 1;
        }
        out.push_str(&text[start..position]);
        let digits_start = position;
        while position < bytes.len() && bytes[position].is_ascii_digit() {
            position += 1;
        }
        let number = &text[digits_start..position];
        if number.is_empty() {
            continue;
        }
        if number.len() >= 16 {
            if let Some(time) = number.parse::<u64>().ok().filter(|time| *time >= EPOCH) {
                write_distance(&mut out, time, now);
                continue;
            }
        }
        match COUNTER_PREFIXES.iter().position(|name| text[..digits_start].ends_with(name)) {
            // The last assigned number has no influence: every holder of a number contains it.
            Some(4) => out.push('_'),
            Some(kind) => {
                let index_of_known = seen_numbers
                    .iter()
                    .filter(|(known_kind, _)| *known_kind == kind)
                    .position(|(_, known)| *known == number);
                let index = index_of_known.unwrap_or_else(|| {
                    seen_numbers.push((kind, number));
                    seen_numbers.iter().filter(|(known_kind, _)| *known_kind == kind).count() - 1
                });
                out.push_str(&index.to_string());
            }
            None => out.push_str(number),
        }
    }
    out
}

fn write_distance(out: &mut String, time: u64, now: u64) {
    if time >= now {
        out.push_str(&format!("+{}", time - now));
    } else if now - time > MAX_PAST_US {
        out.push_str("long ago");
    } else {
        out.push_str(&format!("-{}", now - time));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn shifted_times_and_counters_yield_the_same_state() {
        let state = |now: u64, conn: u64| {
            let due = now + 300;
            format!(
                "{{ConnId({conn}): Busy, ConnId({}): Idle({due})}} serial: {conn}, last: {conn} rung: 2",
                conn + 3
            )
        };
        let one = canonicalize(&state(EPOCH + 5, 1), EPOCH + 5);
        assert_eq!(one, canonicalize(&state(EPOCH + 999, 40), EPOCH + 999));
        assert_eq!(one, "{ConnId(0): Busy, ConnId(1): Idle(+300)} serial: 0, last: _ rung: 2");
        assert_ne!(one, canonicalize(&state(EPOCH + 5, 1), EPOCH + 6), "distances are part of the state");
    }
}
