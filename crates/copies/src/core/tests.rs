//! Unit tests of replication and takeover. Whole fleets are tested in `crates/trial/tests/promises.rs`.

use proptest::prelude::*;

use super::replica::merge;
use super::*;

fn name(at: usize) -> Name {
    Name::from(format!("f{at}"))
}

fn key(at: u64) -> RecordKey {
    RecordKey::from(format!("f0-00000001-{at:010}"))
}

fn bytes(text: &str) -> RecordBody {
    RecordBody::from(text.as_bytes())
}

fn own(at: usize) -> FrontIdentity {
    FrontIdentity {
        name: name(at),
        incarnation: Incarnation::from(format!("f{at}-00000001")),
        zone: at as u32 % 3,
        client_address: None,
        disk_id: 70 + at as u64,
        copies: 2,
        required_copies: 1,
        too_few: TooFewPolicy::GoOn,
        store_timeout: 400_000,
        max_records: 1_000,
    }
}

/// Fronts that exchange messages without delay, except the deaf ones.
struct Fleet {
    fronts: Vec<Copies>,
    now: Micros,
    deaf: BTreeSet<usize>,
    told: Vec<(usize, Output)>,
}

impl Fleet {
    fn new(fronts: Vec<FrontIdentity>) -> Fleet {
        let fronts: Vec<Copies> =
            fronts.into_iter().map(|own| Copies::new(own, Image::default(), 0)).collect();
        let mut fleet = Fleet { fronts, now: 0, deaf: BTreeSet::new(), told: Vec::new() };
        fleet.views(|_| true);
        fleet.run(1_000_000);
        fleet
    }

    fn views(&mut self, here: impl Fn(usize) -> bool) {
        let peer = |at: usize| Peer { name: name(at), zone: at as u32 % 3, boot: 5 };
        for at in 0..self.fronts.len() {
            let peers =
                (0..self.fronts.len()).filter(|other| *other != at && here(*other)).map(peer).collect();
            self.hand(at, Input::View(peers, Some(5)));
        }
    }

    fn hand(&mut self, at: usize, input: Input) {
        let mut out = Vec::new();
        self.fronts[at].handle(self.now, input, &mut out);
        for output in out {
            if let Output::Send(to, body) = output {
                let to: usize = to[1..].parse().unwrap();
                if !self.deaf.contains(&to) && !self.deaf.contains(&at) {
                    self.hand(to, Input::Received(name(at), Box::new(body)));
                }
            } else {
                self.told.push((at, output));
            }
        }
    }

    fn run(&mut self, span: Micros) {
        let until = self.now + span;
        while self.now < until {
            self.now += 20_000;
            (0..self.fronts.len())
                .filter(|at| !self.deaf.contains(at))
                .collect::<Vec<_>>()
                .into_iter()
                .for_each(|at| self.hand(at, Input::Tick));
        }
    }

    fn keep(&mut self, at: u64) {
        self.hand(0, Input::PutRecord(key(at), bytes("plays"), true));
        self.hand(0, Input::Tick);
    }

    fn kept(&self, at: u64) -> Option<bool> {
        let of = |(_, output): &(usize, Output)| match output {
            Output::RecordStored(of, kept) if *of == key(at) => Some(*kept),
            _ => None,
        };
        self.told.iter().find_map(of)
    }

    /// Tells all fronts of a successor whose version has begun.
    fn successor(&mut self, incarnation: &str, by: usize) {
        let successor = Successor {
            epoch: 1,
            name: name(by),
            incarnation: Incarnation::from(format!("f{by}-00000001")),
            client_address: None,
            version: 1,
            settled: false,
        };
        let successors = Arc::new(Successors {
            by_incarnation: [(Incarnation::from(incarnation), successor)].into(),
            ended: BTreeMap::new(),
        });
        (0..self.fronts.len()).filter(|at| !self.deaf.contains(at)).collect::<Vec<_>>().into_iter().for_each(
            |at| {
                self.hand(at, Input::Successors(Arc::clone(&successors), 1));
            },
        );
    }

    fn adopted(&self, by: usize) -> BTreeSet<RecordKey> {
        let of = |(at, output): &(usize, Output)| match output {
            Output::TakeOver(_, 1, promises) if *at == by => {
                Some(promises.iter().map(|(key, _)| RecordKey::clone(key)).collect::<Vec<_>>())
            }
            _ => None,
        };
        self.told.iter().filter_map(of).flatten().collect()
    }
}

#[test]
fn a_promise_counts_only_when_so_many_have_it_as_the_settings_say() {
    for enough in [0, 1, 2] {
        let mut fleet =
            Fleet::new((0..4).map(|at| FrontIdentity { required_copies: enough, ..own(at) }).collect());
        let holders = fleet.fronts[0].owner().group();
        assert_eq!(holders.len(), 2);
        for (deaf, holder) in holders.iter().enumerate() {
            fleet.keep(deaf as u64);
            assert_eq!(fleet.kept(deaf as u64), Some(true), "{enough} of {}", 2 - deaf);
            fleet.deaf.insert(holder[1..].parse().unwrap());
            fleet.keep(10 + deaf as u64);
            let left = 1 - deaf;
            assert_eq!(fleet.kept(10 + deaf as u64), (left >= enough).then_some(true), "{enough} of {left}");
            if left < enough {
                // It is given up after the timeout, and then no front has it.
                fleet.run(500_000);
                assert_eq!(fleet.kept(10 + deaf as u64), Some(false));
                assert_eq!(fleet.fronts[0].owner().get(&key(10 + deaf as u64)), None);
                break;
            }
        }
    }
}

#[test]
fn with_too_few_fronts_it_goes_on_or_refuses_as_the_settings_say() {
    for (too_few, kept) in [(TooFewPolicy::GoOn, true), (TooFewPolicy::Refuse, false)] {
        let mut fleet =
            Fleet::new((0..2).map(|at| FrontIdentity { required_copies: 2, too_few, ..own(at) }).collect());
        fleet.keep(1);
        fleet.run(500_000);
        assert_eq!(fleet.kept(1), Some(kept), "{too_few:?}");
    }
}

#[test]
fn copies_go_to_other_zones_and_a_loss_moves_no_copy_that_is_still_there() {
    let all: Vec<placement::Candidate> = (0..30)
        .map(|at| placement::Candidate { name: name(at), zone: at as u32 % 3, records_held: 0 })
        .collect();
    let mut moved = 0;
    for owner in 0..30 {
        let group = |all: &[placement::Candidate]| {
            let mut group = BTreeSet::new();
            while group.len() < 2 {
                group.insert(placement::next(&name(owner), owner as u32 % 3, &group, all).unwrap());
            }
            group
        };
        let before = group(&all);
        let zones: BTreeSet<usize> =
            before.iter().map(|name| name[1..].parse::<usize>().unwrap() % 3).collect();
        assert!(zones.len() == 2 && !zones.contains(&(owner % 3)), "{before:?}");
        let fewer: Vec<placement::Candidate> = all.iter().filter(|one| &*one.name != "f7").cloned().collect();
        if owner != 7 {
            moved += before.difference(&group(&fewer)).count();
        }
    }
    assert!(moved <= 8, "{moved} of 58 copies moved when one front of thirty went");
    let loaded: Vec<placement::Candidate> = all
        .iter()
        .map(|one| placement::Candidate {
            records_held: if one.zone == 1 && &*one.name != "f1" { 900 } else { 0 },
            ..one.clone()
        })
        .collect();
    let to_f1 = |all: &[placement::Candidate]| {
        (0..30)
            .filter(|owner| {
                let holders = [name(2)].into();
                placement::next(&Name::from(format!("x{owner}")), 0, &holders, all) == Some(name(1))
            })
            .count()
    };
    assert!(to_f1(&loaded) > to_f1(&all), "whoever holds much already is chosen less often");
}

#[test]
fn a_copy_that_acknowledged_and_has_lost_its_disk_since_counts_no_more_and_is_filled_anew() {
    let mut fleet = Fleet::new((0..3).map(own).collect());
    (0..20).for_each(|at| fleet.keep(at));
    let lost = 1;
    fleet.fronts[lost] = Copies::new(FrontIdentity { disk_id: 99, ..own(lost) }, Image::default(), fleet.now);
    fleet.views(|_| true);
    fleet.hand(lost, Input::Tick);
    fleet.run(2_000_000);
    let replica =
        |at: usize| fleet.fronts[at].replicas.get("f0-00000001").map(|held| held.replica.live_records());
    assert_eq!((replica(1), replica(2)), (Some(20), Some(20)));
    let holder = &fleet.fronts[0].owner().holders[&name(lost)];
    assert_eq!((holder.disk, holder.acked), (99, 20));
}

#[test]
fn a_copy_that_has_rotted_is_found_by_its_digest_and_repaired() {
    let mut fleet = Fleet::new((0..3).map(own).collect());
    (0..30).for_each(|at| fleet.keep(at));
    let incarnation = Incarnation::from("f0-00000001");
    let held = fleet.fronts[1].replicas.get_mut(&incarnation).unwrap();
    held.replica.entries.remove(&key(3));
    held.replica.entries.insert(key(4), (5, Some(bytes("something else"))));
    held.replica.entries.insert(key(99), (6, Some(bytes("nobody promised this"))));
    fleet.run(1_500_000);
    let (one, two) =
        (&fleet.fronts[1].replicas[&incarnation].replica, &fleet.fronts[2].replicas[&incarnation].replica);
    assert_eq!(one.entries, two.entries);
}

#[test]
fn ended_promises_leave_nothing_behind_at_owner_and_copies() {
    let mut fleet = Fleet::new((0..3).map(own).collect());
    (0..50).for_each(|at| fleet.keep(at));
    (0..50).for_each(|at| fleet.hand(0, Input::DeleteRecord(key(at))));
    fleet.run(1_500_000);
    assert_eq!((fleet.fronts[0].owner().live_records(), fleet.fronts[0].owner().keys().count()), (0, 0));
    assert!((1..3).all(|at| fleet.fronts[at].records_held() == 0));
    let kept = format!("{:?}", fleet.fronts[0].owner());
    assert!(kept.len() < 1_000, "{kept}");
}

#[test]
fn an_owner_that_was_replaced_is_told_that_nothing_of_it_counts() {
    let mut fleet = Fleet::new((0..3).map(|at| FrontIdentity { required_copies: 2, ..own(at) }).collect());
    fleet.keep(1);
    // The owner does not learn of its successor, but still reaches its holders.
    let holder: usize = fleet.fronts[0].owner().group()[0][1..].parse().unwrap();
    fleet.hand(holder, Input::Received(name(2), Box::new(Body::Gather(Incarnation::from("f0-00000001"), 1))));
    fleet.keep(2);
    assert_eq!(fleet.kept(2), None, "a copy that an heir has asked takes nothing of it any more");
    fleet.run(500_000);
    let word = fleet.told.iter().any(|(at, output)| {
        *at == 0 && matches!(output, Output::HoldersChanged(names) if !names.contains(&name(holder)))
    });
    assert!(word, "it looks for another holder");
}

#[test]
fn an_heir_has_all_that_counted_though_one_copy_was_behind_and_one_comes_late() {
    let mut fleet = Fleet::new((0..5).map(|at| FrontIdentity { required_copies: 1, ..own(at) }).collect());
    let group: Vec<usize> =
        fleet.fronts[0].owner().group().iter().map(|name| name[1..].parse().unwrap()).collect();
    (0..10).for_each(|at| fleet.keep(at));
    // One holder misses later records, and a deletion.
    fleet.deaf.insert(group[0]);
    (10..20).for_each(|at| fleet.keep(at));
    fleet.hand(0, Input::DeleteRecord(key(3)));
    fleet.hand(0, Input::Tick);
    assert!((0..20).all(|at| fleet.kept(at) == Some(true)));
    // The owner is lost, and the holder that has everything is unreachable while the successor collects.
    fleet.deaf = [0, group[1]].into();
    fleet.views(|at| at != 0);
    let successor = (1..5).find(|at| !group.contains(at)).unwrap();
    fleet.successor("f0-00000001", successor);
    fleet.run(2_000_000);
    assert_eq!(fleet.adopted(successor).len(), 10, "what the one that answers has");
    fleet.deaf = [0].into();
    fleet.successor("f0-00000001", successor);
    fleet.hand(successor, Input::Tick);
    let late = Body::Gather(Incarnation::from("f0-00000001"), 1);
    fleet.hand(group[1], Input::Received(name(successor), Box::new(late)));
    let all = fleet.adopted(successor);
    assert!((10..20).all(|at| all.contains(&key(at))), "{all:?}");
}

#[test]
fn a_front_full_of_copies_says_so_and_another_is_chosen() {
    let mut fleet = Fleet::new(
        (0..4).map(|at| FrontIdentity { max_records: if at == 0 { 1_000 } else { 5 }, ..own(at) }).collect(),
    );
    (0..40).for_each(|at| fleet.keep(at));
    fleet.run(3_000_000);
    for at in 1..4 {
        assert!(fleet.fronts[at].records_held() <= 10, "{}", fleet.fronts[at].records_held());
    }
    // A full holder is avoided for a while; the front continues with as many copies as there are.
    fleet.hand(0, Input::PutRecord(key(99), bytes("plays"), true));
    fleet.run(500_000);
    assert!(fleet.kept(99).is_some(), "nobody waits for ever");
}

proptest! {
    /// For any records and deletions, and any lost messages: a record that was stored and not deleted is
    /// found in every replica that acknowledged it, and one deleted by then is not.
    #[test]
    fn what_counted_is_found_again_from_any_copy_that_acknowledged_it(
        steps in proptest::collection::vec((0..6u8, 0..12u64), 1..120)
    ) {
        let mut owner = Owner::default();
        let mut replicas = [Replica::new(&name(0), 1), Replica::new(&name(0), 1)];
        for at in 1..3 {
            owner.begin(0, name(at));
        }
        let mut ended_at: BTreeMap<RecordKey, u64> = BTreeMap::new();
        for (now, (what, at)) in (0u64..).zip(steps) {
            let which = (at % 2) as usize;
            match what {
                0 | 1 => {
                    owner.change(key(at), Some(bytes(&now.to_string())));
                    ended_at.remove(&key(at));
                }
                2 => {
                    if let Some(change) = owner.change(key(at), None) {
                        ended_at.insert(change.key, change.number);
                    }
                }
                // A batch arrives or is lost, and so does its acknowledgement.
                3 | 4 => {
                    if let Some(batch) = owner.batch(now, &name(which + 1)) {
                        if what == 3 {
                            replicas[which].put(batch.from, batch.to, batch.whole, &batch.changes);
                        }
                        owner.acked(now, &name(which + 1), replicas[which].head.applied, 7);
                    }
                }
                _ => owner.again(now + RESEND_TIMEOUT * now),
            }
            for which in 0..2 {
                let acked = owner.holders[&name(which + 1)].acked;
                let found = merge(&replicas[which..=which]);
                for (key, (number, body)) in &owner.entries_for_tests() {
                    if *number <= acked {
                        let there = found.get(key).map(|(_, body)| body.clone());
                        prop_assert_eq!(&there, body, "{} at {} of {}", key, number, acked);
                    }
                }
                for (key, number) in &ended_at {
                    if *number <= acked {
                        prop_assert!(!found.contains_key(key));
                    }
                }
            }
            // Merged replicas know no less than each, and have no record that the one with more changes knows
            // as deleted.
            let both = merge(&replicas);
            let further = replicas.iter().filter(|s| s.head.complete).map(|s| s.head.applied).max().unwrap_or(0);
            for (key, number) in &ended_at {
                prop_assert!(*number > further || !both.contains_key(key));
            }
        }
    }
}

#[test]
fn a_copy_that_is_being_filled_ends_nothing_by_what_it_lacks_yet() {
    let mut owner = Owner::default();
    let large = RecordBody::from(vec![7; BATCH_BYTES / 3]);
    (1..=4).for_each(|at| drop(owner.change(key(at), Some(RecordBody::clone(&large)))));
    let mut before = Replica::new(&name(0), 1);
    owner.begin(0, name(1));
    while let Some(batch) = owner.batch(0, &name(1)) {
        assert!(before.put(batch.from, batch.to, batch.whole, &batch.changes));
        owner.acked(0, &name(1), before.head.applied, 7);
    }
    assert!(before.head.complete && before.live_records() == 4);
    // The first record changes, so that a holder that is being filled gets it last; then both fronts are
    // lost.
    (5..=9).for_each(|at| drop(owner.change(key(at), Some(RecordBody::clone(&large)))));
    owner.change(key(1), Some(RecordBody::clone(&large)));
    owner.begin(0, name(2));
    let mut filling = Replica::new(&name(0), 1);
    while filling.head.applied < before.head.applied {
        let partition = owner.batch(0, &name(2)).expect("a part");
        assert!(filling.put(partition.from, partition.to, partition.whole, &partition.changes));
        owner.acked(0, &name(2), filling.head.applied, 8);
    }
    assert!(
        filling.head.applied >= before.head.applied && !filling.entries.contains_key(&key(1)),
        "{:?}",
        filling.head
    );
    assert!(merge(&[before, filling]).contains_key(&key(1)));
}

#[test]
fn an_heir_waits_for_all_that_may_have_more_before_it_hands_over() {
    let mut fleet = Fleet::new((0..4).map(own).collect());
    let incarnation = Incarnation::from("f0-00000001");
    fleet.deaf = (0..4).collect();
    let successor = Successor {
        epoch: 1,
        name: name(3),
        incarnation: Incarnation::from("f3-00000001"),
        client_address: None,
        version: 1,
        settled: false,
    };
    let successors = Successors {
        by_incarnation: [(Incarnation::clone(&incarnation), successor)].into(),
        ended: BTreeMap::new(),
    };
    fleet.hand(3, Input::Successors(Arc::new(successors), 1));
    let answer = |at: u64| {
        let mut replica = Replica::new(&name(0), 5);
        let changes: Vec<Change> =
            (1..=at).map(|n| Change { key: key(n), number: n, body: Some(bytes("plays")) }).collect();
        assert!(replica.put(0, at, true, &changes));
        Box::new(Body::Gathered(Incarnation::clone(&incarnation), replica.head, changes, true))
    };
    fleet.hand(3, Input::Received(name(1), answer(2)));
    fleet.hand(3, Input::Received(name(0), answer(0)));
    fleet.now += 60_000;
    fleet.hand(3, Input::Tick);
    assert!(fleet.adopted(3).is_empty(), "one has not answered yet");
    fleet.hand(3, Input::Received(name(2), answer(5)));
    fleet.now += 60_000;
    fleet.hand(3, Input::Tick);
    assert_eq!(fleet.adopted(3).len(), 5);
}

// Danger: time during which the front was suspended counts as silence of its holders; it avoids them all and
// can store nothing meanwhile.
#[test]
fn a_front_that_was_stopped_keeps_its_holders_and_promises_at_once() {
    let mut fleet =
        Fleet::new((0..3).map(|at| FrontIdentity { too_few: TooFewPolicy::Refuse, ..own(at) }).collect());
    let holders = fleet.fronts[0].owner().group();
    fleet.keep(1);
    fleet.deaf.insert(0);
    fleet.run(4_000_000);
    fleet.deaf.clear();
    fleet.run(200_000);
    assert_eq!(fleet.fronts[0].owner().group(), holders);
    fleet.keep(2);
    fleet.run(200_000);
    assert_eq!(fleet.kept(2), Some(true));
}

// Danger: a holder that is silent while this front runs is never replaced.
#[test]
fn a_holder_that_falls_silent_while_its_owner_runs_is_replaced() {
    let mut fleet = Fleet::new((0..4).map(own).collect());
    let silent = fleet.fronts[0].owner().group()[0].clone();
    fleet.deaf.insert(silent[1..].parse().unwrap());
    fleet.run(4_000_000);
    let group = fleet.fronts[0].owner().group();
    assert!(group.len() == 2 && !group.contains(&silent), "{group:?}");
}

// Danger: a new incarnation avoids all holders that refused the previous, superseded one, and can store
// nothing meanwhile.
#[test]
fn a_front_that_lives_anew_asks_those_who_refused_the_life_before() {
    let mut fleet =
        Fleet::new((0..3).map(|at| FrontIdentity { too_few: TooFewPolicy::Refuse, ..own(at) }).collect());
    fleet.keep(1);
    fleet.deaf.insert(0);
    fleet.run(1_000_000);
    fleet.successor("f0-00000001", 1);
    fleet.run(1_000_000);
    // It continues before it learns of its successor, and is refused.
    fleet.deaf.clear();
    fleet.keep(2);
    fleet.run(1_000_000);
    assert_eq!(fleet.fronts[0].owner().group(), Vec::<Name>::new());
    fleet.successor("f0-00000001", 1);
    fleet.hand(0, Input::IncarnationChanged(Incarnation::from("f0-00000002")));
    fleet.run(1_000_000);
    let of_new = RecordKey::from("f0-00000002-0000000001");
    fleet.hand(0, Input::PutRecord(RecordKey::clone(&of_new), bytes("plays"), true));
    fleet.run(200_000);
    let counts = |(at, output): &(usize, Output)| {
        *at == 0 && *output == Output::RecordStored(RecordKey::clone(&of_new), true)
    };
    assert!(fleet.told.iter().any(counts), "{:?}", fleet.fronts[0].owner().group());
}
