use super::*;

/// Settings of a small front with at least one entry of each kind.
pub(crate) const SMALL: &str = r#"
front "f0" seed=7 { listen "127.0.0.1:0"; }
box-list "127.0.0.1:1"
fleet cells=4 link-kb=5000 links-kb=20000 refuses-from=1.0 { kind-streams 20; reports "streams" "link"; }
ladder {
    rung kb=200 worth=0.2
    rung kb=500 worth=0.6
    rung kb=1000 worth=1.0
}
class "clip" aim-ms=500
class "paid" aim-ms=500 effect="once" floor=1
title "a" first-cell=0 cells=4
rules { drain-grace-ms 250; warm-up-ms 4000; cold-from 0.4; fall-multiple 2.0; fall-ms 1000; attempts 3; }
"#;

/// The parsed settings.
pub(crate) fn settings() -> Settings {
    Settings::parse("small.kdl", SMALL).unwrap_or_else(|error| panic!("{error}"))
}

#[track_caller]
fn refused(from: &str, to: &str, place: &str, reason: &str) {
    let text = SMALL.replace(from, to);
    assert_ne!(text, SMALL, "`{from}` is not in the settings");
    let error = Settings::parse("small.kdl", &text).expect_err("must be refused").to_string();
    assert!(error.starts_with(place) && error.contains(reason), "{error}");
}

#[test]
fn settings_that_would_break_a_rule_are_refused_with_file_line_and_reason() {
    refused("floor=1", "floor=2 top=1", "small.kdl:11:1", "no rung keeps the terms");
    refused("effect=\"once\"", "effect=\"twice\"", "small.kdl:11:1", "none of safe");
    refused("attempts 3;", "attempts 3; second-copies #true;", "small.kdl:13:", "two attempts out at once");
    refused("attempts 3;", "attempts 0;", "small.kdl:13:1", "sets nothing up");
    refused("attempts 3;", "hold-off-ms 0;", "small.kdl:13:1", "straight back");
    refused("cold-from 0.4", "cold-from 1.5", "small.kdl:13:1", "rule 4");
    refused("fall-multiple 2.0", "fall-multiple 0.5", "small.kdl:13:1", "rule 4");
    refused("kb=500", "kb=100", "small.kdl:5:1", "lowest rate to the highest");
    refused("aim-ms=500\n", "aim-ms=90000\n", "small.kdl:10:1", "longer than any viewer may wait");
    refused("aim-ms=500\n", "aim-ms=200\n", "small.kdl:10:1", "whole aim");
    refused("cells=4\nrules", "cells=5\nrules", "small.kdl:12:1", "outside the fleet's 4 cells");
    refused("class \"paid\"", "class \"clip\"", "small.kdl:11:1", "stands twice");
    refused("\"127.0.0.1:1\"", "\"nowhere\"", "small.kdl:3:1", "no address and port");
    refused("title \"a\"", "tittle \"a\"", "small.kdl:12:1", "`tittle` is no setting here");
    refused("drain-grace-ms 250;", "", "small.kdl:13:1", "`drain-grace-ms` is missing");
}

#[test]
fn a_minimum_patience_above_the_maximum_is_refused() {
    let text = format!("{SMALL}\nlimits {{ patience-least-ms 10; patience-most-ms 5; }}\n");
    let error = Settings::parse("small.kdl", &text).expect_err("must be refused").to_string();
    assert!(error.contains("patience-most-ms"), "{error}");
}

#[test]
fn too_many_players_for_the_process_are_refused_if_configured_and_lowered_if_not() {
    use crate::core::process_limits::ProcessLimits;
    let dir = std::env::temp_dir().join(format!("salttally-room-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let load = |limits: &str, files: u64| {
        let path = dir.join("front.kdl");
        std::fs::write(&path, format!("{SMALL}\nlimits {{ {limits} }}\n")).expect("written");
        Settings::load_for_process(&path, &ProcessLimits { files, maps: 65_530 })
    };
    let error = load("players 900; connections-to-boxes 100", 1_024).expect_err("refused").to_string();
    assert!(
        error.contains(":15:1") && error.contains("`players` 900") && error.contains("2164 files"),
        "{error}"
    );
    let admission = load("connections-to-boxes 100", 1_024).expect("holds").io.admission;
    assert_eq!((admission.players, admission.handshakes, admission.reserve), (665, 95, 83));
    let error = load("", 1_024).expect_err("refused").to_string();
    assert!(error.contains("no room for players beside 2048"), "{error}");
    assert!(load("", 20_000).is_ok());
    std::fs::remove_dir_all(&dir).expect("removed");
}
