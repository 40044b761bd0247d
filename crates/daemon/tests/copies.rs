//! Promises that outlive the machine that gave them: processes of fronts with copies at each other, killed with their
//! disks, stopped and cut off, against stand-ins of boxes and list.
#![allow(clippy::disallowed_types, clippy::disallowed_methods)]

mod rig;

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::{IpAddr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use rig::{script, wait};
use rustix::process::{kill_process, Pid, Signal};
use salttally_accord::query::ask;
use salttally_accord::settings::Settings;
use salttally_accord::wire::Question;
use salttally_judge::{judge, Rule};
use salttally_standin::day::Day;
use salttally_standin::players::PlayerConnection;
use salttally_trial::net::{Net, Quality};
use salttally_trial::processes::Clock;
use salttally_trial::relay::Relay;
use serde_json::{json, Value};

const SECOND: Duration = Duration::from_secs(1);

/// Fronts as processes, with boxes, list and players of a day around them.
struct Fleet {
    day: Day,
    folder: PathBuf,
    children: Vec<Option<Child>>,
    more: String,
    /// All that fronts say to each other goes by it, where there is one.
    relay: Option<Relay>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.children.iter_mut().flatten() {
            let _ = (child.kill(), child.wait());
        }
        self.day.stop();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// A session as its viewer knows it.
#[derive(Clone, Debug)]
struct Held {
    session: String,
    viewer: String,
}

impl Fleet {
    fn start(name: &str, fronts: u32, more: &str) -> Fleet {
        Fleet::linked(name, fronts, more, None)
    }

    /// The same with links like this between the fronts; those to boxes and players are whole.
    fn linked(name: &str, fronts: u32, more: &str, links: Option<Quality>) -> Fleet {
        let head = format!(
            "day seconds=5 sessions=1\nfronts {fronts}\nlist-lag-ms 20\ntitles 4 holders=6\n\
             viewers \"clip\" share=1 length-s=1 patience-ms=2000\n\
             boxes 6 zones=3 places=600 link-kb=900000 set-up-ms=5 refuses-from=1.0 report-ms=50"
        );
        let day =
            Day::start(script(&head, "claim-within-ms 1500; silent-kept-ms 15000")).expect("stand-ins start");
        let folder = std::env::temp_dir().join(format!("salttally-copies-{name}-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let children = (0..fronts).map(|_| None).collect();
        let addresses: Vec<SocketAddrV4> = (0..fronts)
            .filter_map(|front| match day.front_address(front).ip() {
                IpAddr::V4(ip) => Some(SocketAddrV4::new(ip, 7301)),
                IpAddr::V6(_) => None,
            })
            .collect();
        let relay = links.map(|like| Relay::start(Net::new(like), &addresses, 7, Clock::start()).unwrap());
        let mut fleet = Fleet { day, folder, children, more: more.to_owned(), relay };
        (0..fronts as usize).for_each(|front| fleet.up(front));
        (0..fronts as usize).for_each(|front| fleet.ready(front));
        fleet
    }

    fn at(&self, front: usize) -> IpAddr {
        self.day.front_address(front as u32).ip()
    }

    fn disk(&self, front: usize) -> PathBuf {
        self.folder.join(format!("f{front}.disk"))
    }

    fn config(&self, front: usize) -> PathBuf {
        self.folder.join(format!("f{front}.kdl"))
    }

    fn up(&mut self, front: usize) {
        let seeds: Vec<String> =
            (0..self.children.len()).map(|seed| format!("\"{}:7301\"", self.at(seed))).collect();
        let disk = self.disk(front);
        fs::create_dir_all(&disk).unwrap();
        let copies = match self.more.as_str() {
            "off" => String::new(),
            more => {
                format!("copies {{ store {:?}; {more} }}\n", disk.join("copies.redb").display().to_string())
            }
        };
        let by =
            self.relay.as_ref().map_or(String::new(), |relay| format!("trial relay=\"{}\";", relay.address));
        let text = format!(
            "{}\nmembers {{ bind \"{}:7301\"; seeds {}; key \"{}\"; {by} }}\n\
             accord {{ voters \"f0\" \"f1\" \"f2\"; store {:?}; {by} }}\n{copies}",
            self.day.settings(front),
            self.at(front),
            seeds.join(" "),
            "6c".repeat(32),
            disk.join("accord.redb").display().to_string(),
        );
        fs::write(self.config(front), text).unwrap();
        let log = self.folder.join(format!("f{front}.log"));
        let log = fs::File::options().create(true).append(true).open(log).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_salttallyd"));
        command.arg("--config").arg(self.config(front)).stdout(Stdio::piped()).stderr(log);
        let mut child = command.spawn().unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        assert!(line.starts_with("listening "), "{line}: {}", self.log(front));
        self.children[front] = Some(child);
    }

    /// Cuts what goes from one front to all others, and back unless it is one-sided, or heals it.
    fn cut(&self, front: usize, one_sided: bool, on: bool) {
        let mut net = self.relay.as_ref().expect("links go by a relay").net();
        for other in (0..self.children.len()).filter(|other| *other != front) {
            net.cut(front, other, on);
            if !one_sided {
                net.cut(other, front, on);
            }
        }
    }

    fn log(&self, front: usize) -> String {
        fs::read_to_string(self.folder.join(format!("f{front}.log"))).unwrap_or_default()
    }

    /// Waits until it acts by a lease, its promises have holders, and it gives sessions.
    fn ready(&self, front: usize) {
        let settings = Settings::load(&self.config(front)).unwrap().unwrap();
        let said = |question| {
            let text = ask(&settings, question).unwrap_or_default();
            serde_json::from_str::<Value>(&text).unwrap_or_default()
        };
        let stated = self.more.strip_prefix("copies ").and_then(|rest| rest.split(';').next()?.parse().ok());
        let stated = if self.more == "off" { Some(0) } else { stated };
        let want = stated.unwrap_or(2).min(self.children.len() - 1);
        let holders = |shown: &Value| {
            let filled = |holder: &&Value| holder["filled"] == true;
            shown["holders"].as_array().map_or(0, |all| all.iter().filter(filled).count())
        };
        wait(
            30 * SECOND,
            || said(Question::Status)["acts_by"] == "lease" && holders(&said(Question::Copies)) >= want,
            || format!("{}\n{}\n{}", said(Question::Status), said(Question::Copies), self.log(front)),
        );
        let mut line = self.line(front);
        let mut count = 0;
        wait(
            10 * SECOND,
            || {
                count += 1;
                let held = open(&mut line, &format!("first-{front}-{count}"), "clip");
                held.is_some_and(|held| close(&mut line, &held))
            },
            || format!("f{front} never has a box: {}", self.log(front)),
        );
    }

    fn line(&self, front: usize) -> PlayerConnection {
        PlayerConnection::connect(self.day.front_address(front as u32), 3 * SECOND)
            .expect("the front takes players")
    }

    fn kill(&mut self, front: usize) {
        let mut child = self.children[front].take().expect("it runs");
        let _ = (child.kill(), child.wait());
    }

    fn lose_disk(&self, front: usize) {
        fs::remove_dir_all(self.disk(front)).unwrap();
    }

    fn signal(&self, front: usize, signal: Signal) {
        let child = self.children[front].as_ref().expect("it runs");
        kill_process(Pid::from_child(child), signal).unwrap();
    }

    /// So many sessions at a front, of the class that is set up once.
    fn play(&self, front: usize, line: &mut PlayerConnection, count: usize) -> Vec<Held> {
        let all: Vec<Held> =
            (0..count).filter_map(|number| open(line, &format!("v{front}-{number}"), "paid")).collect();
        assert!(all.len() * 10 >= count * 9, "{} of {count} play: {}", all.len(), self.log(front));
        all
    }

    /// Where its viewer finds a session, asking the fronts that run as they tell; nothing where nobody has it.
    fn find(&self, held: &Held, first: usize, until: Instant) -> Option<(PlayerConnection, Value)> {
        let mut at = self.day.front_address(first as u32);
        while Instant::now() < until {
            let Ok(mut line) = PlayerConnection::connect(at, SECOND) else {
                // Told to go to a front that is gone, a viewer asks another one again.
                at = self.day.front_address(first as u32);
                thread::sleep(SECOND / 20);
                continue;
            };
            let said = status(&mut line, held);
            match said["error"]["code"].as_i64() {
                None if said["result"]["state"] == "playing" => return Some((line, said)),
                Some(-32007) => {
                    let other: SocketAddr = said["error"]["data"]["address"].as_str()?.parse().ok()?;
                    at = if other == at { self.day.front_address(first as u32) } else { other };
                    thread::sleep(SECOND / 50);
                }
                Some(-32008) => thread::sleep(SECOND / 20),
                _ => {
                    eprintln!("{at}: {said}");
                    return None;
                }
            }
        }
        None
    }

    /// Boxes that hold a session.
    fn boxes_of(&self, session: &str) -> usize {
        let fleet = self.day.boxes.fleet();
        fleet.boxes.values().filter(|state| state.sessions.keys().any(|(id, _)| id == session)).count()
    }

    /// What was set up more than once though it may not be, or while another attempt was out.
    fn judged(&self) {
        let verdict = judge(&self.day.log.lines());
        let effects: Vec<_> = verdict.findings.iter().filter(|found| found.rule == Rule::OneEffect).collect();
        assert!(effects.is_empty(), "{effects:#?}");
    }
}

fn open(line: &mut PlayerConnection, viewer: &str, class: &str) -> Option<Held> {
    let params =
        json!({"viewer": viewer, "title": "title-0", "class": class, "top_rung": 2, "patience_ms": 2000});
    let id = line.call("session.open", &params).ok()?;
    let answer = line.response(id, Instant::now() + 3 * SECOND, &mut Vec::new()).ok()?;
    let session = answer["result"]["session"].as_str()?.to_owned();
    Some(Held { session, viewer: viewer.to_owned() })
}

fn close(line: &mut PlayerConnection, held: &Held) -> bool {
    let Ok(id) = line.call("session.close", &json!({"session": held.session})) else { return false };
    let answer = line.response(id, Instant::now() + 3 * SECOND, &mut Vec::new());
    answer.is_ok_and(|answer| answer["result"]["state"] == "closed")
}

fn status(line: &mut PlayerConnection, held: &Held) -> Value {
    let params = json!({"session": held.session, "viewer": held.viewer});
    let Ok(id) = line.call("session.status", &params) else { return Value::Null };
    line.response(id, Instant::now() + 3 * SECOND, &mut Vec::new()).unwrap_or_default()
}

#[test]
fn a_machine_lost_with_its_disk_loses_nothing_that_it_promised() {
    let mut fleet = Fleet::start("lost", 3, "");
    let mut line = fleet.line(0);
    let held = fleet.play(0, &mut line, 60);
    fleet.kill(0);
    fleet.lose_disk(0);
    let killed = Instant::now();
    let mut lines = Vec::new();
    for one in &held {
        let found = fleet.find(one, 1, killed + 20 * SECOND);
        let (line, _) =
            found.unwrap_or_else(|| panic!("{one:?} is lost\n{}\n{}", fleet.log(1), fleet.log(2)));
        lines.push(line);
    }
    let took = killed.elapsed();
    eprintln!("{} sessions found again after {took:?}", held.len());
    assert!(took < 15 * SECOND, "{took:?}");
    // They are the viewers' own again: each can be closed, and its place is free.
    for (line, one) in lines.iter_mut().zip(&held) {
        assert!(close(line, one), "{one:?}");
    }
    wait(
        10 * SECOND,
        || held.iter().all(|one| fleet.boxes_of(&one.session) == 0),
        || "places stay taken".to_owned(),
    );
    fleet.judged();
}

#[test]
fn a_front_that_slept_through_its_replacement_neither_releases_nor_moves_nor_answers_for_what_is_anothers() {
    let fleet = Fleet::start("slept", 3, "");
    let mut line = fleet.line(0);
    let held = fleet.play(0, &mut line, 30);
    // A set-up is asked for just as it is stopped.
    let params =
        json!({"viewer": "late", "title": "title-0", "class": "paid", "top_rung": 2, "patience_ms": 2000});
    let late = line.call("session.open", &params).unwrap();
    fleet.signal(0, Signal::STOP);
    let stopped = Instant::now();
    let mut lines = Vec::new();
    for one in &held {
        let found = fleet.find(one, 1, stopped + 20 * SECOND);
        lines.push(found.unwrap_or_else(|| panic!("{one:?} is lost\n{}\n{}", fleet.log(1), fleet.log(2))).0);
    }
    fleet.signal(0, Signal::CONT);
    // It is told, tells its players, and takes new sessions under a new life.
    let mut told = Vec::new();
    let until = Instant::now() + 5 * SECOND;
    while told.len() < held.len() + 1 {
        match line.next(until) {
            Ok(message) if message["id"] == late || message["method"] == "session.ended" => {
                told.push(message)
            }
            Ok(_) => {}
            Err(silence) => panic!("{silence:?} after {}: {}", told.len(), fleet.log(0)),
        }
    }
    let elsewhere = told.iter().filter(|message| message["params"]["reason"] == "elsewhere").count();
    assert_eq!(elsewhere, held.len(), "{told:?}\n{}", fleet.log(0));
    let answers: Vec<&Value> = told.iter().filter(|message| message["id"] == late).collect();
    assert!(answers.len() == 1 && answers[0]["result"].is_null(), "{answers:?}");
    wait(
        10 * SECOND,
        || {
            open(&mut line, "anew", "paid")
                .is_some_and(|one| one.session.starts_with("f0-") && close(&mut line, &one))
        },
        || fleet.log(0),
    );
    // What it had is untouched by it: all of it plays where it did, and once.
    for (line, one) in lines.iter_mut().zip(&held) {
        assert_eq!(fleet.boxes_of(&one.session), 1, "{one:?}");
        assert!(close(line, one), "{one:?}");
    }
    fleet.judged();
}

/// A front is cut off from the others by losing links, while boxes and its players are there: its sessions go on elsewhere,
/// its players are sent to look, nobody has two owners, and once the cut ends it lives anew.
fn cut_off(name: &str, one_sided: bool) {
    let links = Quality { loss: 0.05, ..Quality::default() };
    let fleet = Fleet::linked(name, 4, "", Some(links));
    let mut line = fleet.line(3);
    let held = fleet.play(3, &mut line, 20);
    fleet.cut(3, one_sided, true);
    let until = Instant::now() + 25 * SECOND;
    let mut told = 0;
    while told < held.len() {
        match line.next(until) {
            Ok(message) if message["method"] == "session.ended" => {
                assert_eq!(message["params"]["reason"], "elsewhere", "{message}");
                told += 1;
            }
            Ok(_) => {}
            Err(silence) => panic!("{silence:?}, {told} told: {}", fleet.log(3)),
        }
    }
    let mut lines = Vec::new();
    for one in &held {
        let found = fleet.find(one, 0, until);
        lines.push(found.unwrap_or_else(|| panic!("{one:?} is lost\n{}\n{}", fleet.log(0), fleet.log(1))).0);
    }
    fleet.cut(3, one_sided, false);
    let anew = |line: &mut PlayerConnection| open(line, "anew", "paid").is_some_and(|one| close(line, &one));
    wait(15 * SECOND, || anew(&mut line), || fleet.log(3));
    for (line, one) in lines.iter_mut().zip(&held) {
        assert_eq!(fleet.boxes_of(&one.session), 1, "{one:?}");
        assert!(close(line, one), "{one:?}");
    }
    let free = || held.iter().all(|one| fleet.boxes_of(&one.session) == 0);
    wait(10 * SECOND, free, || "places stay taken".to_owned());
    fleet.judged();
}

#[test]
fn a_front_cut_off_from_all_others_hands_its_sessions_over_and_sends_its_players_to_look() {
    cut_off("cut", false);
}

#[test]
fn a_front_that_hears_all_others_and_is_heard_by_none_does_too() {
    cut_off("deaf", true);
}

#[test]
fn a_fleet_that_loses_power_at_once_comes_back_with_all_that_it_promised() {
    let mut fleet = Fleet::start("power", 3, "");
    let mut held = Vec::new();
    for front in 0..3 {
        let mut line = fleet.line(front);
        held.extend(fleet.play(front, &mut line, 20));
        std::mem::forget(line);
    }
    (0..3).for_each(|front| fleet.kill(front));
    (0..3).for_each(|front| fleet.up(front));
    let until = Instant::now() + 25 * SECOND;
    for one in &held {
        let first = usize::from(one.session.as_bytes()[1] - b'0');
        let found = fleet.find(one, first, until);
        let (mut line, _) =
            found.unwrap_or_else(|| panic!("{one:?} is lost\n{}\n{}", fleet.log(first), fleet.log(1)));
        assert!(close(&mut line, one), "{one:?}");
    }
    fleet.judged();
}

#[test]
fn two_machines_lost_at_once_with_two_copies_lose_nothing() {
    let mut fleet = Fleet::start("two", 5, "enough 2;");
    let mut held = Vec::new();
    let mut lines: Vec<PlayerConnection> = [3, 4].iter().map(|front| fleet.line(*front)).collect();
    for (line, front) in lines.iter_mut().zip([3, 4]) {
        held.extend(fleet.play(front, line, 25));
    }
    [3, 4].iter().for_each(|front| fleet.kill(*front));
    [3, 4].iter().for_each(|front| fleet.lose_disk(*front));
    let killed = Instant::now();
    for one in &held {
        let found = fleet.find(one, 0, killed + 25 * SECOND);
        let (mut line, _) = found.unwrap_or_else(|| {
            panic!("{one:?} is lost\n{}\n{}\n{}", fleet.log(0), fleet.log(1), fleet.log(2))
        });
        assert!(close(&mut line, one), "{one:?}");
    }
    eprintln!("{} sessions found again after {:?}", held.len(), killed.elapsed());
    fleet.judged();
}

fn quantile(values: &mut [u128], share: f64) -> u128 {
    values.sort_unstable();
    values[((values.len() - 1) as f64 * share) as usize]
}

/// Time until each viewer of a front that is lost with its disk can act on its session again, and what copies cost an
/// answer: for docs/measurements/copies.md.
#[test]
#[ignore = "a measurement: minutes, in release"]
fn measured() {
    let ways = [
        "off",
        "copies 0; enough 0;",
        "copies 1; enough 1;",
        "copies 2; enough 1;",
        "copies 2; enough 2;",
        "copies 2; enough 2; flush \"never\";",
    ];
    for (number, more) in ways.iter().enumerate() {
        let fleet = Fleet::start(&format!("cost-{number}"), 4, more);
        let mut line = fleet.line(0);
        for class in ["clip", "paid"] {
            let mut took: Vec<u128> = (0..400)
                .filter_map(|at| {
                    let begun = Instant::now();
                    let held = open(&mut line, &format!("cost-{class}-{at}"), class)?;
                    let took = begun.elapsed().as_micros();
                    assert!(close(&mut line, &held));
                    Some(took)
                })
                .collect();
            println!(
                "{more} {class}: answer p50 {} us, p99 {} us of {}",
                quantile(&mut took, 0.5),
                quantile(&mut took, 0.99),
                took.len()
            );
        }
    }
    for (fronts, sessions) in [(3, 300), (9, 300), (30, 300), (3, 1_500)] {
        let mut fleet = Fleet::start(&format!("take-{fronts}-{sessions}"), fronts, "");
        let mut line = fleet.line(3.min(fronts as usize - 1));
        let lost = 3.min(fronts as usize - 1);
        let held = fleet.play(lost, &mut line, sessions);
        fleet.kill(lost);
        fleet.lose_disk(lost);
        let killed = Instant::now();
        let (sender, found) = std::sync::mpsc::channel();
        let (fleet, all) = (&fleet, &held);
        thread::scope(|scope| {
            for part in all.chunks(all.len().div_ceil(8)) {
                let sender = sender.clone();
                scope.spawn(move || {
                    let mut lines = Vec::new();
                    for one in part {
                        if let Some((line, _)) = fleet.find(one, 0, killed + 30 * SECOND) {
                            lines.push(line);
                            let _ = sender.send(killed.elapsed().as_millis());
                        }
                    }
                    thread::sleep(SECOND);
                });
            }
        });
        drop(sender);
        let mut took: Vec<u128> = found.iter().collect();
        println!(
            "{fronts} fronts, {} sessions of a lost machine: {} kept; again after p50 {} ms, p99 {} ms",
            held.len(),
            took.len(),
            quantile(&mut took, 0.5),
            quantile(&mut took, 0.99)
        );
        fleet.judged();
    }
}
