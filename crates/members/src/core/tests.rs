//! Unit tests of the membership protocol; whole fleets are tested in virtual time in `crates/trial`.

use proptest::prelude::*;

use super::observe::{thresholds, RowNovelty};
use super::*;
use crate::wire::{decode, encode, DatagramError, KeyRing, MAX_DATAGRAM_BYTES};

const SECOND: Micros = 1_000_000;

fn address(front: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, front], 7301))
}

fn fact(name: &str, boot: u64, count: u32) -> Fact {
    Fact { name: Name::from(name), address: address(boot as u8), zone: 0, serves: None, boot, count }
}

fn facts() -> impl Strategy<Value = Vec<Fact>> {
    let one = ("[a-d]", 1u64..4, 1u32..6).prop_map(|(name, boot, count)| fact(&name, boot, count));
    prop::collection::vec(one, 0..24)
}

proptest! {
    #[test]
    fn merging_the_same_facts_in_any_order_gives_equal_views_and_numbers_never_decrease(
        all in facts(),
        order in any::<u64>(),
    ) {
        let (mut one, mut other) = (View::default(), View::default());
        let mut last = 0;
        for fact in &all {
            let before = one.digest();
            prop_assert_eq!(one.merge(fact), one.digest() != before, "merge returns whether the view has changed");
            prop_assert!(one.number() >= last);
            last = one.number();
        }
        let mut shuffled = all.clone();
        shuffled.sort_by_key(|fact| fact.short_id().rotate_left(order as u32 % 32) ^ order as u32);
        shuffled.extend(all.iter().cloned());
        shuffled.iter().for_each(|fact| { other.merge(fact); });
        prop_assert_eq!(&one, &other);
        prop_assert_eq!(one.digest(), other.digest());
        prop_assert_eq!(one.len(), one.members().count());
        prop_assert!(other.differing(&one.buckets()).is_empty());
        prop_assert!(one.members().all(|fact| one.has_short_id(fact.short_id())));
    }

    #[test]
    fn random_datagrams_are_rejected(bytes in prop::collection::vec(any::<u8>(), 0..1_400)) {
        let ring = KeyRing::new(vec![[1; 32]]).unwrap();
        prop_assert!(decode(&bytes, &ring).is_err());
    }

    #[test]
    fn a_datagram_with_a_flipped_bit_is_rejected(at in any::<usize>(), bit in 0..8u8) {
        let ring = KeyRing::new(vec![[1; 32]]).unwrap();
        let body = Body::Facts(vec![fact("a", 1, 1)]);
        let envelope = Envelope { name: Name::from("b"), boot: 1, sequence: 2, view: 3, digest: 4, body };
        let mut bytes = encode(&envelope, &ring).unwrap();
        prop_assert_eq!(decode(&bytes, &ring).unwrap(), envelope);
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        prop_assert!(matches!(decode(&bytes, &ring), Err(DatagramError::Unauthenticated | DatagramError::Version(_))));
    }

    #[test]
    fn a_sequence_number_is_accepted_only_once(numbers in prop::collection::vec(0u64..300, 1..200)) {
        let (mut replay, name) = (Replay::default(), Name::from("a"));
        let mut accepted = std::collections::BTreeSet::new();
        for number in numbers {
            if replay.accept(&name, 7, number) {
                prop_assert!(accepted.insert(number), "{} twice", number);
            }
        }
        prop_assert!(!replay.accept(&name, 7, *accepted.last().unwrap()));
        prop_assert!(replay.accept(&name, 8, 0), "another start has sequence numbers of its own");
    }
}

#[test]
fn the_first_key_signs_and_all_keys_of_the_ring_verify() {
    let ring = |keys: &[u8]| KeyRing::new(keys.iter().map(|key| [*key; 32]).collect()).unwrap();
    let body = Body::Ping(1, Updates::default());
    let envelope = Envelope { name: Name::from("b"), boot: 1, sequence: 2, view: 3, digest: 4, body };
    let bytes = encode(&envelope, &ring(&[2, 1])).unwrap();
    assert!(decode(&bytes, &ring(&[1, 2])).is_ok());
    assert_eq!(decode(&bytes, &ring(&[1])), Err(DatagramError::Unauthenticated));
    assert!(KeyRing::new(Vec::new()).is_none());
}

#[test]
fn the_largest_message_fits_into_a_datagram() {
    let mut gossip = Gossip::default();
    let (mut view, mut observations) = (View::default(), Observations::default());
    for number in 0..200u64 {
        let name = format!("a-front-with-a-long-name-{number:07}");
        let fact = Fact { count: u32::MAX, boot: u64::MAX - number, ..fact(&name, 1, 1) };
        view.merge(&fact);
        gossip.queue_fact(&fact.name, 300);
        let row = Row {
            by: u32::MAX - number as u32,
            version: u32::MAX,
            accused: (0..number as u32 % 100).map(|n| u32::MAX - n).collect(),
        };
        observations.store(0, &row);
        gossip.queue_row(row.by, 300, false);
    }
    let ring = KeyRing::new(vec![[1; 32]]).unwrap();
    let mut messages = 0;
    while gossip.take_standalone_round() {
        let updates = gossip.take_updates(&view, &observations);
        let name = Name::from("a-front-with-a-long-name-9999999");
        let body = Body::Pong(u64::MAX, updates);
        let envelope =
            Envelope { name, boot: u64::MAX, sequence: u64::MAX, view: u64::MAX, digest: u64::MAX, body };
        assert!(encode(&envelope, &ring).unwrap().len() <= MAX_DATAGRAM_BYTES);
        messages += 1;
    }
    assert!(messages > 20);
}

#[test]
fn removal_needs_more_than_half_and_a_longer_time_for_a_thin_majority() {
    assert_eq!([2, 3, 4, 7, 30, 300].map(|n| thresholds(n).1), [2, 2, 3, 4, 16, 151]);
    let times = observe::CutTimes { confirm_time: 100_000, settle_time: 400_000 };
    let counts = |pairs: &[(u32, usize)]| pairs.iter().copied().collect::<BTreeMap<u32, usize>>();
    let mut detector = CutDetector::default();
    assert!(detector.decide(0, &counts(&[(1, 15)]), 30, times).is_empty(), "half is no majority");
    assert!(detector.decide(SECOND, &counts(&[(1, 16)]), 30, times).is_empty());
    assert!(
        detector.decide(SECOND + 1_400_000, &counts(&[(1, 16)]), 30, times).is_empty(),
        "a thin majority"
    );
    assert_eq!(detector.decide(SECOND + 1_500_000, &counts(&[(1, 16)]), 30, times), [1]);
    let mut detector = CutDetector::default();
    assert!(detector.decide(0, &counts(&[(1, 2)]), 3, times).is_empty());
    assert!(
        detector.decide(700_000, &counts(&[(1, 2)]), 3, times).is_empty(),
        "all others, but only a bare majority"
    );
    assert_eq!(detector.decide(800_000, &counts(&[(1, 2)]), 3, times), [1]);
    // An accusation that is withdrawn in between restarts the confirmation time.
    let mut detector = CutDetector::default();
    detector.decide(0, &counts(&[(1, 16)]), 30, times);
    detector.decide(300_000, &counts(&[]), 30, times);
    assert!(detector.decide(1_600_000, &counts(&[(1, 16)]), 30, times).is_empty());
    // Removals wait for members between the thresholds, but only for a limited time.
    let mut detector = CutDetector::default();
    detector.decide(0, &counts(&[(1, 25), (2, 5)]), 30, times);
    assert!(detector.decide(200_000, &counts(&[(1, 25), (2, 12)]), 30, times).is_empty());
    detector.decide(250_000, &counts(&[(1, 25), (2, 25)]), 30, times);
    assert_eq!(detector.decide(350_000, &counts(&[(1, 25), (2, 25)]), 30, times), [1, 2]);
    assert_eq!(detector.decide(400_000, &counts(&[(1, 25), (3, 5)]), 30, times), [1]);
}

#[test]
fn rows_of_a_stopped_observer_expire_and_a_delayed_copy_is_not_new() {
    let mut view = View::default();
    assert!((1..6).all(|n| view.merge(&fact(&format!("f{n}"), n, 1))));
    let short_ids: Vec<u32> = view.members().map(Fact::short_id).collect();
    let row = |version| Row { by: short_ids[0], version, accused: vec![short_ids[1]] };
    let mut observations = Observations::default();
    assert_eq!(observations.store(0, &row(3)), RowNovelty::New);
    assert_eq!(observations.store(0, &row(2)), RowNovelty::Known);
    assert_eq!(observations.accusation_counts(&view)[&short_ids[1]], 1);
    observations.expire(2 * SECOND, SECOND, &view);
    assert!(observations.accusation_counts(&view).is_empty());
    assert_eq!(observations.store(2 * SECOND, &row(3)), RowNovelty::Known);
    // Accusations by fronts that aren't members don't count.
    view.merge(&fact("f1", 1, 2));
    observations.store(3 * SECOND, &row(4));
    assert!(observations.accusation_counts(&view).is_empty());
}

fn config(name: &str, at: u8, seeds: &[u8]) -> LocalConfig {
    LocalConfig {
        name: Name::from(name),
        address: address(at),
        zone: 0,
        serves: None,
        boot: u64::from(at) << 8,
        seeds: seeds.iter().map(|seed| address(*seed)).collect(),
        observers: 8,
        times: Times::default(),
    }
}

/// Ticks a front without messages for `span` microseconds and returns its outputs.
fn tick_for(members: &mut Members, from: Micros, span: Micros) -> Vec<Output> {
    let mut out = Vec::new();
    let mut now = from;
    while now < from + span {
        now = members.next_due().max(now);
        members.handle(now, Input::Tick, &mut out);
    }
    out
}

#[test]
fn only_a_seed_creates_a_view_and_a_front_without_reachable_seeds_keeps_joining() {
    let mut seed = Members::new(config("a", 1, &[1, 2]), 0);
    tick_for(&mut seed, 0, 3 * SECOND);
    assert_eq!((seed.stage(), seed.view().len()), (Stage::In, 1));
    let mut other = Members::new(config("b", 9, &[1, 2]), 0);
    let out = tick_for(&mut other, 0, 30 * SECOND);
    assert_eq!((other.stage(), other.view().len()), (Stage::Joining, 0));
    let asked = |to| out.iter().filter(|o| matches!(o, Output::Send(at, _) if *at == address(to))).count();
    assert!(asked(1) > 50 && asked(2) > 50, "both seeds are asked again and again");
}

#[test]
fn a_tick_that_comes_too_early_does_not_skip_periodic_work() {
    let mut seed = Members::new(config("a", 1, &[1]), 0);
    let mut now = 0;
    for _ in 0..200 {
        // Rounded clocks: the call comes a microsecond too early, then again in time.
        now = seed.next_due().saturating_sub(1).max(now);
        seed.handle(now, Input::Tick, &mut Vec::new());
        now += 1;
        seed.handle(now, Input::Tick, &mut Vec::new());
    }
    assert_eq!(seed.stage(), Stage::In);
}

#[test]
fn a_name_in_use_at_another_address_is_reported_and_not_taken_over() {
    let mut second = Members::new(config("a", 9, &[1]), 0);
    let elsewhere = Fact { name: Name::from("a"), address: address(5), boot: 5, ..fact("a", 5, 1) };
    let seed = Fact { name: Name::from("s"), address: address(1), boot: 1, ..fact("s", 1, 1) };
    let mut out = Vec::new();
    let message = |sequence, body| {
        let name = Name::from("s");
        Input::Received(address(1), Box::new(Envelope { name, boot: 1, sequence, view: 2, digest: 0, body }))
    };
    second.handle(0, message(1, Body::Facts(vec![elsewhere, seed])), &mut out);
    let (mut now, mut sequence) = (0, 1);
    for _ in 0..100 {
        now = second.next_due().max(now);
        let mut sent = Vec::new();
        second.handle(now, Input::Tick, &mut sent);
        // The sampled members answer, so that the front could join.
        for output in &sent {
            if let Output::Send(_, envelope) = output {
                if let Body::Ping(nonce, _) = envelope.body {
                    sequence += 1;
                    second.handle(now, message(sequence, Body::Pong(nonce, Updates::default())), &mut out);
                }
            }
        }
        out.extend(sent);
    }
    assert_eq!(second.stage(), Stage::Joining);
    assert!(out.contains(&Output::NameInUse(address(5))));
    assert_eq!(second.view().get("a").unwrap().address, address(5));
}

#[test]
fn a_front_joins_after_a_restart_of_the_whole_fleet() {
    // The front knows only the previous start of the other, which answers from its new start and hasn't joined either.
    let mut joining = Members::new(config("b", 9, &[1]), 0);
    let before = Fact { name: Name::from("s"), address: address(1), boot: 1, ..fact("s", 1, 1) };
    let mut sequence = 0;
    let mut message = |body| {
        sequence += 1;
        let name = Name::from("s");
        Input::Received(address(1), Box::new(Envelope { name, boot: 2, sequence, view: 2, digest: 0, body }))
    };
    joining.handle(0, message(Body::Facts(vec![before])), &mut Vec::new());
    let mut now = 0;
    for _ in 0..40 {
        now = joining.next_due().max(now);
        let mut sent = Vec::new();
        joining.handle(now, Input::Tick, &mut sent);
        for output in sent {
            if let Output::Send(_, envelope) = output {
                if let Body::Ping(nonce, _) = envelope.body {
                    joining.handle(
                        now + 500,
                        message(Body::Pong(nonce, Updates::default())),
                        &mut Vec::new(),
                    );
                }
            }
        }
    }
    assert_eq!(joining.stage(), Stage::In);
}
