//! Versions among processes: agreed on under faults, kept on disks that fail, and heeded by the front's own sessions.
#![allow(clippy::disallowed_types, clippy::disallowed_methods)]

mod rig;

use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rig::{head, script, wait};
use rustix::process::{kill_process, Pid, Signal};
use salttally_accord::core::disk::{Image, VoterState, Write as Change};
use salttally_accord::core::history::{Entry, History, Proposal};
use salttally_accord::core::rules::{ClassTerms, RefusedParty, Rules};
use salttally_accord::query::{ask, AskError};
use salttally_accord::settings::Settings;
use salttally_accord::store::{OpenOutcome, Store, StoreError};
use salttally_accord::wire::Question;
use salttally_judge::accord::judge;
use salttally_settings::Document;
use salttally_standin::day::Day;
use salttally_standin::players::PlayerConnection;
use salttally_trial::describe::Trial;
use salttally_trial::{plan, processes};
use serde_json::Value;

const DAEMON: &str = env!("CARGO_BIN_EXE_salttallyd");

#[test]
fn processes_agree_while_a_voter_is_killed_another_stopped_and_one_cut_off() {
    let text = "trial \"versions\" { fronts 4; seeds 2; lasts-ms 9000; quiet-ms 15000; stated equal-ms=13000
        versions voters=3 every-ms=1200; link loss=0.02
        fault \"kill\" fronts=\"0\" from-ms=500 to-ms=3500
        fault \"stop\" fronts=\"1\" from-ms=4500 to-ms=6500
        fault \"cut\" from=\"3\" to=\"0..2\" one-sided=#true from-ms=6500 to-ms=9000 }";
    let trial = Trial::read(&Document::parse("trial.kdl", text).unwrap()).unwrap();
    let played = processes::play(Path::new(DAEMON), &trial, &plan::plan(&trial, 1), 1, &mut |_| {}).unwrap();
    let verdict = judge(&played.lines);
    assert_eq!(verdict.broken, []);
    assert!(verdict.decided.values().all(|count| *count > 0) && verdict.acts[0] > 100, "{verdict:?}");
}

/// Fronts without a relay, each on its own address, all in one folder.
struct Fleet {
    folder: PathBuf,
    block: (u8, u8),
    children: Vec<Option<Child>>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.children.iter_mut().flatten() {
            let _ = (child.kill(), child.wait());
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    fn new(name: &str) -> Fleet {
        let folder = std::env::temp_dir().join(format!("salttally-accord-{name}-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        static FLEETS: AtomicU8 = AtomicU8::new(90);
        let own = FLEETS.fetch_add(1, Ordering::Relaxed);
        let here = (std::process::id() % 60) as u8;
        let free = |block: &u8| TcpListener::bind((Ipv4Addr::new(127, *block, own, 1), 7301)).is_ok();
        let block = (0..180u8).map(|step| 20 + (here * 3 + step) % 180).find(free).unwrap();
        let block = (block, own);
        Fleet { folder, block, children: (0..3).map(|_| None).collect() }
    }

    fn address(&self, front: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.block.0, self.block.1, front as u8 + 1)
    }

    fn config(&self, front: usize) -> PathBuf {
        self.folder.join(format!("f{front}.kdl"))
    }

    fn store(&self, front: usize) -> PathBuf {
        self.folder.join(format!("f{front}.redb"))
    }

    fn write(&self, front: usize, more: &str) {
        let at = self.address(front);
        let seeds: Vec<String> = (0..3).map(|seed| format!("\"{}:7301\"", self.address(seed))).collect();
        let text = format!(
            r#"front "f{front}" {{ listen "{at}:7001"; }}
box-list "{at}:9"
fleet cells=1 link-kb=10000 links-kb=10000 refuses-from=1.0
ladder {{ rung kb=200 worth=1.0; }}
class "clip" aim-ms=1000
title "welcome" first-cell=0 cells=1
rules {{ attempts 3; drain-grace-ms 1000; warm-up-ms 1000; cold-from 0.4; fall-multiple 2.0; fall-ms 1000; }}
members {{ bind "{at}:7301"; seeds {seeds}; key "{key}"; }}
accord {{ voters "f0" "f1" "f2"; store {store:?}; {more} }}
"#,
            seeds = seeds.join(" "),
            key = "6b".repeat(32),
            store = self.store(front).display().to_string(),
        );
        fs::write(self.config(front), text).unwrap();
    }

    fn start(&mut self, front: usize, more: &str) {
        self.write(front, more);
        let config = self.config(front);
        self.start_by(front, Command::new(DAEMON).arg("--config").arg(config));
    }

    fn start_by(&mut self, front: usize, command: &mut Command) {
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("f{front}.log")))
            .unwrap();
        let mut child = command.stdout(Stdio::piped()).stderr(log).spawn().unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        assert!(line.starts_with("listening"), "{line}: {}", self.log(front));
        self.children[front] = Some(child);
    }

    fn kill(&mut self, front: usize) {
        let mut child = self.children[front].take().unwrap();
        let _ = (child.kill(), child.wait());
    }

    fn log(&self, front: usize) -> String {
        fs::read_to_string(self.folder.join(format!("f{front}.log"))).unwrap_or_default()
    }

    fn settings(&self, front: usize) -> Settings {
        Settings::load(&self.config(front)).unwrap().unwrap()
    }

    fn status(&self, front: usize) -> Value {
        let said = ask(&self.settings(front), Question::Status).unwrap_or_default();
        serde_json::from_str(&said).unwrap_or_default()
    }

    fn until(&self, front: usize, what: &str, holds: impl Fn(&Value) -> bool) {
        let begun = Instant::now();
        while !holds(&self.status(front)) {
            let log = self.log(front);
            assert!(begun.elapsed() < Duration::from_secs(30), "{what}: {}\n{log}", self.status(front));
            thread::sleep(Duration::from_millis(50));
        }
    }

    fn propose(&self, front: usize, base: Option<u64>, rules: Rules) -> Result<String, AskError> {
        ask(&self.settings(front), Question::Propose(base, "test".into(), Box::new(rules)))
    }

    /// Asks a front to play something; the answer's error, if it is one.
    fn open(&self, front: usize, viewer: &str) -> Value {
        use tungstenite::client::IntoClientRequest;
        let url = format!("ws://{}:7001/", self.address(front));
        let mut request = url.into_client_request().unwrap();
        request.headers_mut().insert("Sec-WebSocket-Protocol", "session.v1.salttally".parse().unwrap());
        let stream = std::net::TcpStream::connect(SocketAddrV4::new(self.address(front), 7001)).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        let (mut socket, _) = tungstenite::client(request, stream).unwrap();
        let call = serde_json::json!({"jsonrpc": "2.0", "id": 1, "method": "session.open", "params": {
            "viewer": viewer, "title": "welcome", "class": "clip", "top_rung": 0, "patience_ms": 1000}});
        socket.send(tungstenite::Message::text(call.to_string())).unwrap();
        let begun = Instant::now();
        loop {
            let message = socket.read().unwrap();
            if let Ok(text) = message.to_text() {
                let said: Value = serde_json::from_str(text).unwrap_or_default();
                if said["id"] == 1 {
                    let mut said = said;
                    said["took_ms"] = (begun.elapsed().as_millis() as u64).into();
                    return said;
                }
            }
        }
    }
}

fn leased(status: &Value) -> bool {
    status["acts_by"] == "lease"
}

fn refuse(viewer: &str) -> Rules {
    Rules { refused: [RefusedParty::Viewer(viewer.to_owned())].into(), ..Rules::default() }
}

#[test]
fn what_is_agreed_on_is_heeded_by_every_front_and_outlives_a_disk_and_the_whole_fleet() {
    let mut fleet = Fleet::new("heeded");
    (0..3).for_each(|front| fleet.start(front, ""));
    (0..3).for_each(|front| fleet.until(front, "a lease", leased));
    assert_eq!(fleet.propose(1, None, refuse("eve")).unwrap(), "{\"version\":1}");
    (0..3).for_each(|front| fleet.until(front, "version 1", |status| status["begun"] == 1));
    for front in 0..3 {
        let said = fleet.open(front, "eve");
        assert!(said["error"]["data"]["hold_off_ms"].as_u64().is_some_and(|after| after > 0), "{said}");
        assert!(said["took_ms"].as_u64().unwrap() < 500, "what is given up on is answered at once: {said}");
    }
    // Two at once: the other is told on what it was based.
    let late = fleet.propose(2, Some(0), refuse("bob")).unwrap_err().to_string();
    assert!(late.contains("version 1 is the latest"), "{late}");
    // A voter loses its disk: it votes as another.
    fleet.kill(0);
    fs::remove_file(fleet.store(0)).unwrap();
    fleet.start(0, "");
    fleet
        .until(0, "its new vote", |status| status["epoch"] == 2 && status["votes"] == true && leased(status));
    // The whole fleet loses power at once.
    (0..3).for_each(|front| fleet.kill(front));
    (0..3).for_each(|front| fleet.start(front, ""));
    (0..3).for_each(|front| {
        fleet.until(front, "version 1 again", |status| status["begun"] == 1 && leased(status))
    });
    assert!(fleet.open(1, "eve")["error"]["data"]["hold_off_ms"].is_u64());
}

/// A fleet of three of which the last serves players at stand-ins of boxes.
fn serving(name: &str, more: &str) -> (Fleet, Day) {
    let mut fleet = Fleet::new(name);
    (0..2).for_each(|front| fleet.start(front, more));
    let day = Day::start(script(&head(4, 5), "")).unwrap();
    fleet.write(2, more);
    let blocks = fs::read_to_string(fleet.config(2)).unwrap();
    let blocks = &blocks[blocks.find("members {").unwrap()..];
    let text = day.settings(0);
    let named = text.split('"').nth(1).unwrap();
    let text = text.replacen(&format!("{named:?}"), "\"f2\"", 1);
    fs::write(fleet.config(2), format!("{text}\n{blocks}")).unwrap();
    let config = fleet.config(2);
    fleet.start_by(2, Command::new(DAEMON).arg("--config").arg(config));
    fleet.until(2, "a lease", leased);
    (fleet, day)
}

fn opened(line: &mut PlayerConnection, viewer: &str) -> Value {
    let params = serde_json::json!({"viewer": viewer, "title": "title-0", "class": "paid", "top_rung": 2,
        "patience_ms": 2000});
    let begun = Instant::now();
    let id = line.call("session.open", &params).unwrap();
    let mut said = line.response(id, Instant::now() + Duration::from_secs(4), &mut Vec::new()).unwrap();
    said["took_ms"] = (begun.elapsed().as_millis() as u64).into();
    said
}

fn plays(said: &Value) -> bool {
    said["result"]["session"].is_string()
}

fn refused_at_once(said: &Value) -> bool {
    said["error"]["data"]["hold_off_ms"].as_u64().is_some_and(|after| after > 0)
        && said["took_ms"].as_u64().is_some_and(|took| took < 500)
}

#[test]
fn a_front_whose_voters_are_lost_refuses_new_sessions_after_the_stated_time_or_goes_on_as_it_was_told() {
    for (more, refuses) in [("", true), ("without-lease \"go-on\"", false)] {
        let (mut fleet, day) = serving(if refuses { "refuses" } else { "goes-on" }, more);
        let mut line = PlayerConnection::connect(day.front_address(0), Duration::from_secs(3)).unwrap();
        wait(Duration::from_secs(10), || plays(&opened(&mut line, "first")), || "no box".into());
        fleet.propose(2, None, refuse("eve")).unwrap();
        fleet.until(2, "version 1", |status| status["begun"] == 1);
        (0..2).for_each(|front| fleet.kill(front));
        let by = if refuses { "none" } else { "meet" };
        fleet.until(2, by, |status| status["acts_by"] == by);
        for viewer in 0..20 {
            let said = opened(&mut line, &format!("ann-{viewer}"));
            assert_eq!((plays(&said), refused_at_once(&said)), (!refuses, refuses), "{said}");
        }
        assert!(refused_at_once(&opened(&mut line, "eve")), "the last version stays in force");
        let held = day.boxes.fleet().boxes.values().map(|state| state.sessions.len()).sum::<usize>();
        assert!(held >= 1, "what plays plays on");
        // The voters are back: sessions are taken again.
        (0..2).for_each(|front| fleet.start(front, more));
        fleet.until(2, "a lease", leased);
        assert!(plays(&opened(&mut line, "ann")));
    }
}

/// Not in CI: prints what accord costs an answer. `cargo test --release -p salttally-daemon --test accord -- --ignored
/// --nocapture`.
#[test]
#[ignore = "a measurement"]
fn measure_what_accord_costs_an_answer() {
    let measure = |day: &Day, what: &str| {
        let mut line = PlayerConnection::connect(day.front_address(0), Duration::from_secs(3)).unwrap();
        wait(Duration::from_secs(10), || plays(&opened(&mut line, "first")), || "no box".into());
        let mut spans: Vec<u128> = Vec::new();
        for turn in 0..3_000 {
            let params = serde_json::json!({"viewer": format!("v{turn}"), "title": "title-0", "class": "paid",
                "top_rung": 2, "patience_ms": 2000});
            let begun = Instant::now();
            let id = line.call("session.open", &params).unwrap();
            let said = line.response(id, begun + Duration::from_secs(4), &mut Vec::new()).unwrap();
            spans.push(begun.elapsed().as_micros());
            let session = said["result"]["session"].as_str().map(str::to_owned);
            let id = line.call("session.close", &serde_json::json!({"session": session})).unwrap();
            let _ = line.response(id, Instant::now() + Duration::from_secs(4), &mut Vec::new());
        }
        spans.sort_unstable();
        println!("{what}: p50 {} us, p99 {} us, most {} us", spans[1_500], spans[2_970], spans[2_999]);
    };
    for round in 0..3 {
        let (_fleet, day) = serving(&format!("cost-{round}"), "");
        measure(&day, "with accord, 3 fronts");
        drop((_fleet, day));
        let day = Day::start(script(&head(4, 5), "")).unwrap();
        let mut fleet = Fleet::new(&format!("alone-{round}"));
        fs::write(fleet.config(2), day.settings(0)).unwrap();
        let config = fleet.config(2);
        fleet.start_by(2, Command::new(DAEMON).arg("--config").arg(config));
        measure(&day, "alone");
    }
}

#[test]
fn a_process_that_sleeps_through_its_lease_sets_nothing_up_when_it_wakes() {
    let (fleet, day) = serving("sleeps", "");
    let mut line = PlayerConnection::connect(day.front_address(0), Duration::from_secs(3)).unwrap();
    wait(Duration::from_secs(10), || plays(&opened(&mut line, "first")), || "no box".into());
    let set_ups =
        |day: &Day| day.boxes.fleet().boxes.values().map(|state| state.sessions.len()).sum::<usize>();
    let before = set_ups(&day);
    let pid = Pid::from_child(fleet.children[2].as_ref().unwrap());
    kill_process(pid, Signal::STOP).unwrap();
    // Asked while it sleeps, of a front that had a lease when it fell asleep; others have gone on to a version that
    // refuses this viewer.
    let params = |viewer: &str| {
        serde_json::json!({"viewer": viewer, "title": "title-0", "class": "paid",
        "top_rung": 2, "patience_ms": 20000})
    };
    let ids: Vec<u64> = (0..5).map(|_| line.call("session.open", &params("eve")).unwrap()).collect();
    fleet.propose(0, None, refuse("eve")).unwrap();
    thread::sleep(Duration::from_millis(5_500));
    kill_process(pid, Signal::CONT).unwrap();
    let until = Instant::now() + Duration::from_secs(4);
    let said: Vec<Value> = (0..ids.len()).filter_map(|_| line.next(until).ok()).collect();
    for id in ids {
        let answer = said.iter().find(|said| said["id"] == id);
        assert!(answer.is_some_and(|said| said["error"]["data"]["hold_off_ms"].is_u64()), "{said:?}");
    }
    assert_eq!(set_ups(&day), before);
    fleet.until(2, "a lease", |status| leased(status) && status["begun"] == 1);
    assert!(plays(&opened(&mut line, "ann")) && refused_at_once(&opened(&mut line, "eve")));
}

#[test]
fn a_disk_that_is_full_ends_a_vote_and_nothing_else() {
    let mut fleet = Fleet::new("full");
    fleet.write(0, "");
    (1..3).for_each(|front| fleet.start(front, ""));
    // No file of this process may grow over 1.5 MB, and it hears of it as of a full disk.
    let script = "trap '' XFSZ; ulimit -f 3000; exec \"$0\" \"$@\"";
    let config = fleet.config(0);
    fleet.start_by(0, Command::new("sh").args(["-c", script, DAEMON, "--config"]).arg(config));
    (0..3).for_each(|front| fleet.until(front, "a lease", leased));
    let filler = |turn: usize| {
        let refused =
            (0..1_000).map(|at| RefusedParty::Viewer(format!("a-viewer-with-a-long-name-{turn}-{at}")));
        Rules { refused: refused.collect(), ..Rules::default() }
    };
    let begun = Instant::now();
    let mut turn = 0;
    while fleet.status(0)["disk"] == true {
        turn += 1;
        fleet.propose(1, None, filler(turn)).unwrap();
        assert!(begun.elapsed() < Duration::from_secs(60), "the disk never filled: {}", fleet.log(0));
    }
    assert!(fleet.log(0).contains("nothing can be kept"), "{}", fleet.log(0));
    // The other two go on, and the front follows under their leases.
    fleet.propose(2, None, refuse("eve")).unwrap();
    let latest = fleet.status(1)["latest"].clone();
    fleet.until(0, "the latest version", |status| status["begun"] == latest && leased(status));
    assert_eq!(fleet.status(0)["votes"], false);
}

#[test]
fn strangers_are_hung_up_on_and_cost_nobody_anything() {
    let mut fleet = Fleet::new("strangers");
    fleet.start(0, "");
    // Players are listened for before other fronts are.
    fleet.until(0, "an answer", |status| status["front"] == "f0");
    let at = SocketAddrV4::new(fleet.address(0), 7301);
    let mut strangers: Vec<std::net::TcpStream> = Vec::new();
    for said in [
        &b""[..],
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        &[0, 127, 255, 255, 1, 2, 3][..],
        &[0, 0, 0, 20, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0][..],
        &[0, 0, 0, 20, 9, 0][..],
        &[0, 0, 0, 20, 1, 0][..],
    ] {
        let mut stream = std::net::TcpStream::connect(at).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(8))).unwrap();
        stream.write_all(said).unwrap();
        strangers.push(stream);
    }
    assert_eq!(fleet.status(0)["front"], "f0", "an operator is served meanwhile");
    for (number, stream) in strangers.iter_mut().enumerate() {
        let ended = std::io::Read::read(stream, &mut [0; 8]);
        assert!(
            matches!(&ended, Ok(0)) || ended.is_err_and(|e| e.kind() == std::io::ErrorKind::ConnectionReset),
            "{number}"
        );
    }
}

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("salttally-store-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).unwrap();
    folder
}

fn entry(id: u64) -> Entry {
    let rules = Rules {
        classes: [("clip".into(), ClassTerms { open: false, ..ClassTerms::default() })].into(),
        ..Rules::default()
    };
    Entry::Propose(Proposal { id, base: id, by: "test".into(), at: 7, rules: rules.into() })
}

/// Writes of a vote, as a core would have them written.
fn writes() -> Vec<Vec<Change>> {
    let mut history = History::default();
    history.apply(&entry(0));
    vec![
        vec![Change::Identity(7, 1)],
        vec![Change::History(history.clone().into()), Change::Voter(Box::new(VoterState::new(2, &history)))],
        vec![Change::Log(0, vec![entry(1), entry(2), entry(3)])],
        vec![Change::Log(2, vec![entry(9)]), Change::Decided(2)],
        vec![Change::Identity(7, 2)],
    ]
}

#[test]
fn a_store_gives_back_what_the_image_of_the_same_writes_holds() {
    let folder = folder("image");
    let path = folder.join("accord.redb");
    let mut image = Image::default();
    for batch in writes() {
        let (store, found, _) = Store::open(&path).unwrap();
        assert_eq!(found, image, "what was there before");
        store.write(&batch).unwrap();
        batch.iter().for_each(|write| image.apply(write));
    }
    assert_eq!(Store::open(&path).unwrap().1, image);
    fs::remove_dir_all(folder).unwrap();
}

#[test]
fn a_store_that_is_torn_anywhere_is_whole_or_set_aside_and_never_half_a_vote() {
    let folder = folder("torn");
    let path = folder.join("accord.redb");
    let (store, ..) = Store::open(&path).unwrap();
    let mut images = vec![Image::default()];
    for batch in writes() {
        store.write(&batch).unwrap();
        let mut next = images.last().cloned().unwrap();
        batch.iter().for_each(|write| next.apply(write));
        images.push(next);
    }
    drop(store);
    let whole = fs::read(&path).unwrap();
    let (mut aside, mut kept) = (0, 0);
    for step in 0..60 {
        let mut bytes = whole.clone();
        let at = whole.len() * step / 60;
        match step % 3 {
            0 => bytes.truncate(at.max(1)),
            1 => bytes[at..(at + 512).min(whole.len())].fill(0),
            _ => bytes[at..(at + 64).min(whole.len())].fill(0xa5),
        }
        // In place, as a disk would: the same file.
        let mut file = fs::File::options().write(true).truncate(true).open(&path).unwrap();
        file.write_all(&bytes).unwrap();
        drop(file);
        let (store, image, found) = Store::open(&path).unwrap_or_else(|error| panic!("step {step}: {error}"));
        match found {
            OpenOutcome::SetAside(aside_at, _) => {
                assert_eq!(image, Image::default());
                drop(store);
                fs::rename(aside_at, &path).unwrap();
                aside += 1;
            }
            _ => {
                assert!(images.contains(&image), "step {step}: {image:?}");
                kept += 1;
            }
        }
    }
    assert!(aside > 0 && kept > 0, "{aside} set aside, {kept} whole");
    fs::remove_dir_all(folder).unwrap();
}

#[test]
fn a_store_is_used_once_and_a_copy_of_it_is_another_disk() {
    let folder = folder("copied");
    let path = folder.join("accord.redb");
    let (store, ..) = Store::open(&path).unwrap();
    writes().iter().for_each(|batch| store.write(batch).unwrap());
    assert!(matches!(Store::open(&path), Err(StoreError::InUse(_))));
    drop(store);
    let copy = folder.join("copy.redb");
    fs::copy(&path, &copy).unwrap();
    let (_, image, found) = Store::open(&copy).unwrap();
    assert_eq!((found, image.identity, image.vote.is_none()), (OpenOutcome::Copied, None, true));
    assert!(image.history.is_some(), "what was agreed on stays known");
    assert_eq!(Store::open(&path).unwrap().2, OpenOutcome::Intact, "the original votes on");
    fs::remove_dir_all(folder).unwrap();
}

#[test]
fn settings_that_cannot_hold_are_refused_with_their_place() {
    let mut fleet = Fleet::new("bad");
    for (more, why) in [
        ("lease-ms 100", "`lease-ms` lies from 500"),
        ("renew-ms 2000", "a third of `lease-ms`"),
        ("without-lease \"maybe\"", "known: refuse, go-on"),
        ("colour 1", "colour"),
    ] {
        fleet.write(0, more);
        let done = Command::new(DAEMON).args(["--check", "--config"]).arg(fleet.config(0)).output().unwrap();
        let said = String::from_utf8_lossy(&done.stderr).into_owned();
        assert_eq!(done.status.code(), Some(2), "{more}");
        assert!(said.contains(why) && said.contains("f0.kdl:9:"), "{more}: {said}");
    }
    let text = fs::read_to_string(fleet.config(0)).unwrap();
    for (from, to, why) in [
        ("voters \"f0\" \"f1\" \"f2\"", "voters \"f0\" \"f1\"", "there are 3, 5 or 7"),
        ("voters \"f0\" \"f1\" \"f2\"", "voters \"f0\" \"f1\" \"f1\"", "stands twice"),
        ("members {", "nobody {", "accord"),
    ] {
        fs::write(fleet.config(0), text.replace("colour 1", "").replace(from, to)).unwrap();
        let done = Command::new(DAEMON).args(["--check", "--config"]).arg(fleet.config(0)).output().unwrap();
        let said = String::from_utf8_lossy(&done.stderr).into_owned();
        assert!(done.status.code() == Some(2) && said.contains(why), "{to}: {said}");
    }
    fleet.children.clear();
}
