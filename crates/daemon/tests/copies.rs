//! Replicated session records that outlive the machine that acknowledged them: front processes that hold copies for each
//! other are killed together with their disks, suspended and partitioned, against stand-ins of boxes and list.
#![allow(clippy::disallowed_types, clippy::disallowed_methods)]

mod rig;

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::{IpAddr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use rig::{script, wait_until};
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

/// Front processes, with the boxes and the list of a day.
struct Fleet {
    day: Day,
    folder: PathBuf,
    children: Vec<Option<Child>>,
    /// Settings inside `copies`; `off` leaves the block out.
    copies_settings: String,
    /// Carries all traffic between the fronts, if present.
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

/// A session, as its viewer knows it.
#[derive(Clone, Debug)]
struct OpenSession {
    id: String,
    viewer: String,
}

impl Fleet {
    fn start(name: &str, fronts: u32, copies_settings: &str) -> Fleet {
        Fleet::start_with_links(name, fronts, copies_settings, None)
    }

    /// Like `start`, with links of this quality between the fronts; links to boxes and players are lossless.
    fn start_with_links(name: &str, fronts: u32, copies_settings: &str, links: Option<Quality>) -> Fleet {
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
        let relay =
            links.map(|quality| Relay::start(Net::new(quality), &addresses, 7, Clock::start()).unwrap());
        let mut fleet = Fleet { day, folder, children, copies_settings: copies_settings.to_owned(), relay };
        (0..fronts as usize).for_each(|front| fleet.start_front(front));
        (0..fronts as usize).for_each(|front| fleet.wait_until_ready(front));
        fleet
    }

    fn front_ip(&self, front: usize) -> IpAddr {
        self.day.front_address(front as u32).ip()
    }

    fn disk(&self, front: usize) -> PathBuf {
        self.folder.join(format!("f{front}.disk"))
    }

    fn config(&self, front: usize) -> PathBuf {
        self.folder.join(format!("f{front}.kdl"))
    }

    /// Starts a front process.
    fn start_front(&mut self, front: usize) {
        let seeds: Vec<String> =
            (0..self.children.len()).map(|seed| format!("\"{}:7301\"", self.front_ip(seed))).collect();
        let disk = self.disk(front);
        fs::create_dir_all(&disk).unwrap();
        let copies = match self.copies_settings.as_str() {
            "off" => String::new(),
            copies_settings => {
                format!(
                    "copies {{ store {:?}; {copies_settings} }}\n",
                    disk.join("copies.redb").display().to_string()
                )
            }
        };
        let relay_setting =
            self.relay.as_ref().map_or(String::new(), |relay| format!("trial relay=\"{}\";", relay.address));
        let text = format!(
            "{}\nmembers {{ bind \"{}:7301\"; seeds {}; key \"{}\"; {relay_setting} }}\n\
             accord {{ voters \"f0\" \"f1\" \"f2\"; store {:?}; {relay_setting} }}\n{copies}",
            self.day.settings(front),
            self.front_ip(front),
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

    /// Cuts or restores the links from one front to all others, and those in the other direction unless `one_sided`.
    fn cut(&self, front: usize, one_sided: bool, on: bool) {
        let mut net = self.relay.as_ref().expect("the fronts are linked by a relay").net();
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

    /// Waits until a front holds a lease, has replicas that are filled, and serves sessions.
    fn wait_until_ready(&self, front: usize) {
        let settings = Settings::load(&self.config(front)).unwrap().unwrap();
        let query = |question| {
            let text = ask(&settings, question).unwrap_or_default();
            serde_json::from_str::<Value>(&text).unwrap_or_default()
        };
        let configured_holders = self
            .copies_settings
            .strip_prefix("copies ")
            .and_then(|rest| rest.split(';').next()?.parse().ok());
        let configured_holders = if self.copies_settings == "off" { Some(0) } else { configured_holders };
        let wanted_holders = configured_holders.unwrap_or(2).min(self.children.len() - 1);
        let holders = |shown: &Value| {
            let filled = |holder: &&Value| holder["filled"] == true;
            shown["holders"].as_array().map_or(0, |list| list.iter().filter(filled).count())
        };
        wait_until(
            30 * SECOND,
            || {
                query(Question::Status)["acts_by"] == "lease"
                    && holders(&query(Question::Copies)) >= wanted_holders
            },
            || format!("{}\n{}\n{}", query(Question::Status), query(Question::Copies), self.log(front)),
        );
        let mut connection = self.connect(front);
        let mut count = 0;
        wait_until(
            10 * SECOND,
            || {
                count += 1;
                let opened = open_session(&mut connection, &format!("first-{front}-{count}"), "clip");
                opened.is_some_and(|session| close_session(&mut connection, &session))
            },
            || format!("f{front} never serves a session: {}", self.log(front)),
        );
    }

    fn connect(&self, front: usize) -> PlayerConnection {
        PlayerConnection::connect(self.day.front_address(front as u32), 3 * SECOND)
            .expect("the front accepts players")
    }

    fn kill(&mut self, front: usize) {
        let mut child = self.children[front].take().expect("the front runs");
        let _ = (child.kill(), child.wait());
    }

    fn lose_disk(&self, front: usize) {
        fs::remove_dir_all(self.disk(front)).unwrap();
    }

    fn signal(&self, front: usize, signal: Signal) {
        let child = self.children[front].as_ref().expect("the front runs");
        kill_process(Pid::from_child(child), signal).unwrap();
    }

    /// Opens this many sessions of class `paid`, which is set up at most once, at a front.
    fn open_sessions(
        &self,
        front: usize,
        connection: &mut PlayerConnection,
        count: usize,
    ) -> Vec<OpenSession> {
        let opened: Vec<OpenSession> = (0..count)
            .filter_map(|number| open_session(connection, &format!("v{front}-{number}"), "paid"))
            .collect();
        assert!(opened.len() * 10 >= count * 9, "{} of {count} play: {}", opened.len(), self.log(front));
        opened
    }

    /// Looks a session up as its viewer would, following redirects between the fronts. `None` if no front has it.
    fn find_session(
        &self,
        session: &OpenSession,
        first: usize,
        until: Instant,
    ) -> Option<(PlayerConnection, Value)> {
        let mut front_address = self.day.front_address(first as u32);
        while Instant::now() < until {
            let Ok(mut connection) = PlayerConnection::connect(front_address, SECOND) else {
                // A viewer that was redirected to a dead front returns to its first one.
                front_address = self.day.front_address(first as u32);
                thread::sleep(SECOND / 20);
                continue;
            };
            let answer = session_status(&mut connection, session);
            match answer["error"]["code"].as_i64() {
                None if answer["result"]["state"] == "playing" => return Some((connection, answer)),
                Some(-32007) => {
                    let other: SocketAddr = answer["error"]["data"]["address"].as_str()?.parse().ok()?;
                    front_address =
                        if other == front_address { self.day.front_address(first as u32) } else { other };
                    thread::sleep(SECOND / 50);
                }
                Some(-32008) => thread::sleep(SECOND / 20),
                _ => {
                    eprintln!("{front_address}: {answer}");
                    return None;
                }
            }
        }
        None
    }

    /// Number of boxes that hold a session.
    fn boxes_of(&self, session: &str) -> usize {
        let fleet = self.day.boxes.fleet();
        fleet.boxes.values().filter(|state| state.sessions.keys().any(|(id, _)| id == session)).count()
    }

    /// Asserts that no paid session was set up twice, or while another attempt was outstanding.
    fn assert_single_effect(&self) {
        let verdict = judge(&self.day.log.lines());
        let violations: Vec<_> =
            verdict.findings.iter().filter(|found| found.rule == Rule::OneEffect).collect();
        assert!(violations.is_empty(), "{violations:#?}");
    }
}

fn open_session(connection: &mut PlayerConnection, viewer: &str, class: &str) -> Option<OpenSession> {
    let params =
        json!({"viewer": viewer, "title": "title-0", "class": class, "top_rung": 2, "patience_ms": 2000});
    let id = connection.call("session.open", &params).ok()?;
    let answer = connection.response(id, Instant::now() + 3 * SECOND, &mut Vec::new()).ok()?;
    let session = answer["result"]["session"].as_str()?.to_owned();
    Some(OpenSession { id: session, viewer: viewer.to_owned() })
}

fn close_session(connection: &mut PlayerConnection, session: &OpenSession) -> bool {
    let Ok(id) = connection.call("session.close", &json!({"session": session.id})) else { return false };
    let answer = connection.response(id, Instant::now() + 3 * SECOND, &mut Vec::new());
    answer.is_ok_and(|answer| answer["result"]["state"] == "closed")
}

fn session_status(connection: &mut PlayerConnection, session: &OpenSession) -> Value {
    let params = json!({"session": session.id, "viewer": session.viewer});
    let Ok(id) = connection.call("session.status", &params) else { return Value::Null };
    connection.response(id, Instant::now() + 3 * SECOND, &mut Vec::new()).unwrap_or_default()
}

#[test]
fn sessions_survive_the_loss_of_a_machine_and_its_disk() {
    let mut fleet = Fleet::start("lost", 3, "");
    let mut connection = fleet.connect(0);
    let sessions = fleet.open_sessions(0, &mut connection, 60);
    fleet.kill(0);
    fleet.lose_disk(0);
    let killed = Instant::now();
    let mut connections = Vec::new();
    for session in &sessions {
        let found = fleet.find_session(session, 1, killed + 20 * SECOND);
        let (connection, _) =
            found.unwrap_or_else(|| panic!("{session:?} is lost\n{}\n{}", fleet.log(1), fleet.log(2)));
        connections.push(connection);
    }
    let elapsed = killed.elapsed();
    eprintln!("{} sessions found again after {elapsed:?}", sessions.len());
    assert!(elapsed < 15 * SECOND, "{elapsed:?}");
    // The viewers control their sessions again: each can be closed, which frees its seat.
    for (connection, session) in connections.iter_mut().zip(&sessions) {
        assert!(close_session(connection, session), "{session:?}");
    }
    wait_until(
        10 * SECOND,
        || sessions.iter().all(|session| fleet.boxes_of(&session.id) == 0),
        || "seats stay occupied".to_owned(),
    );
    fleet.assert_single_effect();
}

#[test]
fn a_front_suspended_during_its_takeover_does_not_touch_sessions_it_no_longer_owns() {
    let fleet = Fleet::start("slept", 3, "");
    let mut connection = fleet.connect(0);
    let sessions = fleet.open_sessions(0, &mut connection, 30);
    // A session is requested right before the suspension.
    let params =
        json!({"viewer": "late", "title": "title-0", "class": "paid", "top_rung": 2, "patience_ms": 2000});
    let late = connection.call("session.open", &params).unwrap();
    fleet.signal(0, Signal::STOP);
    let stopped = Instant::now();
    let mut connections = Vec::new();
    for session in &sessions {
        let found = fleet.find_session(session, 1, stopped + 20 * SECOND);
        connections.push(
            found.unwrap_or_else(|| panic!("{session:?} is lost\n{}\n{}", fleet.log(1), fleet.log(2))).0,
        );
    }
    fleet.signal(0, Signal::CONT);
    // The front learns of the takeover, notifies its players, and accepts new sessions under a new incarnation.
    let mut messages = Vec::new();
    let until = Instant::now() + 5 * SECOND;
    while messages.len() < sessions.len() + 1 {
        match connection.next(until) {
            Ok(message) if message["id"] == late || message["method"] == "session.ended" => {
                messages.push(message)
            }
            Ok(_) => {}
            Err(silence) => panic!("{silence:?} after {}: {}", messages.len(), fleet.log(0)),
        }
    }
    let elsewhere = messages.iter().filter(|message| message["params"]["reason"] == "elsewhere").count();
    assert_eq!(elsewhere, sessions.len(), "{messages:?}\n{}", fleet.log(0));
    let answers: Vec<&Value> = messages.iter().filter(|message| message["id"] == late).collect();
    assert!(answers.len() == 1 && answers[0]["result"].is_null(), "{answers:?}");
    wait_until(
        10 * SECOND,
        || {
            open_session(&mut connection, "anew", "paid").is_some_and(|session| {
                session.id.starts_with("f0-") && close_session(&mut connection, &session)
            })
        },
        || fleet.log(0),
    );
    // Its former sessions are untouched: each one plays on at its box, exactly once.
    for (connection, session) in connections.iter_mut().zip(&sessions) {
        assert_eq!(fleet.boxes_of(&session.id), 1, "{session:?}");
        assert!(close_session(connection, session), "{session:?}");
    }
    fleet.assert_single_effect();
}

/// Partitions a front from the others, over lossy links, while it still reaches the boxes and its players. Asserts that its
/// sessions are taken over, its players are redirected, no session has two owners, and the front serves again under a new
/// incarnation once the partition ends.
fn run_partition(name: &str, one_sided: bool) {
    let links = Quality { loss: 0.05, ..Quality::default() };
    let fleet = Fleet::start_with_links(name, 4, "", Some(links));
    let mut connection = fleet.connect(3);
    let sessions = fleet.open_sessions(3, &mut connection, 20);
    fleet.cut(3, one_sided, true);
    let until = Instant::now() + 25 * SECOND;
    let mut ended = 0;
    while ended < sessions.len() {
        match connection.next(until) {
            Ok(message) if message["method"] == "session.ended" => {
                assert_eq!(message["params"]["reason"], "elsewhere", "{message}");
                ended += 1;
            }
            Ok(_) => {}
            Err(silence) => panic!("{silence:?}, {ended} ended: {}", fleet.log(3)),
        }
    }
    let mut connections = Vec::new();
    for session in &sessions {
        let found = fleet.find_session(session, 0, until);
        connections.push(
            found.unwrap_or_else(|| panic!("{session:?} is lost\n{}\n{}", fleet.log(0), fleet.log(1))).0,
        );
    }
    fleet.cut(3, one_sided, false);
    let opens_new_session = |connection: &mut PlayerConnection| {
        open_session(connection, "anew", "paid").is_some_and(|session| close_session(connection, &session))
    };
    wait_until(15 * SECOND, || opens_new_session(&mut connection), || fleet.log(3));
    for (connection, session) in connections.iter_mut().zip(&sessions) {
        assert_eq!(fleet.boxes_of(&session.id), 1, "{session:?}");
        assert!(close_session(connection, session), "{session:?}");
    }
    let free = || sessions.iter().all(|session| fleet.boxes_of(&session.id) == 0);
    wait_until(10 * SECOND, free, || "seats stay occupied".to_owned());
    fleet.assert_single_effect();
}

#[test]
fn sessions_of_a_partitioned_front_are_taken_over_and_its_players_are_redirected() {
    run_partition("cut", false);
}

#[test]
fn sessions_of_a_front_with_a_one_way_partition_are_taken_over_too() {
    run_partition("deaf", true);
}

#[test]
fn sessions_survive_a_power_loss_of_the_whole_fleet() {
    let mut fleet = Fleet::start("power", 3, "");
    let mut sessions = Vec::new();
    for front in 0..3 {
        let mut connection = fleet.connect(front);
        sessions.extend(fleet.open_sessions(front, &mut connection, 20));
        std::mem::forget(connection);
    }
    (0..3).for_each(|front| fleet.kill(front));
    (0..3).for_each(|front| fleet.start_front(front));
    let until = Instant::now() + 25 * SECOND;
    for session in &sessions {
        let first = usize::from(session.id.as_bytes()[1] - b'0');
        let found = fleet.find_session(session, first, until);
        let (mut connection, _) =
            found.unwrap_or_else(|| panic!("{session:?} is lost\n{}\n{}", fleet.log(first), fleet.log(1)));
        assert!(close_session(&mut connection, session), "{session:?}");
    }
    fleet.assert_single_effect();
}

#[test]
fn sessions_with_two_copies_survive_the_loss_of_two_machines_and_their_disks() {
    let mut fleet = Fleet::start("two", 5, "enough 2;");
    let mut sessions = Vec::new();
    let mut connections: Vec<PlayerConnection> = [3, 4].iter().map(|front| fleet.connect(*front)).collect();
    for (connection, front) in connections.iter_mut().zip([3, 4]) {
        sessions.extend(fleet.open_sessions(front, connection, 25));
    }
    [3, 4].iter().for_each(|front| fleet.kill(*front));
    [3, 4].iter().for_each(|front| fleet.lose_disk(*front));
    let killed = Instant::now();
    for session in &sessions {
        let found = fleet.find_session(session, 0, killed + 25 * SECOND);
        let (mut connection, _) = found.unwrap_or_else(|| {
            panic!("{session:?} is lost\n{}\n{}\n{}", fleet.log(0), fleet.log(1), fleet.log(2))
        });
        assert!(close_session(&mut connection, session), "{session:?}");
    }
    eprintln!("{} sessions found again after {:?}", sessions.len(), killed.elapsed());
    fleet.assert_single_effect();
}

fn quantile(values: &mut [u128], share: f64) -> u128 {
    values.sort_unstable();
    values[((values.len() - 1) as f64 * share) as usize]
}

/// Measures the time until viewers of a front that is lost with its disk control their sessions again, and the answer
/// latency added by copies, for docs/measurements/copies.md.
#[test]
#[ignore = "a measurement: minutes, in release"]
fn measure_takeover_and_answer_time() {
    let variants = [
        "off",
        "copies 0; enough 0;",
        "copies 1; enough 1;",
        "copies 2; enough 1;",
        "copies 2; enough 2;",
        "copies 2; enough 2; flush \"never\";",
    ];
    for (variant, copies_settings) in variants.iter().enumerate() {
        let fleet = Fleet::start(&format!("cost-{variant}"), 4, copies_settings);
        let mut connection = fleet.connect(0);
        for class in ["clip", "paid"] {
            let mut elapsed: Vec<u128> = (0..400)
                .filter_map(|number| {
                    let begun = Instant::now();
                    let session = open_session(&mut connection, &format!("cost-{class}-{number}"), class)?;
                    let elapsed = begun.elapsed().as_micros();
                    assert!(close_session(&mut connection, &session));
                    Some(elapsed)
                })
                .collect();
            println!(
                "{copies_settings} {class}: answer p50 {} us, p99 {} us of {}",
                quantile(&mut elapsed, 0.5),
                quantile(&mut elapsed, 0.99),
                elapsed.len()
            );
        }
    }
    for (fronts, session_count) in [(3, 300), (9, 300), (30, 300), (3, 1_500)] {
        let mut fleet = Fleet::start(&format!("take-{fronts}-{session_count}"), fronts, "");
        let mut connection = fleet.connect(3.min(fronts as usize - 1));
        let lost = 3.min(fronts as usize - 1);
        let sessions = fleet.open_sessions(lost, &mut connection, session_count);
        fleet.kill(lost);
        fleet.lose_disk(lost);
        let killed = Instant::now();
        let (sender, found) = std::sync::mpsc::channel();
        let (fleet, opened) = (&fleet, &sessions);
        thread::scope(|scope| {
            for chunk in opened.chunks(opened.len().div_ceil(8)) {
                let sender = sender.clone();
                scope.spawn(move || {
                    let mut connections = Vec::new();
                    for session in chunk {
                        if let Some((connection, _)) = fleet.find_session(session, 0, killed + 30 * SECOND) {
                            connections.push(connection);
                            let _ = sender.send(killed.elapsed().as_millis());
                        }
                    }
                    thread::sleep(SECOND);
                });
            }
        });
        drop(sender);
        let mut elapsed: Vec<u128> = found.iter().collect();
        println!(
            "{fronts} fronts, {} sessions of a lost machine: {} found again, after p50 {} ms, p99 {} ms",
            sessions.len(),
            elapsed.len(),
            quantile(&mut elapsed, 0.5),
            quantile(&mut elapsed, 0.99)
        );
        fleet.assert_single_effect();
    }
}
