//! Admission control, the watchdog, thread shares, deferred messages and the accept backoff, in virtual time.

use std::net::IpAddr;

use proptest::prelude::*;

use super::super::accept_backoff::{AcceptBackoff, Shortage};
use super::super::admission::{Admission, AdmissionLimits, DropReason, Slot};
use super::super::deferred::DeferredQueue;
use super::super::pace::{FrameScanner, Pace};
use super::super::thread_share::{OpenOverhead, Priority, ThreadShare};
use super::super::watchdog::{Verdict, Watchdog, WatchdogLimits};
use crate::core::ClientId;

const MS: u64 = 1_000;
const SECOND: u64 = 1_000 * MS;
const PACE: Pace = Pace { timeout: 5 * SECOND, grace: 3 * SECOND, min_bytes_per_s: 512 };
const ADMISSION: AdmissionLimits = AdmissionLimits {
    players: 4,
    reserve: 1,
    handshakes: 3,
    per_address: 0,
    prefix_bits: (24, 64),
    pace: PACE,
};
const WATCHDOG: WatchdogLimits = WatchdogLimits {
    handshake: PACE,
    message: Pace { timeout: 10 * SECOND, ..PACE },
    ping_interval: 20 * SECOND,
    pong_timeout: 5 * SECOND,
    max_missed_pings: 3,
    control_frames_per_s: 2,
    control_frame_burst: 16,
    return_timeout: 3 * SECOND,
};

fn address(third_byte: u8) -> IpAddr {
    IpAddr::from([10, 0, third_byte, 1])
}

fn id(number: u64) -> ClientId {
    ClientId(number)
}

fn connect(admission: &mut Admission, now: u64, number: u64) -> Result<Slot, DropReason> {
    admission.begin_handshake(now, id(number), address(1)).expect("admitted to the handshake");
    admission.finish_handshake(now, id(number)).map(|(slot, _)| slot)
}

// ---- Admission ----

#[test]
fn slow_handshakes_must_not_lock_everybody_out() {
    let mut admission = Admission::new(ADMISSION);
    for number in 1..=3 {
        assert_eq!(admission.begin_handshake(0, id(number), address(1)), Ok(None));
    }
    // One of them sends a byte per second, the others a little more; a new handshake always finds room.
    admission.handshake_progress(id(1), 0, 200);
    admission.handshake_progress(id(2), 0, 3);
    admission.handshake_progress(id(3), 0, 100);
    assert_eq!(
        admission.begin_handshake(SECOND, id(4), address(1)),
        Ok(Some((id(2), DropReason::Handshake))),
        "the slowest is dropped"
    );
    assert_eq!(admission.finish_handshake(SECOND, id(4)), Ok((Slot::Regular, None)));
    assert_eq!(
        admission.finish_handshake(SECOND, id(2)),
        Err(DropReason::Handshake),
        "a dropped connection is not admitted"
    );
}

#[test]
fn one_address_must_not_take_all_handshakes() {
    let mut admission = Admission::new(ADMISSION);
    for (number, prefix) in [(1, 7), (2, 9), (3, 9)] {
        assert_eq!(admission.begin_handshake(number, id(number), address(prefix)), Ok(None));
    }
    // The oldest handshake is of prefix 7, but prefix 9 has more of them.
    assert_eq!(admission.begin_handshake(4, id(4), address(8)), Ok(Some((id(2), DropReason::Handshake))));
}

#[test]
fn hundreds_behind_one_proxy_are_admitted_unless_a_limit_is_set() {
    let mut admission = Admission::new(AdmissionLimits { players: 400, handshakes: 400, ..ADMISSION });
    for number in 0..300 {
        assert_eq!(connect(&mut admission, number, number), Ok(Slot::Regular));
    }
    let mut admission = Admission::new(AdmissionLimits { per_address: 2, ..ADMISSION });
    assert_eq!(admission.begin_handshake(0, id(1), address(1)), Ok(None));
    assert_eq!(
        admission.begin_handshake(0, id(2), IpAddr::from([10, 0, 1, 200])),
        Ok(None),
        "the same 24 bits"
    );
    let mapped = "::ffff:10.0.1.9".parse().expect("an address");
    assert_eq!(
        admission.begin_handshake(0, id(3), mapped),
        Err(DropReason::AddressLimit),
        "the same prefix as an IPv4-mapped address"
    );
    assert_eq!(admission.begin_handshake(0, id(3), address(2)), Ok(None));
    admission.remove(id(1));
    assert_eq!(admission.begin_handshake(0, id(4), address(1)), Ok(None), "a slot is free again");
}

#[test]
fn idle_connections_make_room_and_viewers_with_sessions_stay() {
    let mut admission = Admission::new(ADMISSION);
    for number in 1..=3 {
        assert_eq!(connect(&mut admission, number, number), Ok(Slot::Regular));
    }
    admission.set_in_use(10, id(1), true);
    admission.begin_handshake(20, id(4), address(1)).expect("admitted to the handshake");
    assert_eq!(
        admission.finish_handshake(20, id(4)),
        Ok((Slot::Regular, Some((id(2), DropReason::Idle)))),
        "idle for the longest"
    );
    for number in [3, 4] {
        admission.set_in_use(30, id(number), true);
    }
    assert_eq!(connect(&mut admission, 40, 5), Ok(Slot::Reserve), "only the reserve is left");
    assert!(admission.in_reserve(id(5)));
    admission.begin_handshake(50, id(6), address(1)).expect("admitted to the handshake");
    assert_eq!(
        admission.finish_handshake(50, id(6)),
        Ok((Slot::Reserve, Some((id(5), DropReason::NotReturned))))
    );
    admission.set_in_use(60, id(6), true);
    assert!(!admission.in_reserve(id(6)));
    assert_eq!(
        connect(&mut admission, 70, 7),
        Err(DropReason::Full),
        "all connections are in use and none is dropped"
    );
    admission.remove(id(7));
    admission.set_in_use(80, id(3), false);
    assert_eq!(connect(&mut admission, 90, 8), Ok(Slot::Regular));
    assert_eq!(admission.counts().dropped[&DropReason::Full], 1);
}

proptest! {
    #[test]
    fn counts_match_and_connections_in_use_are_never_dropped(
        steps in prop::collection::vec((0u8..6, 0u64..24, 0u8..4, 0u64..900), 1..300),
    ) {
        let mut admission = Admission::new(ADMISSION);
        let (mut now, mut next) = (0, 0);
        let mut open: Vec<ClientId> = Vec::new();
        let mut in_use: Vec<ClientId> = Vec::new();
        let check_dropped = |open: &mut Vec<ClientId>,
                             in_use: &Vec<ClientId>,
                             dropped: Option<(ClientId, DropReason)>| {
            if let Some((dropped, _)) = dropped {
                assert!(!in_use.contains(&dropped), "{dropped:?} was in use");
                let before = open.len();
                open.retain(|other| *other != dropped);
                assert_eq!(open.len(), before - 1, "the dropped connection was open");
            }
        };
        for (step, which, prefix, pause) in steps {
            now += pause * MS;
            let chosen = open.get(which as usize % open.len().max(1)).copied();
            match (step, chosen) {
                (0 | 1, _) => {
                    next += 1;
                    if let Ok(dropped) = admission.begin_handshake(now, id(next), address(prefix)) {
                        check_dropped(&mut open, &in_use, dropped);
                        open.push(id(next));
                    }
                }
                (2, Some(id)) => admission.handshake_progress(id, now, pause),
                (3, Some(id)) if !in_use.contains(&id) => {
                    if let Ok((_, dropped)) = admission.finish_handshake(now, id) {
                        check_dropped(&mut open, &in_use, dropped);
                        if which % 2 == 0 {
                            admission.set_in_use(now, id, true);
                            in_use.push(id);
                        }
                    }
                }
                (4, Some(id)) => {
                    admission.set_in_use(now, id, false);
                    in_use.retain(|other| *other != id);
                }
                (5, Some(id)) => {
                    admission.remove(id);
                    open.retain(|other| *other != id);
                    in_use.retain(|other| *other != id);
                }
                _ => {}
            }
            let counts = admission.counts();
            prop_assert_eq!(counts.handshakes + counts.idle + counts.reserve + counts.in_use, open.len());
            prop_assert!(counts.handshakes <= ADMISSION.handshakes && counts.in_use >= in_use.len());
            prop_assert!(counts.idle + counts.reserve + counts.in_use <= ADMISSION.players);
        }
    }
}

// ---- Pace and watchdog ----

#[test]
fn a_message_has_a_deadline_and_a_minimum_rate() {
    let mut frames = FrameScanner::default();
    // The header of a masked text frame of 4,096 bytes, and three bytes of its payload.
    frames.push(7, &[0x81, 0x80 | 126, 0x10, 0x00, 1, 2, 3, 4, b'{', b'"', b'a']);
    assert_eq!(frames.in_progress(), Some((7, 11)));
    assert_eq!(WATCHDOG.message.deadline(7, 11), 7 + 3 * SECOND + 11 * SECOND / 512);
    assert_eq!(
        PACE.deadline(7, 1 << 40),
        7 + PACE.timeout,
        "the deadline of the whole message applies at any rate"
    );
    frames.push(9, &[b' '; 4_093]);
    assert_eq!(frames.in_progress(), None, "the message is complete");
}

#[test]
fn a_fragmented_message_is_one_step_despite_control_frames() {
    let mut frames = FrameScanner::default();
    frames.push(1, &[0x01, 0x82, 0, 0, 0, 0, b'a', b'b']);
    frames.push(2, &[0x89, 0x81, 0, 0, 0, 0, b'p']);
    assert_eq!(frames.take_control_frames(), 1);
    frames.push(3, &[0x00, 0x80, 0, 0, 0, 0]);
    assert_eq!(frames.in_progress(), Some((1, 21)), "pings and empty fragments do not restart it");
    frames.push(4, &[0x80, 0x80, 0, 0, 0, 0]);
    assert_eq!((frames.in_progress(), frames.take_control_frames()), (None, 0));
}

#[test]
fn a_viewer_on_a_slow_network_is_never_disconnected() {
    // 64 kbit/s and 600 ms latency: the largest message arrives in packets of 1,400 bytes, 175 ms apart.
    let mut watchdog = Watchdog::new(WATCHDOG, 1, 0);
    watchdog.on_bytes(1_200 * MS, &[b'x'; 300]);
    assert_eq!(watchdog.check(1_200 * MS), Verdict::Continue);
    watchdog.on_established(1_800 * MS, false);
    let mut bytes = vec![0x81, 0x80 | 126, 0x40, 0x00, 0, 0, 0, 0];
    bytes.extend([b' '; 16_384]);
    let mut now = 2_000 * MS;
    for packet in bytes.chunks(1_400) {
        assert_eq!(watchdog.check(now), Verdict::Continue);
        watchdog.on_bytes(now, packet);
        now += 175 * MS;
    }
    // The pong takes 600 ms too, and the first ping is lost.
    assert_eq!(watchdog.check(watchdog.next_check()), Verdict::SendPing);
    assert_eq!(watchdog.check(watchdog.next_check()), Verdict::SendPing);
    watchdog.on_bytes(watchdog.next_check() - 4_400 * MS, &[0x8a, 0x80, 0, 0, 0, 0]);
    assert_eq!(watchdog.check(watchdog.next_check() - 1), Verdict::Continue);
}

#[test]
fn a_viewer_that_vanishes_is_unresponsive_and_any_byte_resets_the_count() {
    let mut watchdog = Watchdog::new(WATCHDOG, 5, 0);
    watchdog.on_established(0, false);
    let first = watchdog.next_check();
    assert!((15 * SECOND..=25 * SECOND).contains(&first), "{first}");
    for _ in 0..3 {
        assert_eq!(watchdog.check(watchdog.next_check()), Verdict::SendPing);
    }
    assert_eq!(watchdog.check(watchdog.next_check() - 1), Verdict::Continue);
    assert_eq!(watchdog.check(watchdog.next_check()), Verdict::Unresponsive);
    assert_eq!(watchdog.next_check(), first + 15 * SECOND, "at most forty seconds in all");
    let mut watchdog = Watchdog::new(WATCHDOG, 5, 0);
    watchdog.on_established(0, false);
    for _ in 0..3 {
        watchdog.check(watchdog.next_check());
    }
    let last = watchdog.next_check();
    watchdog.on_bytes(last - 1, &[0x8a, 0x80, 0, 0, 0, 0]);
    assert_eq!(watchdog.check(last), Verdict::Continue, "a pong just in time");
    assert_eq!(watchdog.check(watchdog.next_check()), Verdict::SendPing, "the count restarts");
}

#[test]
fn a_flood_of_pings_is_disconnected_unanswered_and_an_occasional_ping_is_not() {
    let ping = [0x89, 0x80, 0, 0, 0, 0];
    let mut watchdog = Watchdog::new(WATCHDOG, 1, 0);
    watchdog.on_established(0, false);
    for second in 1..200 {
        watchdog.on_bytes(second * SECOND, &ping);
        assert_eq!(watchdog.check(second * SECOND), Verdict::Continue);
    }
    watchdog.on_bytes(200 * SECOND, &ping.repeat(17));
    assert_eq!(watchdog.check(200 * SECOND), Verdict::ControlFlood);
}

#[test]
fn connections_opened_together_are_not_pinged_together() {
    let ping_second = |seed: u64| {
        let mut watchdog = Watchdog::new(WATCHDOG, seed, 0);
        watchdog.on_established(0, false);
        watchdog.next_check() / SECOND
    };
    let mut by_second = [0usize; 30];
    (0..20_000).for_each(|seed| by_second[ping_second(seed) as usize] += 1);
    // 20,000 connections over ten seconds: about 2,000 per second.
    assert!(by_second[15..25].iter().all(|count| (1_700..2_300).contains(count)), "{by_second:?}");
}

#[test]
fn a_connection_in_the_reserve_must_return_to_a_session_in_time() {
    let mut watchdog = Watchdog::new(WATCHDOG, 1, 0);
    watchdog.on_established(10, true);
    assert_eq!(watchdog.check(10 + 3 * SECOND - 1), Verdict::Continue);
    assert_eq!(watchdog.check(10 + 3 * SECOND), Verdict::NotReturned);
    watchdog.on_returned();
    assert_eq!(watchdog.check(10 + 4 * SECOND), Verdict::Continue);
}

proptest! {
    #[test]
    fn a_handshake_ends_in_time_or_is_disconnected_whatever_its_timing(
        pauses in prop::collection::vec(1u64..2_000, 1..400),
    ) {
        let mut watchdog = Watchdog::new(WATCHDOG, 1, 0);
        let mut now = 0;
        for pause in pauses {
            let next = now + pause * MS;
            if watchdog.next_check() <= next {
                prop_assert_eq!(watchdog.check(watchdog.next_check()), Verdict::TooSlow);
                prop_assert!(watchdog.next_check() <= WATCHDOG.handshake.timeout);
                return Ok(());
            }
            now = next;
            watchdog.on_bytes(now, b"G");
        }
        prop_assert!(now < WATCHDOG.handshake.timeout, "no verdict after {} us", now);
    }

    #[test]
    fn frame_boundaries_are_found_however_the_bytes_are_split(
        payloads in prop::collection::vec((0usize..70_000, 0u8..3), 1..6),
        chunk_sizes in prop::collection::vec(1usize..40_000, 1..40),
    ) {
        use tungstenite::protocol::frame::{coding::{Data, OpCode}, Frame};
        let mut bytes = Vec::new();
        let mut control_frames = 0;
        for (size, kind) in payloads {
            let data = |data: Data, size: usize| Frame::message(vec![b'x'; size], OpCode::Data(data), true);
            let mut frame = match kind {
                0 => Frame::ping(vec![b'x'; size % 126]),
                1 => data(Data::Binary, size),
                _ => data(Data::Text, size % 300),
            };
            control_frames += u64::from(kind == 0);
            frame.header_mut().mask = Some([1, 2, 3, 4]);
            frame.format(&mut bytes).expect("written");
        }
        let mut frames = FrameScanner::default();
        let mut rest = &bytes[..];
        for chunk_size in chunk_sizes.iter().cycle() {
            let (chunk, after) = rest.split_at(rest.len().min(*chunk_size));
            frames.push(1, chunk);
            rest = after;
            if rest.is_empty() {
                break;
            }
            prop_assert!(frames.in_progress().is_none_or(|(_, received)| received > 0));
        }
        prop_assert_eq!((frames.in_progress(), frames.take_control_frames()), (None, control_frames));
    }
}

// ---- Thread shares and deferred messages ----

#[test]
fn many_cheap_calls_and_few_expensive_calls_get_the_same_share() {
    // With 50 connections each earns 10 ms of the thread per second.
    let normal_time_us = |cost_us: u64, pause: u64| {
        let mut share = ThreadShare::new(0);
        let (mut now, mut spent) = (0, 0);
        while now < 20 * SECOND {
            let (priority, charge) = share.charge(now, 1, 50);
            if priority == Priority::Normal {
                share.settle(charge, cost_us * 1_000);
                spent += cost_us;
            } else {
                share.refund(charge);
            }
            now += pause;
        }
        spent
    };
    let (cheap, expensive) = (normal_time_us(10, 100), normal_time_us(4_000, 40_000));
    for spent in [cheap, expensive] {
        assert!((190_000..215_000).contains(&spent), "{cheap} and {expensive} us of 20 s");
    }
}

#[test]
fn a_player_within_its_share_keeps_normal_priority_beside_thousands() {
    let mut share = ThreadShare::new(0);
    // An open and a close of 300 us each every ten seconds, among 4,000 connections.
    for round in 0..20 {
        for at in [0, 5 * SECOND] {
            let (priority, charge) = share.charge(round * 10 * SECOND + at, 1, 4_000);
            assert_eq!(priority, Priority::Normal);
            share.settle(charge, 300_000);
        }
    }
    // The delay after using up the credit is at most one second.
    let (_, charge) = share.charge(200 * SECOND, 1, 4_000);
    share.settle(charge, 500_000_000);
    assert_eq!(share.time_until_credit(4_000), SECOND);
}

#[test]
fn an_open_is_charged_the_mean_overhead_and_not_unrelated_work() {
    let mut overhead = OpenOverhead::default();
    overhead.record_cost(60_000_000_000);
    assert!(overhead.charge_opens(1) < 400_000, "a minute of other work is not charged to one open");
    let charged: u64 = (0..100)
        .map(|_| {
            overhead.record_cost(700_000);
            overhead.charge_opens(1)
        })
        .last()
        .expect("at least one open");
    assert!((690_000..=710_000).contains(&charged), "{charged}");
}

proptest! {
    #[test]
    fn refunded_charges_never_increase_the_credit(
        calls in prop::collection::vec((1u64..50, 1u64..2_000_000), 1..50),
    ) {
        let mut share = ThreadShare::new(0);
        let before = share.clone();
        let mut charges = Vec::new();
        for (count, cost) in calls {
            let (_, charge) = share.charge(0, count, 10);
            charges.push(charge);
            // The mean cost changes meanwhile.
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
    let mut queue = DeferredQueue::default();
    for (client, message) in [(1, "open"), (2, "other"), (1, "status")] {
        queue.push(id(client), message);
    }
    // The cancellation has normal priority; earlier messages of its sender go before it.
    assert_eq!(queue.take_client(id(1)), ["open", "status"]);
    assert_eq!((queue.take_client(id(1)), queue.pop(), queue.pop()), (vec![], Some("other"), None));
}

proptest! {
    #[test]
    fn messages_of_a_player_are_handled_once_and_in_order(
        steps in prop::collection::vec((0u64..3, 0u8..3), 1..100),
    ) {
        let mut queue = DeferredQueue::default();
        let (mut sent, mut handled) = (vec![Vec::new(); 3], vec![Vec::new(); 3]);
        for (number, (client, kind)) in steps.into_iter().enumerate() {
            let player = client as usize;
            match kind {
                0 | 1 => {
                    queue.push(id(client), (player, number));
                    sent[player].push(number);
                }
                _ => {
                    // A message of normal priority.
                    queue
                        .take_client(id(client))
                        .into_iter()
                        .for_each(|(player, number)| handled[player].push(number));
                    sent[player].push(number);
                    handled[player].push(number);
                }
            }
            if number % 5 == 0 {
                queue
                    .pop()
                    .into_iter()
                    .for_each(|(player, number): (usize, usize)| handled[player].push(number));
            }
        }
        while let Some((player, number)) = queue.pop() {
            handled[player].push(number);
        }
        prop_assert!(queue.is_empty());
        prop_assert_eq!(sent, handled);
    }
}

// ---- Accept backoff ----

#[test]
fn a_shortage_of_files_must_not_occupy_a_core_or_fill_the_log() {
    assert_eq!(Shortage::from_os_error(Some(libc::EMFILE)), Some(Shortage::Files));
    assert_eq!(Shortage::from_os_error(Some(libc::ECONNABORTED)), None, "an error of one connection");
    let mut backoff = AcceptBackoff::default();
    let (mut now, mut attempts, mut reported) = (0, 0, 0);
    while now < 10 * SECOND {
        let outcome = backoff.record(now, Shortage::Files);
        (now, attempts) = (now + outcome.pause, attempts + 1);
        reported += outcome.report.unwrap_or(0);
        assert!(outcome.pause <= 320 * MS);
    }
    assert!(attempts < 50 && reported == 1, "{attempts} attempts, {reported} reported");
    assert_eq!(
        backoff.record(now, Shortage::Files).report,
        Some(attempts),
        "reported with the number of attempts"
    );
    backoff.reset();
    assert_eq!(backoff.record(now, Shortage::Threads).pause, 5 * MS);
}
