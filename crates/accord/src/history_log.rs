//! Events of one front as JSON lines, for operators and for the trial checker, which reads those of all
//! fronts. Times are microseconds by the writing front's clock.

use serde_json::{json, Value};

use crate::core::coordination::{Basis, CoordinationState};
use crate::core::rules::{RefusedParty, Rules, SessionRequest};
use crate::core::{Micros, Output};

fn refuses(rules: &Rules) -> Vec<String> {
    let viewer = |who: &RefusedParty| match who {
        RefusedParty::Viewer(name) => Some(name.clone()),
        RefusedParty::Tenant(_) => None,
    };
    rules.refused.iter().filter_map(viewer).collect()
}

fn hex(digest: &[u8]) -> String {
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The line for an output, if it is logged.
pub fn line(at: Micros, front: &str, output: &Output) -> Option<Value> {
    Some(match output {
        Output::HistoryAdvanced(position, digest, latest) => {
            json!({"at": at, "front": front, "took": position, "digest": hex(digest), "latest": latest})
        }
        Output::Version(number, rules) => {
            json!({"at": at, "front": front, "version": number, "refuses": refuses(rules)})
        }
        Output::Voting(Some((number, epoch))) => {
            json!({"at": at, "front": front, "votes": number, "epoch": epoch})
        }
        Output::Voting(None) => json!({"at": at, "front": front, "votes": null}),
        Output::HistoryDiverged(name) => json!({"at": at, "front": front, "parted": &**name}),
        Output::Reply(ticket, told) => {
            json!({"at": at, "front": front, "told": ticket, "what": format!("{told:?}")})
        }
        Output::Write(_) | Output::Send(_) | Output::Coordination(_) => return None,
    })
}

/// The line for a front that acts, or refuses to act, on a viewer's request now.
pub fn act(at: Micros, front: &str, coordination: &CoordinationState, now: Micros, viewer: &str) -> Value {
    let asked = SessionRequest { viewer, ..SessionRequest::default() };
    let by = match coordination.active_rules(now) {
        Ok((Basis::Lease, _)) => "lease",
        Ok((Basis::Meet, _)) => "meet",
        Err(_) => "none",
    };
    json!({"at": at, "front": front, "acts": viewer, "allowed": coordination.allows(now, &asked).is_ok(), "by": by,
        "begun": coordination.begun, "latest": coordination.latest})
}
