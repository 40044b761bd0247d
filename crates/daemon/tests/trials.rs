//! Several processes of the daemon with faults between them, judged from their histories. Bounds are wide: these tell
//! that the whole holds together; the many orderings are played in virtual time (crates/trial).

use std::path::Path;
use std::sync::Mutex;

use salttally_judge::members::{judge, Property, Verdict};
use salttally_settings::Document;
use salttally_trial::describe::Trial;
use salttally_trial::{plan, processes};

/// One trial at a time: they share the addresses of this process, and the cores.
static ALONE: Mutex<()> = Mutex::new(());

fn played(text: &str) -> Verdict {
    let _alone = ALONE.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let document = Document::parse("trial.kdl", text).unwrap();
    let trial = Trial::read(&document).unwrap_or_else(|error| panic!("{error}"));
    let daemon = Path::new(env!("CARGO_BIN_EXE_salttallyd"));
    let played = processes::play(daemon, &trial, &plan::plan(&trial, 1), 1, &mut |_| {}).unwrap();
    let verdict = judge(&played.lines);
    assert_eq!(verdict.broken, []);
    verdict
}

const STATED: &str = "stated removed-ms=8000 equal-ms=7000; quiet-ms 9000; seeds 2";

#[test]
fn a_killed_process_leaves_every_view_and_its_next_start_enters_them() {
    let verdict = played(&format!(
        "trial \"kill\" {{ fronts 4; lasts-ms 9000; {STATED}; link loss=0.05
            fault \"kill\" fronts=\"2\" from-ms=500 to-ms=9000 }}"
    ));
    assert_eq!(verdict.crash_to_each.len(), 3, "{verdict:?}");
}

#[test]
fn a_stopped_process_accuses_nobody_on_waking_and_one_cut_one_way_removes_nobody() {
    let verdict = played(&format!(
        "trial \"stop\" {{ fronts 5; lasts-ms 6000; {STATED}
            fault \"stop\" fronts=\"3\" from-ms=500 to-ms=4500
            fault \"cut\" from=\"0\" to=\"1\" one-sided=#true
            fault \"clock\" fronts=\"2\" offset-s=3600 }}"
    ));
    assert!(verdict.decided[Property::ViewsBecomeEqual.description()] == 5, "{verdict:?}");
    assert!(verdict.stopped_removed > 0, "it was stopped for longer than is borne: {verdict:?}");
}
