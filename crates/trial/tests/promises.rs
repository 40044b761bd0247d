//! Whole fronts in virtual time, with copies of their promises, under the faults that these are for.

use salttally_judge::copies::{judge, Property, Verdict};
use salttally_settings::Document;
use salttally_trial::describe::Trial;
use salttally_trial::{plan, whole};

fn trial(text: &str) -> Trial {
    let document = Document::parse("trial.kdl", text).unwrap();
    Trial::read(&document).unwrap_or_else(|error| panic!("{error}"))
}

fn played(text: &str, seed: u64) -> Verdict {
    let trial = trial(text);
    let described = trial.promises.clone().unwrap();
    let out = whole::play(&trial, &described, &plan::plan(&trial, seed), seed);
    let verdict = judge(&out.lines);
    assert_eq!(verdict.broken, [], "{text} by seed {seed}");
    assert!(verdict.counts[0] > 20, "too little happened: {verdict:?}");
    verdict
}

#[test]
fn with_no_fault_nothing_is_lost_or_taken_over_and_all_places_are_free_at_the_end() {
    let verdict = played(
        "trial \"calm\" { fronts 5; lasts-ms 40000; quiet-ms 60000; promises viewers=40; link loss=0.01
            fault \"link\" from=\"0\" to=\"1\" }",
        1,
    );
    assert_eq!(verdict.counts[1], 0);
}

const HERE: &str = "quiet-ms 75000; promises viewers=30";

#[test]
fn a_machine_lost_with_its_disk_and_then_its_heir_lose_nothing() {
    let verdict = played(
        &format!(
            "trial \"heirs\" {{ fronts 6; lasts-ms 40000; {HERE}
                fault \"lose\" fronts=\"4\" from-ms=4000 to-ms=30000
                fault \"lose\" fronts=\"5\" from-ms=14000 to-ms=30000
                fault \"kill\" fronts=\"3\" from-ms=24000 to-ms=32000 }}"
        ),
        2,
    );
    assert!(verdict.counts[1] >= 2, "{:?}", verdict.counts);
    assert!(verdict.found.iter().all(|took| *took < 8_000_000), "{:?}", verdict.found);
}

#[test]
fn stops_of_one_to_twenty_seconds_around_a_take_over_lose_and_double_nothing() {
    for (span, seed) in [(1_000, 1), (2_500, 2), (3_000, 3), (3_500, 4), (6_000, 5), (20_000, 6)] {
        let to = 4_000 + span;
        played(
            &format!(
                "trial \"stops\" {{ fronts 5; lasts-ms 30000; {HERE}
                    fault \"stop\" fronts=\"3\" from-ms=4000 to-ms={to}
                    fault \"stop\" fronts=\"4\" from-ms=5500 to-ms={} }}",
                to + 1_500
            ),
            seed,
        );
    }
}

#[test]
fn an_owner_cut_off_one_way_and_both_ways_is_one_owner_at_a_time() {
    for (sided, seed) in [("#true", 1), ("#false", 2), ("#true", 3)] {
        played(
            &format!(
                "trial \"cuts\" {{ fronts 5; lasts-ms 30000; {HERE}; link loss=0.05
                    fault \"cut\" from=\"3\" to=\"all\" one-sided={sided} from-ms=3000 to-ms=14000
                    fault \"cut\" from=\"0..2\" to=\"4\" one-sided={sided} from-ms=12000 to-ms=22000 }}"
            ),
            seed,
        );
    }
}

#[test]
fn a_fleet_that_loses_power_at_once_comes_back_with_what_it_promised() {
    played(
        &format!("trial \"power\" {{ fronts 5; lasts-ms 20000; {HERE}; fault \"kill\" fronts=\"all\" from-ms=8000 to-ms=10000 }}"),
        3,
    );
}

#[test]
fn one_seed_gives_one_course_to_the_byte() {
    let trial = trial(&format!(
        "trial \"again\" {{ fronts 5; lasts-ms 20000; {HERE}; link loss=0.1; fault \"lose\" fronts=\"3\" from-ms=4000 to-ms=9000 }}"
    ));
    let described = trial.promises.clone().unwrap();
    let lines = || whole::play(&trial, &described, &plan::plan(&trial, 9), 9).lines;
    assert_eq!(lines(), lines());
}

#[test]
fn a_judge_that_sees_a_lost_session_a_second_set_up_two_owners_and_a_held_place_says_so() {
    let lines = |text: &str| -> Vec<serde_json::Value> {
        text.lines().map(|line| serde_json::from_str(line).unwrap()).collect()
    };
    let head = r#"{"at":0,"truth":"trial","freed_us":1000}
{"at":1,"front":"f0","copies_at":["f1"]}
{"at":5,"viewer":1,"plays":"f0-1-1","front":"f0"}"#;
    let broken = |more: &str| {
        let verdict = judge(&lines(&format!("{head}\n{more}")));
        verdict.broken.into_iter().map(|(of, _)| of).collect::<Vec<_>>()
    };
    let lost = r#"{"at":9,"viewer":1,"lost":"f0-1-1","why":"unknown","front":"f1"}"#;
    let disk = |front: &str| format!("{{\"at\":8,\"truth\":\"disk_lost\",\"front\":\"{front}\"}}");
    assert_eq!(broken(lost), [Property::SessionsSurvive]);
    assert_eq!(broken(&format!("{}\n{lost}", disk("f0"))), [Property::SessionsSurvive], "a copy was left");
    assert_eq!(broken(&format!("{}\n{}\n{lost}", disk("f0"), disk("f1"))), []);
    let set_up = r#"{"at":2,"box":0,"set_up":"f0-1-1","attempt":0,"paid":true,"front":"f0"}"#;
    assert_eq!(broken(set_up), []);
    assert_eq!(
        broken(&format!("{set_up}\n{}", set_up.replace("\"at\":2", "\"at\":3"))),
        [Property::PaidOnce]
    );
    let adopts = r#"{"at":6,"front":"f1","adopts":"f0-1","epoch":1}"#;
    let act = |at: u64, front: &str, epoch: u64| {
        format!("{{\"at\":{at},\"front\":\"{front}\",\"acts\":\"f0-1-1\",\"epoch\":{epoch},\"what\":\"release\"}}")
    };
    assert_eq!(broken(&format!("{adopts}\n{}\n{}", act(5, "f0", 0), act(7, "f1", 1))), []);
    assert_eq!(broken(&format!("{adopts}\n{}", act(7, "f0", 0))), [Property::OneOwner]);
    assert_eq!(broken(&act(7, "f1", 1)), [Property::OneOwner]);
    let held = r#"{"at":9000,"box":0,"holds":["f0-1-1"]}"#;
    assert_eq!(broken(held), [], "it plays");
    assert_eq!(
        broken(&format!("{}\n{held}", r#"{"at":7,"viewer":1,"closed":"f0-1-1"}"#)),
        [Property::PlacesFreed]
    );
}

#[test]
fn one_crash_and_one_stop_at_steps_of_a_promise_break_nothing() {
    let trial = trial(
        "trial \"small\" { fronts 3; lasts-ms 2000; quiet-ms 90000; fault \"link\" from=\"0\" to=\"1\"
            promises viewers=2 boxes=2 watch-from-ms=9000 watch-to-ms=9001 }",
    );
    let placed = whole::placements(&trial, &trial.promises.clone().unwrap(), 1, 16);
    assert_eq!(placed.broken, None);
    assert!(placed.steps > 20 && placed.schedules[0] >= 60 && placed.schedules[1] > 20, "{placed:?}");
}
