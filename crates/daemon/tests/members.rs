//! Membership in the daemon: rejected settings, the view shown to operators, and key rotation.

mod node;

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use node::{request_session, Node, CELLS};
use rustix::process::{kill_process, Pid, Signal};
use salttally_members::ask::{ask, Shown};
use salttally_members::settings::Settings;
use salttally_platform::wire::kind;
use salttally_settings::Document;
use salttally_standin::platform::Platform;

const FRONT_SETTINGS: &str = r#"front "NAME" { listen "IP:7011"; }
box-list "IP:9"
fleet cells=1 link-kb=10000 links-kb=10000 refuses-from=1.0
ladder { rung kb=200 worth=1.0; }
class "clip" aim-ms=1000
title "welcome" first-cell=0 cells=1
rules { attempts 3; drain-grace-ms 1000; warm-up-ms 1000; cold-from 0.4; fall-multiple 2.0; fall-ms 1000; }
"#;

fn key(byte: &str) -> String {
    format!("key \"{}\"", byte.repeat(32))
}

fn ip(number: u8) -> String {
    format!("127.{}.9.{number}", 20 + std::process::id() % 200)
}

fn write_settings(number: u8, members: &str) -> PathBuf {
    let text = format!("{FRONT_SETTINGS}members {{\n{members}\n}}\n").replace("NAME", &format!("m{number}"));
    let path = std::env::temp_dir().join(format!("salttally-members-{number}-{}.kdl", std::process::id()));
    fs::write(&path, text.replace("IP", &ip(number))).unwrap();
    path
}

fn daemon_command(path: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_salttallyd"));
    command.arg("--config").arg(path).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
    command
}

#[test]
fn invalid_settings_are_rejected_with_file_line_and_reason() {
    let good = key("5a");
    let cases = [
        ("bind \"IP:7311\"\nkey \"5a5a\"".into(), "a key of 2 bytes"),
        (format!("bind \"IP:7311\"\nkey \"{}\"", "zz".repeat(32)), "hex digits"),
        ("bind \"IP:7311\"".into(), "`key` is missing"),
        (good.clone(), "`bind` is missing"),
        (format!("bind \"here\"\n{good}"), "no address and port"),
        (format!("bind \"IP:7311\"\n{good}\nperiod-ms 800"), "under twice"),
        (format!("bind \"IP:7311\"\n{good}\nhurry-ms 0"), "`hurry-ms` lies"),
        (format!("bind \"IP:7311\"\n{good}\nobservers 0"), "`observers` lies"),
        (format!("bind \"IP:7311\"\n{good}\nseeds \"IP:7311\" \"IP:7311\""), "stands twice"),
        (format!("bind \"IP:7311\"\nadvertise \"10.0.0.1:1\"\n{good}\nseeds \"IP:7311\""), "own `bind`"),
        (format!("bind \"0.0.0.0:7311\"\n{good}"), "all zeros"),
        (format!("bind \"IP:7311\"\n{good}\nperiod 3"), "no setting here"),
    ];
    for (number, (members, reason)) in cases.iter().enumerate() {
        let path = write_settings(number as u8 + 1, members);
        let Output { status, stderr, .. } = daemon_command(&path).arg("--check").output().unwrap();
        let text = String::from_utf8_lossy(&stderr);
        let first = text.lines().next().unwrap_or_default();
        assert_eq!(status.code(), Some(2), "{members}: {text}");
        let place = format!("{}:", path.display());
        assert!(first.contains(&place) && first.contains(reason), "{members}: {first}");
        let _ = fs::remove_file(path);
    }
}

/// A daemon and its settings file; killed and removed when dropped.
struct RunningDaemon(Child, PathBuf);

impl Drop for RunningDaemon {
    fn drop(&mut self) {
        let _ = (self.0.kill(), self.0.wait(), fs::remove_file(&self.1));
    }
}

fn settings(path: &Path) -> Settings {
    Settings::read(&Document::load(path).unwrap()).unwrap().unwrap()
}

/// Waits until the daemon shows a view that meets the condition, and returns it.
fn wait_for_view(path: &Path, condition: impl Fn(&Shown) -> bool) -> Shown {
    let deadline = Instant::now() + Duration::from_secs(10);
    loop {
        let shown = ask(&settings(path)).unwrap_or_default();
        if condition(&shown) {
            return shown;
        }
        assert!(Instant::now() < deadline, "{shown:?}");
        thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn an_operator_sees_the_view_and_can_rotate_keys_without_a_restart() {
    let seeds = format!("seeds \"{}:7311\"", ip(101));
    let write_with_keys =
        |number: u8, keys: &str| write_settings(number, &format!("bind \"IP:7311\"\n{seeds}\n{keys}"));
    let start =
        |path: PathBuf| RunningDaemon(daemon_command(&path).stderr(Stdio::null()).spawn().unwrap(), path);
    let daemons: Vec<RunningDaemon> =
        (101..104).map(|number| start(write_with_keys(number, &key("5a")))).collect();
    let sees_three = |shown: &Shown| shown.members.len() == 3 && shown.head["stage"] == "in";
    for running in &daemons {
        let shown = wait_for_view(&running.1, sees_three);
        assert_eq!(shown.head["high"], 2);
    }
    // The new key is added to all rings in second place, then moved to the first place, then the old key is removed.
    for keys in [[key("5a"), key("6b")], [key("6b"), key("5a")], [key("6b"), String::new()]] {
        for (number, running) in (101..104).zip(&daemons) {
            write_with_keys(number, &keys.join("\n"));
            kill_process(Pid::from_child(&running.0), Signal::HUP).unwrap();
        }
        thread::sleep(Duration::from_millis(300));
        daemons.iter().for_each(|running| drop(wait_for_view(&running.1, sees_three)));
    }
    // A process that has only the old key is not admitted.
    let stranger = start(write_with_keys(104, &key("5a")));
    thread::sleep(Duration::from_secs(1));
    assert!(wait_for_view(&daemons[0].1, sees_three).members.iter().all(|member| member["name"] != "m104"));
    assert_eq!(wait_for_view(&stranger.1, |shown| !shown.head.is_null()).head["stage"], "joining");
    // A process that shuts down gracefully announces it and is removed at once.
    kill_process(Pid::from_child(&daemons[2].0), Signal::TERM).unwrap();
    let begun = Instant::now();
    wait_for_view(&daemons[0].1, |shown| shown.members.len() == 2);
    assert!(begun.elapsed() < Duration::from_millis(900), "{:?}", begun.elapsed());
}

#[test]
fn front_nodes_join_each_other_by_a_members_file_beside_their_configuration() {
    let platform = Platform::start(CELLS).unwrap();
    let write_members_file = |name: &str, at: u8| {
        let config = std::env::temp_dir().join(format!("salttally-{name}-{}.json", std::process::id()));
        let path = config.with_extension("members.kdl");
        let (ip, seed, key) = (ip(at), ip(201), key("5a"));
        let text =
            format!("front \"{name}\"\nmembers {{ bind \"{ip}:7311\"; seeds \"{seed}:7311\"; {key}; }}");
        fs::write(&path, text).unwrap();
        path
    };
    let paths = [write_members_file("know-a", 201), write_members_file("know-b", 202)];
    let (first, mut second) = (Node::start(&platform, "know-a", 256), Node::start(&platform, "know-b", 256));
    for path in &paths {
        wait_for_view(path, |shown| shown.members.len() == 2 && shown.head["stage"] == "in");
    }
    for (id, node) in [(1, &first), (2, &second)] {
        assert_eq!(request_session(&mut node.viewer(), id, "paid").kind, kind::ANSWER);
    }
    second.signal(Signal::TERM);
    assert!(second.wait_for_exit(Duration::from_secs(4)).is_some_and(|status| status.success()));
    wait_for_view(&paths[0], |shown| shown.members.len() == 1);
    paths.iter().for_each(|path| drop(fs::remove_file(path)));
}
