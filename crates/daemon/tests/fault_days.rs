//! Short days with injected faults on the real front, judged by all six rules.
//!
//! Days run one at a time, and the allowed lateness grows with the scheduling delay of the machine, which a thread of the
//! test measures during the day. Otherwise, with five days at once on a shared machine, answers delayed by the scheduler
//! would be counted against the front.
#![allow(clippy::disallowed_types, clippy::disallowed_methods)]

mod rig;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use rig::{script, InProcessFronts};
use salttally_front::record::replay;
use salttally_judge::judge;
use salttally_judge::record::Event;
use salttally_judge::worth::worth;
use salttally_standin::day::Day;

/// Measures by how much a sleeping thread is woken too late.
struct Lateness {
    stop_flag: Arc<AtomicBool>,
    thread: thread::JoinHandle<Duration>,
}

impl Lateness {
    fn measure() -> Lateness {
        let stop_flag = Arc::new(AtomicBool::new(false));
        let stop_requested = Arc::clone(&stop_flag);
        let sleep_time = Duration::from_millis(2);
        let thread = thread::spawn(move || {
            let mut worst = Duration::ZERO;
            while !stop_requested.load(Ordering::Acquire) {
                let begun = Instant::now();
                thread::sleep(sleep_time);
                worst = worst.max(begun.elapsed().saturating_sub(sleep_time));
            }
            worst
        });
        Lateness { stop_flag, thread }
    }

    fn worst(self) -> Duration {
        self.stop_flag.store(true, Ordering::Release);
        self.thread.join().expect("the thread does not panic")
    }
}

/// Thread wake-ups on the path of an answer: player, front, box, front, player.
const WAKE_UPS_PER_ANSWER: u32 = 5;
/// Serializes the days.
static DAY_LOCK: Mutex<()> = Mutex::new(());

fn play_day(faults: &str) {
    let _guard = DAY_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
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
    // Front f1 records its decisions.
    let file = record.join("f1.jsonl");
    let day = {
        script.terms.lateness = 100_000;
        Day::start(script).expect("stand-ins start")
    };
    let mut fronts =
        RecordedFronts { fronts: InProcessFronts::default(), file: file.clone(), settings: None };
    let lateness = Lateness::measure();
    day.play(&mut fronts, |_| {}).expect("the day is played");
    for front in fronts.fronts.0.into_iter().flatten() {
        let counts = front.shut_down(Duration::from_secs(5)).expect("ends in time");
        assert_eq!(counts.stopped(), 0, "the safety guard stopped an action: {counts:?}");
    }
    day.stop();
    let mut lines = day.log.lines();
    let late = lateness.worst();
    for line in &mut lines {
        if let Event::Terms(terms) = &mut line.what {
            terms.lateness += (WAKE_UPS_PER_ANSWER * late).as_micros() as u64;
        }
    }
    let verdict = judge(&lines);
    assert!(verdict.all_kept(), "{faults}, threads woken {late:?} late: {:#?}", verdict.findings);
    assert!(verdict.calls_due > 200 && verdict.answers[0] > 100, "too few requests: {verdict:?}");
    assert!(worth(&lines).ratio() > 0.1, "{:?}", worth(&lines));
    let settings = fronts.settings.expect("f1 was started");
    let file = std::fs::File::open(&file).expect("a record");
    let steps = replay(std::io::BufReader::new(file), &settings.decision)
        .expect("each step replays as the module decides it");
    assert!(steps > 100, "{steps}");
    std::fs::remove_dir_all(&record).expect("removed");
}

/// Fronts in this process, of which f1 writes a record.
struct RecordedFronts {
    fronts: InProcessFronts,
    file: std::path::PathBuf,
    settings: Option<salttally_front::settings::Settings>,
}

impl salttally_standin::day::FrontController for RecordedFronts {
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
fn rolling_deploy_of_nine_tenths_with_a_stale_list() {
    play_day("fault \"deploy\" at-s=0.5 for-s=3.5 part=0.9 batch=0.2 drain-ms=500\nfault \"list-stale\" at-s=0.5 for-s=3 by-ms=1200");
}

#[test]
fn box_crashes_and_fast_errors_while_a_front_is_killed() {
    play_day("fault \"crash\" at-s=1 for-s=1.5 part=0.25\nfault \"errors\" at-s=1 for-s=2 part=0.25 share=0.7\nfault \"front-crash\" at-s=1.5 for-s=1.2 fronts=1");
}

#[test]
fn silent_boxes_and_a_zone_partition_with_late_reports() {
    play_day("fault \"vanish\" at-s=1 for-s=2 part=0.2\nfault \"zone-cut\" at-s=1.2 for-s=1.5 zone=1\nfault \"reports-late\" at-s=0.5 for-s=3 by-ms=1500");
}

#[test]
fn zone_loss_with_its_front_during_a_crowd_and_degrading_links() {
    play_day("fault \"zone-loss\" at-s=1 for-s=1.5 zone=2 fronts=#true\nfault \"crowd\" at-s=0.8 for-s=2 share=0.3 titles=1\nfault \"ageing\" at-s=0.2 for-s=4 part=0.5 times=2.5");
}

#[test]
fn boxes_preempted_at_short_notice_while_the_list_connection_breaks() {
    play_day("fault \"preempt\" at-s=0.8 for-s=1.5 part=0.3 notice-ms=300\nfault \"list-drop\" at-s=1\nfault \"list-drop\" at-s=2\nfault \"slow\" at-s=1 for-s=2 part=1.0 times=1.6");
}
