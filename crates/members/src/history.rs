//! The history of membership events at one front, as JSON lines: for operators, and for the judge of trials, which reads
//! those of all fronts. Times are Unix time in microseconds by the machine's clock; in trials that step clocks, by the
//! trial's clock.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;

use serde_json::{json, Value};

use crate::core::{Members, Micros, Output};

/// Writer of a history file, or of nothing.
#[derive(Debug, Default)]
pub struct History(Option<File>);

impl History {
    /// Opens a file for appending; without a path nothing is written.
    ///
    /// # Errors
    /// The file cannot be opened for writing.
    pub fn open(path: Option<&Path>) -> io::Result<History> {
        let open = |path| File::options().create(true).append(true).open(path);
        Ok(History(path.map(open).transpose()?))
    }

    /// Writes a line for an output that is an event. Write errors are ignored, so that they don't affect the front.
    pub fn write(&mut self, at: Micros, front: &str, output: &Output) {
        let Some(file) = &mut self.0 else { return };
        if let Some(line) = line(at, front, output) {
            let _ = file.write_all(format!("{line}\n").as_bytes());
        }
    }

    /// Writes a line for the start of the front.
    pub fn write_start(&mut self, at: Micros, front: &str, boot: u64) {
        if let Some(file) = &mut self.0 {
            let _ =
                file.write_all(format!("{}\n", json!({"at": at, "front": front, "starts": boot})).as_bytes());
        }
    }
}

/// The history line of an output; `None` for messages.
pub fn line(at: Micros, front: &str, output: &Output) -> Option<Value> {
    Some(match output {
        Output::View(change) => {
            let gone: Vec<Value> = change.gone.iter().map(|(name, why)| json!([&**name, why])).collect();
            let names =
                |all: &[crate::core::view::Name]| all.iter().map(|name| name.to_string()).collect::<Vec<_>>();
            json!({"at": at, "front": front, "view": change.number, "digest": format!("{:016x}", change.digest),
                "members": names(&change.members), "joined": names(&change.joined), "gone": gone})
        }
        Output::StageChanged(stage) => json!({"at": at, "front": front, "stands": stage}),
        Output::AccusationChanged(name, on) => {
            json!({"at": at, "front": front, "accuses": &**name, "on": on})
        }
        Output::Paused(pause) => json!({"at": at, "front": front, "lost_us": pause}),
        Output::NameInUse(from) => json!({"at": at, "front": front, "name_in_use": from}),
        Output::Send(..) => return None,
    })
}

/// A one-line summary of a front's state for the log.
pub fn summary(members: &Members) -> String {
    let (paused, pause_count) = members.paused();
    format!(
        "view {} of {} members, {:?}; not running {} ms in {pause_count} pauses",
        members.view().number(),
        members.view().len(),
        members.stage(),
        paused / 1000
    )
}
