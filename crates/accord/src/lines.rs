//! What happened at one front, as JSON lines: for operators, and for the checker of trials, which reads those of all
//! fronts. Times are microseconds of whoever writes.

use serde_json::{json, Value};

use crate::core::rules::{Asked, Rules, Who};
use crate::core::stand::{By, Stand};
use crate::core::{Micros, Output};

fn refuses(rules: &Rules) -> Vec<String> {
    let viewer = |who: &Who| match who {
        Who::Viewer(name) => Some(name.clone()),
        Who::Firm(_) => None,
    };
    rules.refused.iter().filter_map(viewer).collect()
}

fn hex(digest: &[u8]) -> String {
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// A line for what the core says, where it is worth one.
pub fn line(at: Micros, front: &str, output: &Output) -> Option<Value> {
    Some(match output {
        Output::Took(position, digest, latest) => {
            json!({"at": at, "front": front, "took": position, "digest": hex(digest), "latest": latest})
        }
        Output::Version(number, rules) => {
            json!({"at": at, "front": front, "version": number, "refuses": refuses(rules)})
        }
        Output::Votes(Some((number, epoch))) => {
            json!({"at": at, "front": front, "votes": number, "epoch": epoch})
        }
        Output::Votes(None) => json!({"at": at, "front": front, "votes": null}),
        Output::Parted(name) => json!({"at": at, "front": front, "parted": &**name}),
        Output::Told(ticket, told) => {
            json!({"at": at, "front": front, "told": ticket, "what": format!("{told:?}")})
        }
        Output::Write(_) | Output::Send(_) | Output::Stand(_) => return None,
    })
}

/// A front acts, or does not, on what a viewer asks for now.
pub fn act(at: Micros, front: &str, stand: &Stand, now: Micros, viewer: &str) -> Value {
    let asked = Asked { viewer, ..Asked::default() };
    let by = match stand.acts(now) {
        Ok((By::Lease, _)) => "lease",
        Ok((By::Meet, _)) => "meet",
        Err(_) => "none",
    };
    json!({"at": at, "front": front, "acts": viewer, "allowed": stand.allows(now, &asked).is_ok(), "by": by,
        "begun": stand.begun, "latest": stand.latest})
}
