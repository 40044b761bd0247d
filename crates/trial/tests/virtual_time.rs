//! Fleets of membership cores in virtual time, under the faults that the design is for.

use salttally_judge::members::{judge, Property, Verdict};
use salttally_members::core::Times;
use salttally_settings::Document;
use salttally_trial::describe::Trial;
use salttally_trial::{hunt, picture, plan, virt};
use serde_json::Value;

fn trial(text: &str) -> Trial {
    let document = Document::parse("trial.kdl", text).unwrap();
    Trial::read(&document).unwrap_or_else(|error| panic!("{error}"))
}

fn lines(trial: &Trial, seed: u64) -> Vec<Value> {
    let out = virt::play(trial, &plan::plan(trial, seed), seed, Times::default(), true);
    assert!(out.longest <= 1_200, "a datagram of {} bytes", out.longest);
    out.lines
}

fn played(text: &str, seed: u64) -> Verdict {
    let verdict = judge(&lines(&trial(text), seed));
    assert_eq!(verdict.broken, [], "{text} by seed {seed}");
    verdict
}

const LOSSY: &str = "link loss=0.2 delay-ms=0.5 jitter-ms=2";

#[test]
fn a_crash_leaves_every_view_and_its_return_enters_them() {
    for fronts in [3, 10, 30] {
        let fault = "fault \"kill\" fronts=\"1\" from-ms=1000 to-ms=10000";
        let verdict =
            played(&format!("trial \"crash\" {{ fronts {fronts}; lasts-ms 20000; {fault} }}"), fronts);
        assert_eq!(verdict.crash_to_each.len() as u64, fronts - 1);
    }
}

#[test]
fn loss_and_pauses_remove_nobody_who_runs() {
    let text = format!(
        "trial \"pauses\" {{ fronts 20; lasts-ms 60000; {LOSSY}; fault \"stops\" at-once=2 span-ms=4000
        fault \"cut\" from=\"4\" to=\"7\" one-sided=#true; fault \"kill\" fronts=\"9\" from-ms=20000 to-ms=30000 }}"
    );
    let verdict = played(&text, 2);
    assert!(verdict.stopped_removed > 0, "stops of 4 s are longer than what is borne");
}

#[test]
fn halves_that_are_cut_apart_remove_nobody_and_become_one_again() {
    let text = "trial \"halves\" { fronts 30; lasts-ms 60000; fault \"cut\" from=\"0..14\" to=\"15..29\" }";
    let verdict = played(text, 1);
    assert_eq!(
        verdict.decided[Property::NoneReachedIsRemoved.description()],
        0,
        "neither half is a majority"
    );
    assert_eq!(verdict.calm_to_equal, 0);
}

#[test]
fn a_minority_that_is_cut_off_removes_nobody_and_comes_back() {
    let text = "trial \"part\" { fronts 20; lasts-ms 30000; fault \"cut\" from=\"0..6\" to=\"7..19\" }";
    let trial = trial(text);
    let lines = lines(&trial, 1);
    assert_eq!(judge(&lines).broken, []);
    let removed_by: Vec<&str> = lines
        .iter()
        .filter(|line| line["gone"].as_array().is_some_and(|all| all.iter().any(|g| g[1] == "unreached")))
        .filter_map(|line| line["front"].as_str())
        .collect();
    let minority: Vec<String> = (0..7).map(plan::name).collect();
    assert!(!removed_by.is_empty() && removed_by.iter().all(|by| !minority.iter().any(|name| name == by)));
}

#[test]
fn a_front_that_is_heard_by_none_or_by_one_leaves_once_and_does_not_flap() {
    for heard_by in ["all", "0..8"] {
        let text = format!(
            "trial \"mute\" {{ fronts 10; lasts-ms 60000
            fault \"cut\" from=\"3\" to=\"{heard_by}\" one-sided=#true }}"
        );
        let lines = lines(&trial(&text), 1);
        assert_eq!(judge(&lines).broken, []);
        let gone = |line: &&Value| {
            line["front"] == "f0"
                && line["gone"].as_array().is_some_and(|all| all.iter().any(|g| g[0] == "f3"))
        };
        assert_eq!(lines.iter().filter(gone).count(), 1, "{heard_by}");
    }
}

#[test]
fn a_rolling_restart_of_all_and_of_all_at_once_come_together() {
    played(
        "trial \"rolling\" { fronts 30; lasts-ms 12000; fault \"rolling\" fronts=\"all\" span-ms=330 }",
        1,
    );
    // One is out, learns of the others, and they start anew one after the other: each knows the starts before of all
    // others, and no start of now.
    let text = "trial \"all\" { fronts 7; lasts-ms 20000; link loss=0.1; fault \"cut\" from=\"5\" to=\"all\" from-ms=1000 to-ms=11998
        fault \"stop\" fronts=\"3\" from-ms=11100 to-ms=13000; fault \"rolling\" fronts=\"all\" from-ms=12000 to-ms=12200 span-ms=300 }";
    (1..8).for_each(|seed| drop(played(text, seed)));
    played(
        "trial \"power\" { fronts 9; lasts-ms 2000; fault \"kill\" fronts=\"all\" from-ms=100 to-ms=900 }",
        1,
    );
}

#[test]
fn links_that_double_hold_back_and_slow_down_everything_change_nothing() {
    let text = "trial \"unruly\" { fronts 12; lasts-ms 30000
        fault \"link\" from=\"all\" to=\"all\" duplicate=1.0 reorder=0.5 jitter-ms=30 delay-ms=40
        fault \"clock\" fronts=\"2..4\" offset-s=3600; fault \"clock\" fronts=\"5\" offset-s=-3600 }";
    let verdict = played(text, 3);
    assert_eq!(verdict.decided[Property::NoneReachedIsRemoved.description()], 0);
}

#[test]
fn a_front_stopped_while_it_accuses_another_removes_nobody_on_waking() {
    // It is stopped just as all accuse the one that is cut off, which is back when it wakes and reads of that.
    for stop_ms in (7_400..7_900).step_by(100) {
        let text = format!(
            "trial \"asleep\" {{ fronts 7; lasts-ms 20000; fault \"cut\" from=\"4\" to=\"all\" from-ms=6910 to-ms=7850
            fault \"stop\" fronts=\"0\" from-ms={stop_ms} to-ms=14854 }}"
        );
        played(&text, 5);
    }
}

#[test]
fn one_seed_plays_the_same_to_the_letter() {
    let trial = trial(&format!(
        "trial \"same\" {{ fronts 9; lasts-ms 20000; {LOSSY}; fault \"crashes\" at-once=2 span-ms=3000 }}"
    ));
    let (one, other) = (lines(&trial, 11), lines(&trial, 11));
    assert_eq!(one, other);
    assert_ne!(one, lines(&trial, 12));
    let svg = picture::svg(&one);
    assert!(svg.contains("f8") && svg.matches("<polyline").count() == 9);
}

#[test]
fn drawn_schedules_break_nothing() {
    let base = trial("trial \"hunt\" { fronts 7; lasts-ms 30000; stated removed-ms=5000 }");
    // The first two were broken once: a row as old as a sleep, a doubt on top of three that were cut off.
    for seed in [3_010_306, 1_002_302, 767, 997, 274].into_iter().chain(0..40) {
        let drawn = hunt::drawn(&base, seed);
        assert_eq!(hunt::play(&drawn, seed), [], "seed {seed}: {:?}", drawn.faults);
    }
}

#[test]
fn a_trial_that_cannot_be_is_refused_with_line_and_reason() {
    let told = |text: &str| {
        let document = Document::parse("trial.kdl", text).unwrap();
        Trial::read(&document).expect_err(text).to_string()
    };
    let of = |fault: &str| told(&format!("trial \"t\" {{\nfronts 3\nlasts-ms 1000\n{fault}\n}}"));
    assert!(told("trial \"t\" { fronts 0; lasts-ms 1 }").contains("`fronts` lies"));
    assert!(of("fault \"kill\" fronts=\"3\"").starts_with("trial.kdl:4:1: front 3 of 3"));
    assert!(of("fault \"kill\" fronts=\"west\"").contains("no group"));
    assert!(of("fault \"fire\"").contains("known: kill, lose, stop"));
    assert!(of("fault \"stop\" fronts=\"1\" from-ms=900 to-ms=800").contains("ends after it begins"));
    assert!(of("link loss=2.0").contains("no share"));
}
