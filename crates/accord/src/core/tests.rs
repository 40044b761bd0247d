//! Unit tests of rules, leases, persistent state and the history. Whole fleets are tested in
//! `crates/trial/tests/versions.rs`.

use std::collections::BTreeSet;
use std::sync::Arc;

use proptest::prelude::*;

use super::coordination::{Basis, CoordinationState};
use super::disk::{Image, VoterState, Write};
use super::history::{
    Entry, History, Proposal, ProposalOutcome, RecentSteps, Seat, Voters, MAX_PENDING_VERSIONS, VERSIONS_KEPT,
};
use super::lease::{GrantedLeases, HeldLease, LeaseTimes};
use super::rules::{ClassTerms, Limit, Order, RefusedParty, Rules, SessionRequest};
use super::successors::{SuccessionChange, Successor};
use super::voter::Order as InOrder;
use super::{Accord, Body, Envelope, FrontIdentity, Input, Name, Output};

fn terms() -> impl Strategy<Value = ClassTerms> {
    (any::<bool>(), 0..3u32, 0..4u32, any::<bool>()).prop_map(|(open, top_rung, seats, ends)| ClassTerms {
        open,
        top_rung,
        seats,
        ends: ends && !open,
    })
}

fn rules() -> impl Strategy<Value = Rules> {
    let name = || prop::sample::select(vec!["a", "b", "c"]).prop_map(str::to_owned);
    let who = prop_oneof![name().prop_map(RefusedParty::Viewer), name().prop_map(RefusedParty::Tenant)];
    let limit = prop::sample::select(vec![Limit::SessionsPerFront, Limit::SessionsPerViewer]);
    let order = prop::sample::select(vec![Order::Hold, Order::Drain]);
    let cells = || prop::collection::btree_set(0..4u32, 0..4);
    (
        prop::collection::btree_map(name(), terms(), 0..3),
        prop::option::of(0..3u32),
        prop::collection::btree_map(limit, 0..4u32, 0..3),
        prop::collection::btree_map(name(), cells(), 0..3),
        cells(),
        prop::collection::btree_set(who, 0..3),
        prop::collection::btree_map(name(), order, 0..3),
    )
        .prop_map(|(classes, ladder, limits, titles, closed, refused, boxes)| {
            Rules { classes, ladder, limits, titles, closed, refused, boxes }.normalized()
        })
}

/// Requests that cover all names used in the rules above.
fn asked() -> impl Iterator<Item = SessionRequest<'static>> {
    let viewers = ["a", "b", "a/x", "b/y", "d"];
    let held = [[0, 0, 0], [2, 1, 1], [3, 3, 3]];
    viewers.into_iter().flat_map(move |viewer| {
        ["a", "b", "d"].into_iter().flat_map(move |class| {
            ["a", "c", "d"].into_iter().flat_map(move |title| {
                held.into_iter().map(move |held| SessionRequest { viewer, class, title, held })
            })
        })
    })
}

proptest! {
    #[test]
    fn the_meet_allows_what_both_allow_and_nothing_else(a in rules(), b in rules()) {
        let meet = a.meet(&b);
        for asked in asked() {
            let both = a.allows(&asked).is_ok() && b.allows(&asked).is_ok();
            // A title may only be in cells that the other rules close; only the meet refuses it then.
            prop_assert!(both || meet.allows(&asked).is_err(), "{asked:?}");
            let title = asked.title;
            let seen = (0..5).any(|cell| meet.allows_cell(title, cell)) || !meet.titles.contains_key(title);
            prop_assert!(!both || !seen || meet.allows(&asked).is_ok(), "{asked:?}");
        }
        for class in ["a", "b", "d"] {
            prop_assert_eq!(meet.top_rung(class), a.top_rung(class).min(b.top_rung(class)));
        }
        for (title, cell) in ["a", "c", "d"].into_iter().flat_map(|title| (0..5).map(move |cell| (title, cell))) {
            prop_assert_eq!(meet.allows_cell(title, cell), a.allows_cell(title, cell) && b.allows_cell(title, cell));
        }
    }

    #[test]
    fn the_meet_is_one_whatever_the_order(a in rules(), b in rules(), c in rules()) {
        prop_assert_eq!(a.meet(&b), b.meet(&a));
        prop_assert_eq!(a.meet(&b).meet(&c), a.meet(&b.meet(&c)));
        prop_assert_eq!(a.meet(&a), a.clone());
        prop_assert_eq!(a.meet(&Rules::default()), a.clone());
        prop_assert!(a.meet(&b).tightens(&a) && a.meet(&b).tightens(&b));
    }

    #[test]
    fn versions_contradict_in_what_they_change_and_in_nothing_else(a in rules(), b in rules()) {
        let found = Rules::contradictions(&a, &b);
        prop_assert_eq!(found.is_empty(), a == b);
        prop_assert_eq!(found.iter().all(|one| !one.loosened), b.tightens(&a));
        prop_assert_eq!(found.iter().all(|one| !one.tightened), a.tightens(&b));
        prop_assert!(found.iter().all(|one| one.loosened || one.tightened));
    }

    #[test]
    fn rules_written_by_this_program_are_read_back_as_they_were(a in rules()) {
        let document = salttally_settings::Document::parse("rules.kdl", &crate::rules_kdl::write(&a)).unwrap();
        prop_assert_eq!(crate::rules_kdl::read(&document).unwrap(), a);
    }

    /// For any order of requests and grants, with clock rates off by at most the stated bound: once a voter
    /// reports a version as clear, no front holds a grant of it for a lower one.
    #[test]
    fn a_voter_that_is_clear_is_held_to_nothing(
        steps in prop::collection::vec((0..3usize, 0..1_500_000u64), 1..60),
        drift in prop::collection::vec(-200i64..=200, 4),
    ) {
        let times = LeaseTimes::default();
        let by = |clock: usize, at: u64| at.saturating_add_signed(at as i64 * drift[clock] / 1_000_000) + 7_000_000;
        let names: Vec<Name> = (0..3).map(|front| Name::from(format!("f{front}"))).collect();
        let seat = Seat { name: "v".into(), disk: 1 };
        let voters = Voters { epoch: 1, seats: [(1, seat)].into() };
        let mut held: Vec<HeldLease> = (0..3).map(|_| HeldLease::default()).collect();
        held.iter_mut().for_each(|held| held.follow(&voters));
        let (mut granting, mut latest, mut has, mut clear) = (GrantedLeases::new(by(3, 0), &times), 0, [0; 3], 0);
        let mut at = 0;
        for (nonce, (front, wait)) in (1..).zip(steps) {
            at += wait;
            latest += u64::from(wait % 5 == 0);
            has[front] = if wait % 3 == 0 { latest } else { has[front] };
            held[front].asks(by(front, at), 1, nonce, &times);
            // Time for the grant to arrive.
            let granted = at + wait % 7_000;
            if has[front] >= latest {
                granting.grant(by(3, granted), &names[front], has[front], &times);
                held[front].granted(1, nonce, &times);
            }
            at = granted;
            clear = granting.clear(by(3, at), latest).max(clear);
            for other in 0..3 {
                let holds = by(other, at) < held[other].until(1);
                prop_assert!(!holds || has[other] >= clear, "front {other} acts on {} and {clear} may begin", has[other]);
            }
        }
    }

    #[test]
    fn what_two_fronts_took_in_the_same_steps_is_the_same(kinds in prop::collection::vec(0..4u8, 0..300)) {
        let (mut one, mut steps) = (History::default(), RecentSteps::new(&History::default()));
        let mut two = History::default();
        for (id, kind) in (0..).zip(kinds) {
            let entry = match kind {
                0 => Entry::Begin(one.latest),
                1 => Entry::Begin(one.latest + 5),
                2 => propose(id, one.latest.saturating_sub(1)),
                _ => propose(id, one.latest),
            };
            one.apply(&entry);
            steps.push(entry, &one);
            if id % 50 == 0 {
                match steps.after(two.position, &two.digest) {
                    Some(steps) => steps.iter().for_each(|step| two.apply(step)),
                    None => two = one.clone(),
                }
                prop_assert_eq!(&one, &two);
            }
            prop_assert!(one.latest - one.begun <= MAX_PENDING_VERSIONS && one.versions.len() <= VERSIONS_KEPT + MAX_PENDING_VERSIONS as usize);
            prop_assert!(!one.diverged_from(&two));
        }
    }
}

fn propose(id: u64, base: u64) -> Entry {
    Entry::Propose(Proposal { id, base, by: "test".into(), at: 0, rules: Arc::default() })
}

#[test]
fn of_two_proposals_at_once_one_wins_and_the_other_is_told_on_what_it_was_based() {
    let mut history = History::default();
    [propose(7, 0), propose(8, 0), propose(7, 0)].iter().for_each(|entry| history.apply(entry));
    assert_eq!(history.outcome(7), Some(ProposalOutcome::Version(1)), "sent again, it is the same proposal");
    assert_eq!(history.outcome(8), Some(ProposalOutcome::Late(1)));
    assert_eq!((history.latest, history.outcomes.len()), (1, 2));
}

#[test]
fn a_hundred_thousand_versions_leave_only_the_latest() {
    let mut history = History::default();
    for version in 1..=100_000 {
        history.apply(&propose(version, version - 1));
        history.apply(&Entry::Begin(version));
    }
    assert_eq!((history.latest, history.begun, history.versions.len()), (100_000, 100_000, VERSIONS_KEPT));
    assert!(postcard::to_allocvec(&history).unwrap().len() < 8 * 1024);
}

#[test]
fn a_loosening_and_a_tightening_proposed_together_refuse_what_either_refuses_until_both_have_begun() {
    let refuse = |names: &[&str]| {
        let refused = names.iter().map(|name| RefusedParty::Viewer((*name).to_owned())).collect();
        Arc::new(Rules { refused, ..Rules::default() })
    };
    let mut history = History::default();
    let step = |id, base, rules| Entry::Propose(Proposal { id, base, by: "test".into(), at: 0, rules });
    history.apply(&step(1, 0, refuse(&["a"])));
    history.apply(&Entry::Begin(1));
    history.apply(&step(2, 1, refuse(&[])));
    history.apply(&step(3, 2, refuse(&["b"])));
    assert_eq!(history.meet(), *refuse(&["a", "b"]));
    history.apply(&Entry::Begin(3));
    assert_eq!(history.meet(), *refuse(&["b"]));
}

#[test]
fn a_lease_counts_from_when_it_was_asked_for_and_ends_without_a_majority() {
    let times = LeaseTimes::default();
    let seats =
        (1..=3).map(|number| (number, Seat { name: format!("v{number}").into(), disk: number })).collect();
    let voters = Voters { epoch: 1, seats };
    let mut held = HeldLease::default();
    held.follow(&voters);
    held.asks(1_000, 1, 10, &times);
    held.asks(2_000, 2, 11, &times);
    held.granted(1, 10, &times);
    assert_eq!(held.until(2), 0, "one of three");
    held.granted(1, 11, &times);
    assert_eq!(held.until(2), 0, "another voter's answer to that question");
    held.asks(2_000, 2, 12, &times);
    held.granted(2, 12, &times);
    assert_eq!(held.until(2), 1_000 + times.lease);
    // A front that wakes up: the grant for a request from before its suspension is too old to count.
    held.asks(3_000, 3, 13, &times);
    held.asks(60_000_000, 3, 14, &times);
    held.granted(3, 13, &times);
    assert_eq!(held.until(2), 1_000 + times.lease);
    // With other voters, no grant counts any more; with the same ones under a new epoch, all do.
    held.follow(&Voters { epoch: 2, ..voters.clone() });
    assert_eq!(held.until(2), 1_000 + times.lease);
    held.follow(&Voters { epoch: 3, seats: voters.seats.into_iter().skip(1).collect() });
    assert_eq!(held.until(1), 0);
}

#[test]
fn a_voter_that_has_just_started_is_clear_of_nothing() {
    let times = LeaseTimes::default();
    let mut granting = GrantedLeases::new(0, &times);
    assert_eq!(granting.clear(times.lease, 5), 0, "it may have granted anything before it was started");
    assert_eq!(granting.clear(2 * times.lease, 5), 5);
}

#[test]
fn the_stated_time_grows_with_what_it_is_made_of_and_is_none_where_fronts_go_on() {
    let times = LeaseTimes::default();
    let stated = times.max_contradiction().unwrap();
    assert!(stated > times.lease + times.grace && stated < 5_000_000, "{stated}");
    assert!(LeaseTimes { drift_ppm: 10_000, ..times }.max_contradiction().unwrap() > stated);
    assert_eq!(LeaseTimes { refuse_without_lease: false, ..times }.max_contradiction(), None);
}

#[test]
fn a_stand_outlives_its_lease_by_the_meet_and_that_by_nothing() {
    let (agreed, meet) =
        (Arc::new(Rules::default()), Arc::new(Rules { ladder: Some(0), ..Rules::default() }));
    let coordination = CoordinationState {
        begun: 1,
        latest: 2,
        lease_until: 100,
        grace_until: 150,
        agreed,
        meet,
        successors: Arc::default(),
    };
    assert_eq!(coordination.active_rules(99).map(|(by, rules)| (by, rules.ladder)), Ok((Basis::Lease, None)));
    assert_eq!(
        coordination.active_rules(100).map(|(by, rules)| (by, rules.ladder)),
        Ok((Basis::Meet, Some(0)))
    );
    assert!(coordination.active_rules(150).is_err());
}

#[test]
fn what_comes_late_or_twice_is_dropped_and_a_later_start_goes_first() {
    let mut order = InOrder::default();
    let name: Name = "v".into();
    assert!(order.next(&name, 1, 1, 5) && !order.next(&name, 1, 1, 5) && !order.next(&name, 1, 1, 4));
    assert!(order.next(&name, 1, 2, 1) && !order.next(&name, 1, 1, 6));
    assert!(order.next(&name, 2, 1, 1), "another disk counts for itself");
}

fn own(name: &str, new_disk_id: u64) -> FrontIdentity {
    let voters = ["a", "b", "c"].map(Name::from).to_vec();
    FrontIdentity { name: name.into(), new_disk_id, initial_voters: voters, times: LeaseTimes::default() }
}

/// Delivers messages among three voters until `until`, without loss; images receive every write.
fn talk(fronts: &mut [(Accord, Image)], from: u64, until: u64) {
    let mut now = from;
    while now < until {
        now += 10_000;
        let mut mail: Vec<Envelope> = Vec::new();
        for (accord, image) in fronts.iter_mut() {
            let mut out = Vec::new();
            accord.handle(now, Input::Tick, &mut out);
            mail.extend(post(out, image));
        }
        for _ in 0..6 {
            for envelope in std::mem::take(&mut mail) {
                let Some((accord, image)) =
                    fronts.iter_mut().find(|(accord, _)| accord.own.name == envelope.to)
                else {
                    continue;
                };
                let mut out = Vec::new();
                accord.handle(now, Input::Received(Box::new(envelope)), &mut out);
                mail.extend(post(out, image));
            }
        }
    }
}

fn post(out: Vec<Output>, image: &mut Image) -> Vec<Envelope> {
    let mut mail = Vec::new();
    for output in out {
        match output {
            Output::Write(writes) => writes.iter().for_each(|write| image.apply(write)),
            Output::Send(envelope) => mail.push(*envelope),
            _ => {}
        }
    }
    mail
}

fn three() -> Vec<(Accord, Image)> {
    let start = |(name, new_disk_id): (&str, u64)| {
        let (mut out, mut image) = (Vec::new(), Image::default());
        let accord = Accord::new(own(name, new_disk_id), Image::default(), 0, &mut out);
        post(out, &mut image);
        (accord, image)
    };
    [("a", 1), ("b", 2), ("c", 3)].map(start).into()
}

#[test]
fn voters_that_lose_power_at_once_go_on_where_their_disks_are() {
    let mut fronts = three();
    talk(&mut fronts, 0, 2_000_000);
    let rules = Rules { ladder: Some(2), ..Rules::default() };
    let mut out = Vec::new();
    fronts[1].0.handle(2_000_000, Input::Propose(1, None, "x".into(), 0, rules.clone()), &mut out);
    let image = &mut fronts[1].1;
    post(out, image);
    talk(&mut fronts, 2_000_000, 8_000_000);
    assert_eq!((fronts[2].0.history().latest, fronts[2].0.history().begun), (1, 1));
    let images: Vec<Image> = fronts.iter().map(|(_, image)| image.clone()).collect();
    let again = ["a", "b", "c"]
        .into_iter()
        .zip(images)
        .map(|(name, image)| (Accord::new(own(name, 99), image.clone(), 9_000_000, &mut Vec::new()), image));
    let mut fronts: Vec<_> = again.collect();
    assert!(fronts.iter().all(|(accord, _)| accord.history().latest == 1));
    talk(&mut fronts, 9_000_000, 14_000_000);
    assert!(
        fronts.iter().all(|(accord, _)| accord.coordination().lease_until > 14_000_000),
        "leases are given again"
    );
    assert_eq!(*fronts[0].0.coordination().agreed, rules);
}

#[test]
fn a_second_process_of_a_voters_name_takes_no_vote_while_the_first_still_speaks() {
    let mut fronts = three();
    talk(&mut fronts, 0, 2_000_000);
    let says = |sequence| Envelope {
        name: "b".into(),
        to: "a".into(),
        disk: 77,
        start: 1,
        sequence,
        body: Body::ReplaceDisk,
    };
    for sequence in 1..30 {
        let now = 2_000_000 + sequence * 100_000;
        for (accord, image) in &mut fronts {
            let mut out = Vec::new();
            let envelope = Envelope { to: accord.own.name.clone(), ..says(sequence) };
            accord.handle(now, Input::Received(Box::new(envelope)), &mut out);
            post(out, image);
        }
        talk(&mut fronts, now, now + 100_000);
    }
    assert_eq!(fronts[0].0.history().voters.epoch, 1);
    // The first process goes silent: the other disk is accepted.
    fronts.remove(1);
    for sequence in 30..60 {
        let now = 2_000_000 + sequence * 100_000;
        for (accord, image) in &mut fronts {
            let mut out = Vec::new();
            let envelope = Envelope { to: accord.own.name.clone(), ..says(sequence) };
            accord.handle(now, Input::Received(Box::new(envelope)), &mut out);
            post(out, image);
        }
        talk(&mut fronts, now, now + 100_000);
    }
    let voters = &fronts[0].0.history().voters;
    assert!(voters.epoch == 2 && voters.seats.values().any(|seat| seat.disk == 77), "{voters:?}");
}

#[test]
fn a_front_whose_disk_failed_promises_nothing_more() {
    let mut fronts = three();
    talk(&mut fronts, 0, 3_000_000);
    let mut out = Vec::new();
    fronts[0].0.handle(3_000_000, Input::DiskFailed, &mut out);
    assert!(fronts[0].0.voter().is_none());
    assert!(!out.iter().any(|output| matches!(output, Output::Write(_))));
    talk(&mut fronts, 3_000_000, 9_000_000);
    assert!(fronts[0].0.voter().is_none(), "not until it is started again");
    assert!(fronts[0].0.coordination().lease_until > 9_000_000, "it follows, under the leases of the others");
}

#[test]
fn a_history_older_than_what_a_front_acts_on_is_passed_over_and_one_that_parted_is_told() {
    let mut fronts = three();
    talk(&mut fronts, 0, 2_000_000);
    let old = fronts[0].0.history().clone();
    let mut out = Vec::new();
    fronts[0].0.handle(2_000_000, Input::Propose(1, None, "x".into(), 0, Rules::default()), &mut out);
    let image = &mut fronts[0].1;
    post(out, image);
    talk(&mut fronts, 2_000_000, 6_000_000);
    let before = fronts[0].0.history().clone();
    assert!(before.position > old.position);
    let say = |history: History| Envelope {
        name: "z".into(),
        to: "a".into(),
        disk: 77,
        start: 1,
        sequence: history.position,
        body: Body::Snapshot(Box::new(history)),
    };
    let mut out = Vec::new();
    fronts[0].0.handle(6_000_000, Input::Received(Box::new(say(old.clone()))), &mut out);
    assert_eq!(*fronts[0].0.history(), before);
    let mut other = old;
    (0..20).for_each(|id| other.apply(&propose(1_000 + id, 0)));
    fronts[0].0.handle(6_000_000, Input::Received(Box::new(say(other))), &mut out);
    assert_eq!(*fronts[0].0.history(), before);
    assert!(out.iter().any(|output| matches!(output, Output::HistoryDiverged(_))), "{out:?}");
}

#[test]
fn a_proposal_too_long_is_refused_before_anybody_hears_of_it() {
    let mut fronts = three();
    let refused: BTreeSet<RefusedParty> =
        (0..4_000).map(|at| RefusedParty::Viewer(format!("a-viewer-of-a-long-name-{at}"))).collect();
    let mut out = Vec::new();
    let input = Input::Propose(9, None, "x".into(), 0, Rules { refused, ..Rules::default() });
    fronts[0].0.handle(0, input, &mut out);
    assert!(
        matches!(&out[..], [Output::Reply(9, super::OperatorReply::Refused(why)), ..] if why.contains("at most")),
        "{out:?}"
    );
}

#[test]
fn an_image_keeps_what_a_log_writes_and_a_shorter_log_takes_the_rest_away() {
    let mut image = Image::default();
    image.apply(&Write::Voter(Box::new(VoterState::new(1, &History::default()))));
    image.apply(&Write::Log(0, vec![propose(1, 0), propose(2, 0), propose(3, 0)]));
    image.apply(&Write::Log(1, vec![propose(4, 0)]));
    assert_eq!(image.vote.unwrap().log, [propose(1, 0), propose(4, 0)]);
}

fn takes(incarnation: &str, epoch: u64, by: &str) -> SuccessionChange {
    let successor = Successor {
        epoch,
        name: by.into(),
        incarnation: format!("{by}-1").into(),
        client_address: None,
        version: 0,
        settled: false,
    };
    SuccessionChange::TakeOver(incarnation.into(), successor)
}

#[test]
fn of_two_heirs_at_once_one_takes_the_life_over_and_acts_only_once_the_version_has_begun() {
    let mut history = History::default();
    history.apply(&propose(1, 0));
    history.apply(&Entry::Begin(1));
    history.apply(&Entry::ChangeSuccessors(vec![takes("a-1", 1, "b")]));
    history.apply(&Entry::ChangeSuccessors(vec![takes("a-1", 1, "c")]));
    assert_eq!(
        (history.latest, history.successors.by_incarnation["a-1"].name.as_ref()),
        (2, "b"),
        "one version, the first one's"
    );
    let epoch = |history: &History, own| history.successors.acting_epoch("a-1", own, history.begun);
    assert_eq!((epoch(&history, "b-1"), epoch(&history, "c-1")), (None, None), "not before it has begun");
    history.apply(&Entry::Begin(2));
    assert_eq!((epoch(&history, "b-1"), epoch(&history, "c-1")), (Some(1), None));
    // A proposal from the version before missed no rule.
    history.apply(&propose(9, 1));
    assert_eq!(history.outcome(9), Some(ProposalOutcome::Version(3)));
    // The successor is lost too: the next one is known before it acts, and the first acts no more.
    history.apply(&Entry::ChangeSuccessors(vec![takes("b-1", 1, "c")]));
    assert_eq!((epoch(&history, "b-1"), history.successors.epoch_of("a-1")), (None, 2));
    assert_eq!(history.successors.current("a-1").map(|successor| successor.name.as_ref()), Some("c"));
    // An ended incarnation stays ended, even if a front returns with an old disk.
    history.apply(&Entry::ChangeSuccessors(vec![
        SuccessionChange::Ended("a-1".into(), 2),
        SuccessionChange::Ended("b-1".into(), 1),
    ]));
    assert!(history.successors.by_incarnation.contains_key("a-1"), "another epoch ends nothing");
    assert!(
        history.successors.by_incarnation.contains_key("b-1"),
        "a life on another's way to its heir is not over"
    );
    history.apply(&Entry::ChangeSuccessors(vec![SuccessionChange::Ended("a-1".into(), 1)]));
    let before = history.latest;
    history.apply(&Entry::ChangeSuccessors(vec![takes("a-1", 1, "b"), takes("a-1", 3, "b")]));
    assert_eq!((history.latest, history.successors.by_incarnation.contains_key("a-1")), (before, false));
}

#[test]
fn a_front_without_a_lease_acts_for_nobody_not_even_for_itself() {
    let mut history = History::default();
    history.apply(&Entry::ChangeSuccessors(vec![takes("a-1", 1, "b")]));
    history.apply(&Entry::Begin(1));
    let (agreed, meet) = (Arc::default(), Arc::default());
    let successors = Arc::clone(&history.successors);
    let coordination = CoordinationState {
        begun: 1,
        latest: 1,
        lease_until: 100,
        grace_until: 1_000,
        agreed,
        meet,
        successors,
    };
    assert_eq!(coordination.acting_epoch(99, "b-1", "a-1"), Some(1));
    assert_eq!(coordination.acting_epoch(99, "b-1", "b-1"), Some(0));
    assert_eq!(coordination.acting_epoch(99, "a-1", "a-1"), None, "it is another's now");
    assert_eq!(
        (coordination.acting_epoch(100, "b-1", "a-1"), coordination.acting_epoch(100, "b-1", "b-1")),
        (None, None)
    );
}

#[test]
fn a_settled_life_goes_along_with_its_heir_alone_and_no_heir_is_itself_replaced() {
    let mut history = History::default();
    history.apply(&Entry::ChangeSuccessors(vec![takes("a-1", 1, "b")]));
    history.apply(&Entry::ChangeSuccessors(vec![SuccessionChange::Settled("a-1".into(), 1)]));
    history.apply(&Entry::ChangeSuccessors(vec![takes("a-1", 2, "c")]));
    assert_eq!(
        history.successors.current("a-1").unwrap().name.as_ref(),
        "b",
        "nobody else has what it promised"
    );
    history.apply(&Entry::ChangeSuccessors(vec![takes("b-1", 1, "c")]));
    assert_eq!(history.successors.current("a-1").unwrap().name.as_ref(), "c");
    // A delayed proposal of a front for an incarnation that is itself superseded.
    history.apply(&Entry::ChangeSuccessors(vec![takes("d-1", 1, "b")]));
    assert!(history.successors.current("d-1").is_none());
}
