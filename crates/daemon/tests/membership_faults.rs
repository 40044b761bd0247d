//! Runs several processes of the daemon with injected faults and judges their histories. Bounds are wide: these tests check
//! that the parts work together, while crates/trial covers the many event orderings in virtual time.

use std::path::Path;
use std::sync::Mutex;

use salttally_judge::members::{judge, Property, Verdict};
use salttally_settings::Document;
use salttally_trial::describe::Trial;
use salttally_trial::{plan, processes};

/// Serializes the trials, which share the addresses of this process and the cores.
static TRIAL_LOCK: Mutex<()> = Mutex::new(());

fn judge_trial(text: &str) -> Verdict {
    let _guard = TRIAL_LOCK.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let document = Document::parse("trial.kdl", text).unwrap();
    let trial = Trial::read(&document).unwrap_or_else(|error| panic!("{error}"));
    let daemon = Path::new(env!("CARGO_BIN_EXE_salttallyd"));
    let played = processes::play(daemon, &trial, &plan::plan(&trial, 1), 1, &mut |_| {}).unwrap();
    let verdict = judge(&played.lines);
    assert_eq!(verdict.broken, []);
    verdict
}

const BOUNDS: &str = "stated removed-ms=8000 equal-ms=7000; quiet-ms 9000; seeds 2";

#[test]
fn a_killed_process_leaves_all_views_and_rejoins_them_after_its_restart() {
    let verdict = judge_trial(&format!(
        "trial \"kill\" {{ fronts 4; lasts-ms 9000; {BOUNDS}; link loss=0.05
            fault \"kill\" fronts=\"2\" from-ms=500 to-ms=9000 }}"
    ));
    assert_eq!(verdict.crash_to_each.len(), 3, "{verdict:?}");
}

#[test]
fn neither_a_resumed_process_nor_a_one_way_partition_removes_healthy_members() {
    let verdict = judge_trial(&format!(
        "trial \"stop\" {{ fronts 5; lasts-ms 6000; {BOUNDS}
            fault \"stop\" fronts=\"3\" from-ms=500 to-ms=4500
            fault \"cut\" from=\"0\" to=\"1\" one-sided=#true
            fault \"clock\" fronts=\"2\" offset-s=3600 }}"
    ));
    assert!(verdict.decided[Property::ViewsBecomeEqual.description()] == 5, "{verdict:?}");
    assert!(
        verdict.stopped_removed > 0,
        "it was suspended for longer than the tolerated silence: {verdict:?}"
    );
}
