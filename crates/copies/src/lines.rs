//! What happened at one front, as JSON lines: for operators, and for the checker of trials.

use serde_json::{json, Value};

use crate::core::{Micros, Output};

/// A line for what the core says, where it is worth one.
pub fn line(at: Micros, front: &str, output: &Output) -> Option<Value> {
    Some(match output {
        Output::Adopt(life, epoch, promises) => {
            let keys: Vec<&str> = promises.iter().map(|(key, _)| &**key).collect();
            json!({"at": at, "front": front, "adopts": &**life, "epoch": epoch, "sessions": keys})
        }
        Output::Replaced(life, heir) => {
            json!({"at": at, "front": front, "replaced": &**life, "by": &*heir.name, "epoch": heir.epoch})
        }
        Output::Gone(life) => json!({"at": at, "front": front, "gave_up": &**life}),
        Output::Over(life) => json!({"at": at, "front": front, "over": &**life}),
        Output::Group(names) => {
            let names: Vec<&str> = names.iter().map(|name| &**name).collect();
            json!({"at": at, "front": front, "copies_at": names})
        }
        Output::Kept(key, false) => json!({"at": at, "front": front, "not_kept": &**key}),
        Output::Kept(_, true) | Output::Write(_) | Output::Send(..) | Output::Succeed(_) => return None,
    })
}
