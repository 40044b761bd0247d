//! What single parts promise; the whole is tested in virtual time (crates/trial).

use proptest::prelude::*;

use super::observe::{marks, Heard};
use super::*;
use crate::wire::{decode, encode, BadDatagram, KeyRing, MAX_DATAGRAM_BYTES};

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
    fn views_of_the_same_facts_are_equal_in_whatever_order_and_their_numbers_never_fall(
        all in facts(),
        order in any::<u64>(),
    ) {
        let (mut one, mut other) = (View::default(), View::default());
        let mut last = 0;
        for fact in &all {
            let before = one.digest();
            prop_assert_eq!(one.merge(fact), one.digest() != before, "what changes shows");
            prop_assert!(one.number() >= last);
            last = one.number();
        }
        let mut shuffled = all.clone();
        shuffled.sort_by_key(|fact| fact.mark().rotate_left(order as u32 % 32) ^ order as u32);
        shuffled.extend(all.iter().cloned());
        shuffled.iter().for_each(|fact| { other.merge(fact); });
        prop_assert_eq!(&one, &other);
        prop_assert_eq!(one.digest(), other.digest());
        prop_assert_eq!(one.len(), one.members().count());
        prop_assert!(other.differing(&one.buckets()).is_empty());
        prop_assert!(one.members().all(|fact| one.has_mark(fact.mark())));
    }

    #[test]
    fn random_datagrams_are_told_and_never_read(bytes in prop::collection::vec(any::<u8>(), 0..1_400)) {
        let ring = KeyRing::new(vec![[1; 32]]).unwrap();
        prop_assert!(decode(&bytes, &ring).is_err());
    }

    #[test]
    fn a_datagram_that_was_changed_anywhere_is_foreign(at in any::<usize>(), bit in 0..8u8) {
        let ring = KeyRing::new(vec![[1; 32]]).unwrap();
        let body = Body::Facts(vec![fact("a", 1, 1)]);
        let envelope = Envelope { name: Name::from("b"), boot: 1, sequence: 2, view: 3, digest: 4, body };
        let mut bytes = encode(&envelope, &ring).unwrap();
        prop_assert_eq!(decode(&bytes, &ring).unwrap(), envelope);
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        prop_assert!(matches!(decode(&bytes, &ring), Err(BadDatagram::Foreign | BadDatagram::Version(_))));
    }

    #[test]
    fn a_number_is_fresh_once_and_never_again(numbers in prop::collection::vec(0u64..300, 1..200)) {
        let (mut replay, name) = (Replay::default(), Name::from("a"));
        let mut came = std::collections::BTreeSet::new();
        for number in numbers {
            if replay.fresh(&name, 7, number) {
                prop_assert!(came.insert(number), "{} twice", number);
            }
        }
        prop_assert!(!replay.fresh(&name, 7, *came.last().unwrap()));
        prop_assert!(replay.fresh(&name, 8, 0), "another start counts anew");
    }
}

#[test]
fn keys_are_believed_from_the_whole_ring_and_the_first_signs() {
    let ring = |keys: &[u8]| KeyRing::new(keys.iter().map(|key| [*key; 32]).collect()).unwrap();
    let body = Body::Ping(1, News::default());
    let envelope = Envelope { name: Name::from("b"), boot: 1, sequence: 2, view: 3, digest: 4, body };
    let bytes = encode(&envelope, &ring(&[2, 1])).unwrap();
    assert!(decode(&bytes, &ring(&[1, 2])).is_ok());
    assert_eq!(decode(&bytes, &ring(&[1])), Err(BadDatagram::Foreign));
    assert!(KeyRing::new(Vec::new()).is_none());
}

#[test]
fn the_fullest_message_fits_into_a_datagram() {
    let mut gossip = Gossip::default();
    let (mut view, mut observations) = (View::default(), Observations::default());
    for number in 0..200u64 {
        let name = format!("a-front-with-a-long-name-{number:07}");
        let fact = Fact { count: u32::MAX, boot: u64::MAX - number, ..fact(&name, 1, 1) };
        view.merge(&fact);
        gossip.fact(&fact.name, 300);
        let row = Row {
            by: u32::MAX - number as u32,
            version: u32::MAX,
            accused: (0..number as u32 % 100).map(|n| u32::MAX - n).collect(),
        };
        observations.hear(0, &row);
        gossip.row(row.by, 300, false);
    }
    let ring = KeyRing::new(vec![[1; 32]]).unwrap();
    let mut messages = 0;
    while gossip.hot() {
        let news = gossip.take(&view, &observations);
        let name = Name::from("a-front-with-a-long-name-9999999");
        let body = Body::Pong(u64::MAX, news);
        let envelope =
            Envelope { name, boot: u64::MAX, sequence: u64::MAX, view: u64::MAX, digest: u64::MAX, body };
        assert!(encode(&envelope, &ring).unwrap().len() <= MAX_DATAGRAM_BYTES);
        messages += 1;
    }
    assert!(messages > 20);
}

#[test]
fn a_majority_is_more_than_half_and_a_thin_one_must_last() {
    assert_eq!([2, 3, 4, 7, 30, 300].map(|n| marks(n).1), [2, 2, 3, 4, 16, 151]);
    let patience = observe::Patience { confirm: 100_000, settle: 400_000 };
    let tally = |counts: &[(u32, usize)]| counts.iter().copied().collect::<BTreeMap<u32, usize>>();
    let mut cut = Cut::default();
    assert!(cut.decide(0, &tally(&[(1, 15)]), 30, patience).is_empty(), "half is none");
    assert!(cut.decide(SECOND, &tally(&[(1, 16)]), 30, patience).is_empty());
    assert!(cut.decide(SECOND + 1_400_000, &tally(&[(1, 16)]), 30, patience).is_empty(), "hardly one");
    assert_eq!(cut.decide(SECOND + 1_500_000, &tally(&[(1, 16)]), 30, patience), [1]);
    let mut cut = Cut::default();
    assert!(cut.decide(0, &tally(&[(1, 2)]), 3, patience).is_empty());
    assert!(cut.decide(700_000, &tally(&[(1, 2)]), 3, patience).is_empty(), "all others, and still few");
    assert_eq!(cut.decide(800_000, &tally(&[(1, 2)]), 3, patience), [1]);
    // Taken back in between, it begins anew.
    let mut cut = Cut::default();
    cut.decide(0, &tally(&[(1, 16)]), 30, patience);
    cut.decide(300_000, &tally(&[]), 30, patience);
    assert!(cut.decide(1_600_000, &tally(&[(1, 16)]), 30, patience).is_empty());
    // One cause, one step: whoever stands between the marks is awaited, but not for ever.
    let mut cut = Cut::default();
    cut.decide(0, &tally(&[(1, 25), (2, 5)]), 30, patience);
    assert!(cut.decide(200_000, &tally(&[(1, 25), (2, 12)]), 30, patience).is_empty());
    cut.decide(250_000, &tally(&[(1, 25), (2, 25)]), 30, patience);
    assert_eq!(cut.decide(350_000, &tally(&[(1, 25), (2, 25)]), 30, patience), [1, 2]);
    assert_eq!(cut.decide(400_000, &tally(&[(1, 25), (3, 5)]), 30, patience), [1]);
}

#[test]
fn an_observer_that_has_stopped_accuses_nobody_and_its_late_row_is_no_news() {
    let mut view = View::default();
    assert!((1..6).all(|n| view.merge(&fact(&format!("f{n}"), n, 1))));
    let marks: Vec<u32> = view.members().map(Fact::mark).collect();
    let row = |version| Row { by: marks[0], version, accused: vec![marks[1]] };
    let mut observations = Observations::default();
    assert_eq!(observations.hear(0, &row(3)), Heard::New);
    assert_eq!(observations.hear(0, &row(2)), Heard::Known);
    assert_eq!(observations.tally(&view)[&marks[1]], 1);
    observations.age(2 * SECOND, SECOND, &view);
    assert!(observations.tally(&view).is_empty());
    assert_eq!(observations.hear(2 * SECOND, &row(3)), Heard::Known);
    // Nobody is counted who is no member, and nobody counts for itself.
    view.merge(&fact("f1", 1, 2));
    observations.hear(3 * SECOND, &row(4));
    assert!(observations.tally(&view).is_empty());
}

fn own(name: &str, at: u8, seeds: &[u8]) -> LocalConfig {
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

/// A front alone, ticked for so long.
fn ticked(members: &mut Members, from: Micros, span: Micros) -> Vec<Output> {
    let mut out = Vec::new();
    let mut now = from;
    while now < from + span {
        now = members.next_due().max(now);
        members.handle(now, Input::Tick, &mut out);
    }
    out
}

#[test]
fn only_a_seed_begins_a_view_and_wrong_seeds_leave_a_front_alone() {
    let mut seed = Members::new(own("a", 1, &[1, 2]), 0);
    ticked(&mut seed, 0, 3 * SECOND);
    assert_eq!((seed.stage(), seed.view().len()), (Stage::In, 1));
    let mut other = Members::new(own("b", 9, &[1, 2]), 0);
    let out = ticked(&mut other, 0, 30 * SECOND);
    assert_eq!((other.stage(), other.view().len()), (Stage::Joining, 0));
    let asked = |to| out.iter().filter(|o| matches!(o, Output::Send(at, _) if *at == address(to))).count();
    assert!(asked(1) > 50 && asked(2) > 50, "both seeds are asked on and on");
}

#[test]
fn a_caller_that_comes_a_moment_early_is_ticked_all_the_same() {
    let mut seed = Members::new(own("a", 1, &[1]), 0);
    let mut now = 0;
    for _ in 0..200 {
        // Clocks are rounded: called a microsecond too early, then again.
        now = seed.next_due().saturating_sub(1).max(now);
        seed.handle(now, Input::Tick, &mut Vec::new());
        now += 1;
        seed.handle(now, Input::Tick, &mut Vec::new());
    }
    assert_eq!(seed.stage(), Stage::In);
}

#[test]
fn a_name_that_lives_elsewhere_is_told_and_not_taken() {
    let mut second = Members::new(own("a", 9, &[1]), 0);
    let elsewhere = Fact { name: Name::from("a"), address: address(5), boot: 5, ..fact("a", 5, 1) };
    let seed = Fact { name: Name::from("s"), address: address(1), boot: 1, ..fact("s", 1, 1) };
    let mut out = Vec::new();
    let say = |sequence, body| {
        let name = Name::from("s");
        Input::Received(address(1), Box::new(Envelope { name, boot: 1, sequence, view: 2, digest: 0, body }))
    };
    second.handle(0, say(1, Body::Facts(vec![elsewhere, seed])), &mut out);
    let (mut now, mut sequence) = (0, 1);
    for _ in 0..100 {
        now = second.next_due().max(now);
        let mut sent = Vec::new();
        second.handle(now, Input::Tick, &mut sent);
        // Its sample answers: it is reached well enough to join.
        for output in &sent {
            if let Output::Send(_, envelope) = output {
                if let Body::Ping(nonce, _) = envelope.body {
                    sequence += 1;
                    second.handle(now, say(sequence, Body::Pong(nonce, News::default())), &mut out);
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
fn a_fleet_that_started_anew_as_a_whole_comes_together() {
    // It knows the others by their starts before; they answer by their starts of now, and have not joined either.
    let mut joins = Members::new(own("b", 9, &[1]), 0);
    let before = Fact { name: Name::from("s"), address: address(1), boot: 1, ..fact("s", 1, 1) };
    let mut sequence = 0;
    let mut say = |body| {
        sequence += 1;
        let name = Name::from("s");
        Input::Received(address(1), Box::new(Envelope { name, boot: 2, sequence, view: 2, digest: 0, body }))
    };
    joins.handle(0, say(Body::Facts(vec![before])), &mut Vec::new());
    let mut now = 0;
    for _ in 0..40 {
        now = joins.next_due().max(now);
        let mut sent = Vec::new();
        joins.handle(now, Input::Tick, &mut sent);
        for output in sent {
            if let Output::Send(_, envelope) = output {
                if let Body::Ping(nonce, _) = envelope.body {
                    joins.handle(now + 500, say(Body::Pong(nonce, News::default())), &mut Vec::new());
                }
            }
        }
    }
    assert_eq!(joins.stage(), Stage::In);
}
