//! Short days of trouble on the real front, judged on all six rules.
//!
//! One day at a time, and judged by what this machine was able to do: a thread of the test itself measures how late it
//! is woken while the day is played. Danger: five days at once on a machine that others use too are answered late by
//! whoever schedules the threads, and the front is blamed.
#![allow(clippy::disallowed_types, clippy::disallowed_methods)]

mod rig;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use rig::{script, InProcess};
use salttally_front::record::replay;
use salttally_judge::judge;
use salttally_judge::record::Event;
use salttally_judge::worth::worth;
use salttally_standin::day::Day;

/// Measures by how much a thread that only sleeps is woken too late.
struct Lateness {
    over: Arc<AtomicBool>,
    thread: thread::JoinHandle<Duration>,
}

impl Lateness {
    fn measure() -> Lateness {
        let over = Arc::new(AtomicBool::new(false));
        let ends = Arc::clone(&over);
        let nap = Duration::from_millis(2);
        let thread = thread::spawn(move || {
            let mut worst = Duration::ZERO;
            while !ends.load(Ordering::Acquire) {
                let slept = Instant::now();
                thread::sleep(nap);
                worst = worst.max(slept.elapsed().saturating_sub(nap));
            }
            worst
        });
        Lateness { over, thread }
    }

    fn worst(self) -> Duration {
        self.over.store(true, Ordering::Release);
        self.thread.join().expect("it only sleeps")
    }
}

/// Threads on the way of an answer that are each woken once: player, front, box, and back.
const HANDS: u32 = 5;
/// Days wait for each other.
static ONE: Mutex<()> = Mutex::new(());

fn play(faults: &str) {
    let _one = ONE.lock().unwrap_or_else(PoisonError::into_inner);
    let head = format!(
        "day seconds=5 seed=3 sessions=220\nfronts 3\nlist-lag-ms 150\ntitles 12 holders=4\n\
         viewers \"clip\" share=0.7 length-s=1.2 patience-ms=1500\n\
         viewers \"paid\" share=0.3 length-s=1.5 patience-ms=1500\n\
         habits returns=0.9 after-ms=200 hasty=0.05 limited=0.2 leaves=0.1\n\
         boxes 12 zones=3 racks=3 places=30 link-kb=2600 link-spread=0.2 uplink-part=0.8 uplink-spread=0.2 \
         set-up-ms=8 refuses-from=1.0 report-ms=100\n{faults}"
    );
    let mut script = script(&head, "claim-within-ms 1500");
    let record = std::env::temp_dir().join(format!("salttally-day-{}-{}", std::process::id(), faults.len()));
    std::fs::create_dir_all(&record).expect("a folder");
    // One front keeps its record of decisions.
    let file = record.join("f1.jsonl");
    let day = {
        script.terms.lateness = 100_000;
        Day::start(script).expect("stand-ins start")
    };
    let mut fronts = Recorded { fronts: InProcess::default(), file: file.clone(), settings: None };
    let lateness = Lateness::measure();
    day.play(&mut fronts, |_| {}).expect("the day is played");
    for front in fronts.fronts.0.into_iter().flatten() {
        let counts = front.shut_down(Duration::from_secs(5)).expect("ends in time");
        assert_eq!(counts.stopped(), 0, "the lock was needed: {counts:?}");
    }
    day.stop();
    let mut lines = day.log.lines();
    let late = lateness.worst();
    for line in &mut lines {
        if let Event::Terms(terms) = &mut line.what {
            terms.lateness += (HANDS * late).as_micros() as u64;
        }
    }
    let verdict = judge(&lines);
    assert!(verdict.all_kept(), "{faults}, threads woken {late:?} late: {:#?}", verdict.findings);
    assert!(verdict.calls_due > 200 && verdict.answers[0] > 100, "too little happened: {verdict:?}");
    assert!(worth(&lines).ratio() > 0.1, "{:?}", worth(&lines));
    let settings = fronts.settings.expect("f1 was started");
    let file = std::fs::File::open(&file).expect("a record");
    let steps =
        replay(std::io::BufReader::new(file), &settings.decision).expect("as the module alone decides");
    assert!(steps > 100, "{steps}");
    std::fs::remove_dir_all(&record).expect("removed");
}

struct Recorded {
    fronts: InProcess,
    file: std::path::PathBuf,
    settings: Option<salttally_front::settings::Settings>,
}

impl salttally_standin::day::FrontController for Recorded {
    fn start(&mut self, number: usize, settings: &str) -> std::io::Result<()> {
        if number != 1 {
            return self.fronts.start(number, settings);
        }
        let text = format!("{settings}\n").replacen(
            "    listen ",
            &format!("    record {:?}\n    listen ", self.file),
            1,
        );
        let read = salttally_front::settings::Settings::parse("f1.kdl", &text);
        self.settings = read.ok();
        self.fronts.start(number, &text)
    }

    fn kill(&mut self, number: usize) {
        self.fronts.kill(number);
    }
}

#[test]
fn a_rolling_deploy_of_nine_tenths_that_the_list_lags_behind() {
    play("fault \"deploy\" at-s=0.5 for-s=3.5 part=0.9 batch=0.2 drain-ms=500\nfault \"list-stale\" at-s=0.5 for-s=3 by-ms=1200");
}

#[test]
fn crashes_and_fast_errors_while_a_front_is_killed() {
    play("fault \"crash\" at-s=1 for-s=1.5 part=0.25\nfault \"errors\" at-s=1 for-s=2 part=0.25 share=0.7\nfault \"front-crash\" at-s=1.5 for-s=1.2 fronts=1");
}

#[test]
fn silent_boxes_and_a_zone_cut_at_once_under_late_reports() {
    play("fault \"vanish\" at-s=1 for-s=2 part=0.2\nfault \"zone-cut\" at-s=1.2 for-s=1.5 zone=1\nfault \"reports-late\" at-s=0.5 for-s=3 by-ms=1500");
}

#[test]
fn a_zone_lost_with_its_front_while_a_crowd_comes_and_links_age() {
    play("fault \"zone-loss\" at-s=1 for-s=1.5 zone=2 fronts=#true\nfault \"crowd\" at-s=0.8 for-s=2 share=0.3 titles=1\nfault \"ageing\" at-s=0.2 for-s=4 part=0.5 times=2.5");
}

#[test]
fn boxes_taken_back_at_short_notice_while_the_list_breaks() {
    play("fault \"preempt\" at-s=0.8 for-s=1.5 part=0.3 notice-ms=300\nfault \"list-drop\" at-s=1\nfault \"list-drop\" at-s=2\nfault \"slow\" at-s=1 for-s=2 part=1.0 times=1.6");
}
