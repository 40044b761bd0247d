//! The door, the watch and the shares, in virtual time.

use std::net::IpAddr;

use proptest::prelude::*;

use super::super::accept_backoff::{Accepting, Shortage};
use super::super::admission::{AdmissionLimits, Door, DropReason, Place};
use super::super::deferred::DeferredQueue;
use super::super::pace::{Frames, Pace};
use super::super::thread_share::{OpenOverhead, Priority, ThreadShare};
use super::super::watchdog::{Sight, Watch, WatchLimits};
use crate::core::ClientId;

const MS: u64 = 1_000;
const SECOND: u64 = 1_000 * MS;
const PACE: Pace = Pace { within: 5 * SECOND, grace: 3 * SECOND, least: 512 };
const DOOR: AdmissionLimits =
    AdmissionLimits { players: 4, reserve: 1, shaking: 3, per_address: 0, prefix: (24, 64), pace: PACE };
const WATCH: WatchLimits = WatchLimits {
    handshake: PACE,
    message: Pace { within: 10 * SECOND, ..PACE },
    ping_every: 20 * SECOND,
    pong_within: 5 * SECOND,
    pings: 3,
    controls_per_s: 2,
    controls_at_once: 16,
    return_within: 3 * SECOND,
};

fn from(last: u8) -> IpAddr {
    IpAddr::from([10, 0, last, 1])
}

fn id(number: u64) -> ClientId {
    ClientId(number)
}

fn inside(door: &mut Door, now: u64, number: u64) -> Result<Place, DropReason> {
    door.knock(now, id(number), from(1)).expect("let in to shake hands");
    door.enter(now, id(number)).map(|(place, _)| place)
}

// ---- The door ----

#[test]
fn a_byte_a_second_must_not_lock_everybody_out() {
    let mut door = Door::new(DOOR);
    for number in 1..=3 {
        assert_eq!(door.knock(0, id(number), from(1)), Ok(None));
    }
    // One of them sends a byte a second, the others a little more; a newcomer finds room each time.
    door.progress(id(1), 0, 200);
    door.progress(id(2), 0, 3);
    door.progress(id(3), 0, 100);
    assert_eq!(
        door.knock(SECOND, id(4), from(1)),
        Ok(Some((id(2), DropReason::Shaking))),
        "the slowest goes"
    );
    assert_eq!(door.enter(SECOND, id(4)), Ok((Place::Ordinary, None)));
    assert_eq!(door.enter(SECOND, id(2)), Err(DropReason::Shaking), "who was turned out is not let in");
}

#[test]
fn one_address_must_not_fill_the_door_for_all_others() {
    let mut door = Door::new(DOOR);
    for (number, address) in [(1, 7), (2, 9), (3, 9)] {
        assert_eq!(door.knock(number, id(number), from(address)), Ok(None));
    }
    // The oldest of all is of address 7; but address 9 has more of them.
    assert_eq!(door.knock(4, id(4), from(8)), Ok(Some((id(2), DropReason::Shaking))));
}

#[test]
fn hundreds_behind_one_proxy_are_let_in_unless_a_setting_asks_for_a_cap() {
    let mut door = Door::new(AdmissionLimits { players: 400, shaking: 400, ..DOOR });
    for number in 0..300 {
        assert_eq!(inside(&mut door, number, number), Ok(Place::Ordinary));
    }
    let mut door = Door::new(AdmissionLimits { per_address: 2, ..DOOR });
    assert_eq!(door.knock(0, id(1), from(1)), Ok(None));
    assert_eq!(door.knock(0, id(2), IpAddr::from([10, 0, 1, 200])), Ok(None), "of the same 24 bits");
    let mapped = "::ffff:10.0.1.9".parse().expect("an address");
    assert_eq!(door.knock(0, id(3), mapped), Err(DropReason::Address), "also written as IPv6");
    assert_eq!(door.knock(0, id(3), from(2)), Ok(None));
    door.left(id(1));
    assert_eq!(door.knock(0, id(4), from(1)), Ok(None), "a place is free again");
}

#[test]
fn idle_connections_must_not_keep_players_out_and_viewers_with_sessions_stay() {
    let mut door = Door::new(DOOR);
    for number in 1..=3 {
        assert_eq!(inside(&mut door, number, number), Ok(Place::Ordinary));
    }
    door.set_in_use(10, id(1), true);
    door.knock(20, id(4), from(1)).expect("shakes hands");
    assert_eq!(
        door.enter(20, id(4)),
        Ok((Place::Ordinary, Some((id(2), DropReason::Idle)))),
        "idle for longest"
    );
    for number in [3, 4] {
        door.set_in_use(30, id(number), true);
    }
    assert_eq!(inside(&mut door, 40, 5), Ok(Place::Reserve), "only the reserve is left");
    assert!(door.in_reserve(id(5)));
    door.knock(50, id(6), from(1)).expect("shakes hands");
    assert_eq!(door.enter(50, id(6)), Ok((Place::Reserve, Some((id(5), DropReason::Newcomer)))));
    door.set_in_use(60, id(6), true);
    assert!(!door.in_reserve(id(6)));
    assert_eq!(inside(&mut door, 70, 7), Err(DropReason::Full), "all hold something: nobody is turned out");
    door.left(id(7));
    door.set_in_use(80, id(3), false);
    assert_eq!(inside(&mut door, 90, 8), Ok(Place::Ordinary));
    assert_eq!(door.counts().dropped[&DropReason::Full], 1);
}

proptest! {
    #[test]
    fn a_door_counts_right_and_never_turns_out_who_holds_something(
        steps in prop::collection::vec((0u8..6, 0u64..24, 0u8..4, 0u64..900), 1..300),
    ) {
        let mut door = Door::new(DOOR);
        let (mut now, mut next) = (0, 0);
        let mut known: Vec<ClientId> = Vec::new();
        let mut holding: Vec<ClientId> = Vec::new();
        let out = |known: &mut Vec<ClientId>, holding: &Vec<ClientId>, goes: Option<(ClientId, DropReason)>| {
            if let Some((goes, _)) = goes {
                assert!(!holding.contains(&goes), "{goes:?} held something");
                let before = known.len();
                known.retain(|one| *one != goes);
                assert_eq!(known.len(), before - 1, "who goes was there");
            }
        };
        for (step, which, address, pause) in steps {
            now += pause * MS;
            let one = known.get(which as usize % known.len().max(1)).copied();
            match (step, one) {
                (0 | 1, _) => {
                    next += 1;
                    if let Ok(goes) = door.knock(now, id(next), from(address)) {
                        out(&mut known, &holding, goes);
                        known.push(id(next));
                    }
                }
                (2, Some(one)) => door.progress(one, now, pause),
                (3, Some(one)) if !holding.contains(&one) => {
                    if let Ok((_, goes)) = door.enter(now, one) {
                        out(&mut known, &holding, goes);
                        if which % 2 == 0 {
                            door.set_in_use(now, one, true);
                            holding.push(one);
                        }
                    }
                }
                (4, Some(one)) => {
                    door.set_in_use(now, one, false);
                    holding.retain(|other| *other != one);
                }
                (5, Some(one)) => {
                    door.left(one);
                    known.retain(|other| *other != one);
                    holding.retain(|other| *other != one);
                }
                _ => {}
            }
            let counts = door.counts();
            prop_assert_eq!(counts.shaking + counts.idle + counts.reserve + counts.holding, known.len());
            prop_assert!(counts.shaking <= DOOR.shaking && counts.holding >= holding.len());
            prop_assert!(counts.idle + counts.reserve + counts.holding <= DOOR.players);
        }
    }
}

// ---- Steps ----

#[test]
fn a_begun_message_must_end() {
    let mut frames = Frames::default();
    // The head of a masked text frame of 4,096 bytes, and three bytes of it.
    frames.push(7, &[0x81, 0x80 | 126, 0x10, 0x00, 1, 2, 3, 4, b'{', b'"', b'a']);
    assert_eq!(frames.step(), Some((7, 11)));
    assert_eq!(WATCH.message.due(7, 11), 7 + 3 * SECOND + 11 * SECOND / 512);
    assert_eq!(
        PACE.due(7, 1 << 40),
        7 + PACE.within,
        "and however fast it comes, the whole has one deadline"
    );
    frames.push(9, &[b' '; 4_093]);
    assert_eq!(frames.step(), None, "it is whole");
}

#[test]
fn a_message_in_parts_is_one_step_whatever_comes_between() {
    let mut frames = Frames::default();
    frames.push(1, &[0x01, 0x82, 0, 0, 0, 0, b'a', b'b']);
    frames.push(2, &[0x89, 0x81, 0, 0, 0, 0, b'p']);
    assert_eq!(frames.controls(), 1);
    frames.push(3, &[0x00, 0x80, 0, 0, 0, 0]);
    assert_eq!(frames.step(), Some((1, 21)), "pings and empty parts do not begin it anew");
    frames.push(4, &[0x80, 0x80, 0, 0, 0, 0]);
    assert_eq!((frames.step(), frames.controls()), (None, 0));
}

#[test]
fn an_honest_viewer_on_a_thin_line_is_never_cut_off() {
    // 64 kbit/s, 600 ms away: the largest message comes in packets of 1,400 bytes, 175 ms apart.
    let mut watch = Watch::new(WATCH, 1, 0);
    watch.heard(1_200 * MS, &[b'x'; 300]);
    assert_eq!(watch.look(1_200 * MS), Sight::Fine);
    watch.entered(1_800 * MS, false);
    let mut bytes = vec![0x81, 0x80 | 126, 0x40, 0x00, 0, 0, 0, 0];
    bytes.extend([b' '; 16_384]);
    let mut now = 2_000 * MS;
    for part in bytes.chunks(1_400) {
        assert_eq!(watch.look(now), Sight::Fine);
        watch.heard(now, part);
        now += 175 * MS;
    }
    // Its pong is 600 ms away too, and the first ping of all is lost.
    assert_eq!(watch.look(watch.due()), Sight::Ping);
    assert_eq!(watch.look(watch.due()), Sight::Ping);
    watch.heard(watch.due() - 4_400 * MS, &[0x8a, 0x80, 0, 0, 0, 0]);
    assert_eq!(watch.look(watch.due() - 1), Sight::Fine);
}

#[test]
fn a_viewer_that_vanishes_is_missed_and_any_word_of_it_counts() {
    let mut watch = Watch::new(WATCH, 5, 0);
    watch.entered(0, false);
    let first = watch.due();
    assert!((15 * SECOND..=25 * SECOND).contains(&first), "{first}");
    for _ in 0..3 {
        assert_eq!(watch.look(watch.due()), Sight::Ping);
    }
    assert_eq!(watch.look(watch.due() - 1), Sight::Fine);
    assert_eq!(watch.look(watch.due()), Sight::Silent);
    assert_eq!(watch.due(), first + 15 * SECOND, "within forty seconds at most");
    let mut watch = Watch::new(WATCH, 5, 0);
    watch.entered(0, false);
    for _ in 0..3 {
        watch.look(watch.due());
    }
    let last = watch.due();
    watch.heard(last - 1, &[0x8a, 0x80, 0, 0, 0, 0]);
    assert_eq!(watch.look(last), Sight::Fine, "a pong just in time");
    assert_eq!(watch.look(watch.due()), Sight::Ping, "and the count begins anew");
}

#[test]
fn a_flood_of_pings_is_cut_off_before_any_is_answered_and_a_ping_now_and_then_is_not() {
    let ping = [0x89, 0x80, 0, 0, 0, 0];
    let mut watch = Watch::new(WATCH, 1, 0);
    watch.entered(0, false);
    for second in 1..200 {
        watch.heard(second * SECOND, &ping);
        assert_eq!(watch.look(second * SECOND), Sight::Fine);
    }
    watch.heard(200 * SECOND, &ping.repeat(17));
    assert_eq!(watch.look(200 * SECOND), Sight::Noisy);
}

#[test]
fn pings_of_connections_opened_together_must_not_come_together() {
    let due = |seed: u64| {
        let mut watch = Watch::new(WATCH, seed, 0);
        watch.entered(0, false);
        watch.due() / SECOND
    };
    let mut by_second = [0usize; 30];
    (0..20_000).for_each(|seed| by_second[due(seed) as usize] += 1);
    // 20,000 connections over ten seconds: 2,000 a second, give or take.
    assert!(by_second[15..25].iter().all(|count| (1_700..2_300).contains(count)), "{by_second:?}");
}

#[test]
fn whoever_was_let_into_the_reserve_and_returns_to_nothing_goes() {
    let mut watch = Watch::new(WATCH, 1, 0);
    watch.entered(10, true);
    assert_eq!(watch.look(10 + 3 * SECOND - 1), Sight::Fine);
    assert_eq!(watch.look(10 + 3 * SECOND), Sight::Newcomer);
    watch.returned();
    assert_eq!(watch.look(10 + 4 * SECOND), Sight::Fine);
}

proptest! {
    #[test]
    fn however_its_bytes_come_a_step_ends_in_time_or_is_cut(
        pauses in prop::collection::vec(1u64..2_000, 1..400),
    ) {
        let mut watch = Watch::new(WATCH, 1, 0);
        let mut now = 0;
        for pause in pauses {
            let next = now + pause * MS;
            if watch.due() <= next {
                prop_assert_eq!(watch.look(watch.due()), Sight::Slow);
                prop_assert!(watch.due() <= WATCH.handshake.within);
                return Ok(());
            }
            now = next;
            watch.heard(now, b"G");
        }
        prop_assert!(now < WATCH.handshake.within, "it was watched for {} us", now);
    }

    #[test]
    fn frames_are_told_apart_however_their_bytes_are_cut(
        payloads in prop::collection::vec((0usize..70_000, 0u8..3), 1..6),
        cuts in prop::collection::vec(1usize..40_000, 1..40),
    ) {
        use tungstenite::protocol::frame::{coding::{Data, OpCode}, Frame};
        let mut bytes = Vec::new();
        let mut controls = 0;
        for (size, kind) in payloads {
            let data = |data: Data, size: usize| Frame::message(vec![b'x'; size], OpCode::Data(data), true);
            let mut frame = match kind {
                0 => Frame::ping(vec![b'x'; size % 126]),
                1 => data(Data::Binary, size),
                _ => data(Data::Text, size % 300),
            };
            controls += u64::from(kind == 0);
            frame.header_mut().mask = Some([1, 2, 3, 4]);
            frame.format(&mut bytes).expect("written");
        }
        let mut frames = Frames::default();
        let mut rest = &bytes[..];
        for cut in cuts.iter().cycle() {
            let (part, after) = rest.split_at(rest.len().min(*cut));
            frames.push(1, part);
            rest = after;
            if rest.is_empty() {
                break;
            }
            prop_assert!(frames.step().is_none_or(|(_, so_far)| so_far > 0));
        }
        prop_assert_eq!((frames.step(), frames.controls()), (None, controls));
    }
}

// ---- Shares ----

#[test]
fn cheap_calls_in_a_flood_and_dear_ones_in_a_trickle_weigh_alike() {
    // Of one thread, with 50 inside: each earns 10 ms a second.
    let ahead = |cost_us: u64, pause: u64| {
        let mut share = ThreadShare::new(0);
        let (mut now, mut spent) = (0, 0);
        while now < 20 * SECOND {
            let (turn, charge) = share.charge(now, 1, 50);
            if turn == Priority::Normal {
                share.settle(charge, cost_us * 1_000);
                spent += cost_us;
            } else {
                share.refund(charge);
            }
            now += pause;
        }
        spent
    };
    let (cheap, dear) = (ahead(10, 100), ahead(4_000, 40_000));
    for spent in [cheap, dear] {
        assert!((190_000..215_000).contains(&spent), "{cheap} and {dear} us of 20 s");
    }
}

#[test]
fn an_honest_player_has_its_turn_beside_thousands_that_flood() {
    let mut share = ThreadShare::new(0);
    // An open and a close of 300 us each every ten seconds, among 4,000 inside.
    for round in 0..20 {
        for at in [0, 5 * SECOND] {
            let (turn, charge) = share.charge(round * 10 * SECOND + at, 1, 4_000);
            assert_eq!(turn, Priority::Normal);
            share.settle(charge, 300_000);
        }
    }
    // What it is held back for ends, and is no longer than a second.
    let (_, charge) = share.charge(200 * SECOND, 1, 4_000);
    share.settle(charge, 500_000_000);
    assert_eq!(share.time_until_credit(4_000), SECOND);
}

#[test]
fn an_open_bears_what_it_brings_with_it_and_not_what_went_before() {
    let mut aftermath = OpenOverhead::default();
    aftermath.record_cost(60_000_000_000);
    assert!(aftermath.charge_opens(1) < 400_000, "a minute of other work is not one open's");
    let borne: u64 = (0..100)
        .map(|_| {
            aftermath.record_cost(700_000);
            aftermath.charge_opens(1)
        })
        .last()
        .expect("some");
    assert!((690_000..=710_000).contains(&borne), "{borne}");
}

proptest! {
    #[test]
    fn what_was_charged_and_given_back_is_worth_nothing(
        calls in prop::collection::vec((1u64..50, 1u64..2_000_000), 1..50),
    ) {
        let mut share = ThreadShare::new(0);
        let before = share.clone();
        let mut charges = Vec::new();
        for (count, cost) in calls {
            let (_, charge) = share.charge(0, count, 10);
            charges.push(charge);
            // The mean moves meanwhile.
            let (_, other) = share.charge(0, 1, 10);
            share.settle(other, cost);
            share.settle(other, 0);
            share.refund(other);
        }
        charges.into_iter().for_each(|charge| share.refund(charge));
        prop_assert!(share.time_until_credit(1) >= before.time_until_credit(1));
    }
}

#[test]
fn a_cancellation_must_not_overtake_its_open() {
    let mut over = DeferredQueue::default();
    for (client, what) in [(1, "open"), (2, "other"), (1, "status")] {
        over.push(id(client), what);
    }
    // The cancellation has its turn; what its sender said before goes ahead of it.
    assert_eq!(over.take_client(id(1)), ["open", "status"]);
    assert_eq!((over.take_client(id(1)), over.pop(), over.pop()), (vec![], Some("other"), None));
}

proptest! {
    #[test]
    fn what_a_player_says_is_heard_in_its_order_and_once(
        steps in prop::collection::vec((0u64..3, 0u8..3), 1..100),
    ) {
        let mut over = DeferredQueue::default();
        let (mut said, mut heard) = (vec![Vec::new(); 3], vec![Vec::new(); 3]);
        for (number, (client, what)) in steps.into_iter().enumerate() {
            let of = client as usize;
            match what {
                0 | 1 => {
                    over.push(id(client), (of, number));
                    said[of].push(number);
                }
                _ => {
                    // One with its turn.
                    over.take_client(id(client)).into_iter().for_each(|(of, number)| heard[of].push(number));
                    said[of].push(number);
                    heard[of].push(number);
                }
            }
            if number % 5 == 0 {
                over.pop().into_iter().for_each(|(of, number): (usize, usize)| heard[of].push(number));
            }
        }
        while let Some((of, number)) = over.pop() {
            heard[of].push(number);
        }
        prop_assert!(over.is_empty());
        prop_assert_eq!(said, heard);
    }
}

// ---- Shortages ----

#[test]
fn no_more_files_must_not_take_the_core_or_fill_the_log() {
    assert_eq!(Shortage::of(Some(libc::EMFILE)), Some(Shortage::Files));
    assert_eq!(Shortage::of(Some(libc::ECONNABORTED)), None, "that one's own fault");
    let mut accepting = Accepting::default();
    let (mut now, mut times, mut told) = (0, 0, 0);
    while now < 10 * SECOND {
        let step = accepting.short(now, Shortage::Files);
        (now, times) = (now + step.pause, times + 1);
        told += step.tell.unwrap_or(0);
        assert!(step.pause <= 320 * MS);
    }
    assert!(times < 50 && told == 1, "{times} tries, {told} told");
    assert_eq!(accepting.short(now, Shortage::Files).tell, Some(times), "told with how often");
    accepting.went_well();
    assert_eq!(accepting.short(now, Shortage::Threads).pause, 5 * MS);
}
