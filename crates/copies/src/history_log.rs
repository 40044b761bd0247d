//! Events of one front as JSON lines, for operators and for the trial checker.

use serde_json::{json, Value};

use crate::core::{Micros, Output};

/// The line for an output, if it is logged.
pub fn line(at: Micros, front: &str, output: &Output) -> Option<Value> {
    Some(match output {
        Output::TakeOver(incarnation, epoch, promises) => {
            let keys: Vec<&str> = promises.iter().map(|(key, _)| &**key).collect();
            json!({"at": at, "front": front, "adopts": &**incarnation, "epoch": epoch, "sessions": keys})
        }
        Output::TakenOver(incarnation, successor) => {
            json!({"at": at, "front": front, "replaced": &**incarnation, "by": &*successor.name, "epoch": successor.epoch})
        }
        Output::TakeoverSuperseded(incarnation) => {
            json!({"at": at, "front": front, "gave_up": &**incarnation})
        }
        Output::IncarnationEnded(incarnation) => json!({"at": at, "front": front, "over": &**incarnation}),
        Output::HoldersChanged(names) => {
            let names: Vec<&str> = names.iter().map(|name| &**name).collect();
            json!({"at": at, "front": front, "copies_at": names})
        }
        Output::RecordStored(key, false) => json!({"at": at, "front": front, "not_kept": &**key}),
        Output::RecordStored(_, true) | Output::Write(_) | Output::Send(..) | Output::ChangeSuccessors(_) => {
            return None
        }
    })
}
