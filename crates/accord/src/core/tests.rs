//! Kinds of rules, leases, disks and the history: what single parts must hold. Fleets of them are tried in
//! `crates/trial/tests/versions.rs`.

use std::collections::BTreeSet;
use std::sync::Arc;

use proptest::prelude::*;

use super::disk::{Image, Vote, Write};
use super::heirs::{Heir, Succession};
use super::history::{Became, Entry, History, Proposal, Seat, Steps, Voters, KEPT, PENDING};
use super::lease::{Granting, Held, Times};
use super::rules::{Asked, Limit, Order, Rules, Terms, Who};
use super::stand::{By, Stand};
use super::voter::Order as InOrder;
use super::{Accord, Body, Envelope, Input, Name, Output, Own};

fn terms() -> impl Strategy<Value = Terms> {
    (any::<bool>(), 0..3u32, 0..4u32, any::<bool>()).prop_map(|(open, top_rung, seats, ends)| Terms {
        open,
        top_rung,
        seats,
        ends: ends && !open,
    })
}

fn rules() -> impl Strategy<Value = Rules> {
    let name = || prop::sample::select(vec!["a", "b", "c"]).prop_map(str::to_owned);
    let who = prop_oneof![name().prop_map(Who::Viewer), name().prop_map(Who::Firm)];
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
            Rules { classes, ladder, limits, titles, closed, refused, boxes }.normal()
        })
}

/// All that can be asked of the rules above.
fn asked() -> impl Iterator<Item = Asked<'static>> {
    let viewers = ["a", "b", "a/x", "b/y", "d"];
    let held = [[0, 0, 0], [2, 1, 1], [3, 3, 3]];
    viewers.into_iter().flat_map(move |viewer| {
        ["a", "b", "d"].into_iter().flat_map(move |class| {
            ["a", "c", "d"]
                .into_iter()
                .flat_map(move |title| held.into_iter().map(move |held| Asked { viewer, class, title, held }))
        })
    })
}

proptest! {
    #[test]
    fn the_meet_allows_what_both_allow_and_nothing_else(a in rules(), b in rules()) {
        let meet = a.meet(&b);
        for asked in asked() {
            let both = a.allows(&asked).is_ok() && b.allows(&asked).is_ok();
            // A title may lie where the other has closed the cell: that only the meet sees.
            prop_assert!(both || meet.allows(&asked).is_err(), "{asked:?}");
            let title = asked.title;
            let seen = (0..5).any(|cell| meet.lies(title, cell)) || !meet.titles.contains_key(title);
            prop_assert!(!both || !seen || meet.allows(&asked).is_ok(), "{asked:?}");
        }
        for class in ["a", "b", "d"] {
            prop_assert_eq!(meet.top_rung(class), a.top_rung(class).min(b.top_rung(class)));
        }
        for (title, cell) in ["a", "c", "d"].into_iter().flat_map(|title| (0..5).map(move |cell| (title, cell))) {
            prop_assert_eq!(meet.lies(title, cell), a.lies(title, cell) && b.lies(title, cell));
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
        let document = salttally_settings::Document::parse("rules.kdl", &crate::text::write(&a)).unwrap();
        prop_assert_eq!(crate::text::read(&document).unwrap(), a);
    }

    /// Whatever is granted and asked in any order, on clocks that are off by what is stated: once a voter is clear of a
    /// version, no front holds a grant of it for less.
    #[test]
    fn a_voter_that_is_clear_is_held_to_nothing(
        steps in prop::collection::vec((0..3usize, 0..1_500_000u64), 1..60),
        drift in prop::collection::vec(-200i64..=200, 4),
    ) {
        let times = Times::default();
        let by = |clock: usize, at: u64| at.saturating_add_signed(at as i64 * drift[clock] / 1_000_000) + 7_000_000;
        let names: Vec<Name> = (0..3).map(|front| Name::from(format!("f{front}"))).collect();
        let seat = Seat { name: "v".into(), disk: 1 };
        let voters = Voters { epoch: 1, seats: [(1, seat)].into() };
        let mut held: Vec<Held> = (0..3).map(|_| Held::default()).collect();
        held.iter_mut().for_each(|held| held.follow(&voters));
        let (mut granting, mut latest, mut has, mut clear) = (Granting::new(by(3, 0), &times), 0, [0; 3], 0);
        let mut at = 0;
        for (nonce, (front, wait)) in (1..).zip(steps) {
            at += wait;
            latest += u64::from(wait % 5 == 0);
            has[front] = if wait % 3 == 0 { latest } else { has[front] };
            held[front].asks(by(front, at), 1, nonce, &times);
            // The grant takes its time on the way.
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
        let (mut one, mut steps) = (History::default(), Steps::new(&History::default()));
        let mut two = History::default();
        for (id, kind) in (0..).zip(kinds) {
            let entry = match kind {
                0 => Entry::Begin(one.latest),
                1 => Entry::Begin(one.latest + 5),
                2 => propose(id, one.latest.saturating_sub(1)),
                _ => propose(id, one.latest),
            };
            one.take(&entry);
            steps.push(entry, &one);
            if id % 50 == 0 {
                match steps.after(two.position, &two.digest) {
                    Some(steps) => steps.iter().for_each(|step| two.take(step)),
                    None => two = one.clone(),
                }
                prop_assert_eq!(&one, &two);
            }
            prop_assert!(one.latest - one.begun <= PENDING && one.versions.len() <= KEPT + PENDING as usize);
            prop_assert!(!one.parted(&two));
        }
    }
}

fn propose(id: u64, base: u64) -> Entry {
    Entry::Propose(Proposal { id, base, by: "test".into(), at: 0, rules: Arc::default() })
}

#[test]
fn of_two_proposals_at_once_one_wins_and_the_other_is_told_on_what_it_was_based() {
    let mut history = History::default();
    [propose(7, 0), propose(8, 0), propose(7, 0)].iter().for_each(|entry| history.take(entry));
    assert_eq!(history.outcome(7), Some(Became::Version(1)), "sent again, it is the same proposal");
    assert_eq!(history.outcome(8), Some(Became::Late(1)));
    assert_eq!((history.latest, history.outcomes.len()), (1, 2));
}

#[test]
fn a_hundred_thousand_versions_leave_only_the_latest() {
    let mut history = History::default();
    for version in 1..=100_000 {
        history.take(&propose(version, version - 1));
        history.take(&Entry::Begin(version));
    }
    assert_eq!((history.latest, history.begun, history.versions.len()), (100_000, 100_000, KEPT));
    assert!(postcard::to_allocvec(&history).unwrap().len() < 8 * 1024);
}

#[test]
fn a_loosening_and_a_tightening_proposed_together_refuse_what_either_refuses_until_both_have_begun() {
    let refuse = |names: &[&str]| {
        let refused = names.iter().map(|name| Who::Viewer((*name).to_owned())).collect();
        Arc::new(Rules { refused, ..Rules::default() })
    };
    let mut history = History::default();
    let step = |id, base, rules| Entry::Propose(Proposal { id, base, by: "test".into(), at: 0, rules });
    history.take(&step(1, 0, refuse(&["a"])));
    history.take(&Entry::Begin(1));
    history.take(&step(2, 1, refuse(&[])));
    history.take(&step(3, 2, refuse(&["b"])));
    assert_eq!(history.meet(), *refuse(&["a", "b"]));
    history.take(&Entry::Begin(3));
    assert_eq!(history.meet(), *refuse(&["b"]));
}

#[test]
fn a_lease_counts_from_when_it_was_asked_for_and_ends_without_a_majority() {
    let times = Times::default();
    let seats =
        (1..=3).map(|number| (number, Seat { name: format!("v{number}").into(), disk: number })).collect();
    let voters = Voters { epoch: 1, seats };
    let mut held = Held::default();
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
    // A front that wakes: what it asked before it slept has been granted long ago.
    held.asks(3_000, 3, 13, &times);
    held.asks(60_000_000, 3, 14, &times);
    held.granted(3, 13, &times);
    assert_eq!(held.until(2), 1_000 + times.lease);
    // Other voters: nothing counts any more. The same ones: all does.
    held.follow(&Voters { epoch: 2, ..voters.clone() });
    assert_eq!(held.until(2), 1_000 + times.lease);
    held.follow(&Voters { epoch: 3, seats: voters.seats.into_iter().skip(1).collect() });
    assert_eq!(held.until(1), 0);
}

#[test]
fn a_voter_that_has_just_started_is_clear_of_nothing() {
    let times = Times::default();
    let mut granting = Granting::new(0, &times);
    assert_eq!(granting.clear(times.lease, 5), 0, "it may have granted anything before it was started");
    assert_eq!(granting.clear(2 * times.lease, 5), 5);
}

#[test]
fn the_stated_time_grows_with_what_it_is_made_of_and_is_none_where_fronts_go_on() {
    let times = Times::default();
    let stated = times.stated().unwrap();
    assert!(stated > times.lease + times.alone && stated < 5_000_000, "{stated}");
    assert!(Times { drift_ppm: 10_000, ..times }.stated().unwrap() > stated);
    assert_eq!(Times { refuse: false, ..times }.stated(), None);
}

#[test]
fn a_stand_outlives_its_lease_by_the_meet_and_that_by_nothing() {
    let (agreed, meet) =
        (Arc::new(Rules::default()), Arc::new(Rules { ladder: Some(0), ..Rules::default() }));
    let stand = Stand { begun: 1, latest: 2, until: 100, alone: 150, agreed, meet, heirs: Arc::default() };
    assert_eq!(stand.acts(99).map(|(by, rules)| (by, rules.ladder)), Ok((By::Lease, None)));
    assert_eq!(stand.acts(100).map(|(by, rules)| (by, rules.ladder)), Ok((By::Meet, Some(0))));
    assert!(stand.acts(150).is_err());
}

#[test]
fn what_comes_late_or_twice_is_dropped_and_a_later_start_goes_first() {
    let mut order = InOrder::default();
    let name: Name = "v".into();
    assert!(order.next(&name, 1, 1, 5) && !order.next(&name, 1, 1, 5) && !order.next(&name, 1, 1, 4));
    assert!(order.next(&name, 1, 2, 1) && !order.next(&name, 1, 1, 6));
    assert!(order.next(&name, 2, 1, 1), "another disk counts for itself");
}

fn own(name: &str, drawn: u64) -> Own {
    let voters = ["a", "b", "c"].map(Name::from).to_vec();
    Own { name: name.into(), drawn, voters, times: Times::default() }
}

/// Lets three voters talk until `until`, with no loss; disks see every write.
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
                accord.handle(now, Input::Heard(Box::new(envelope)), &mut out);
                mail.extend(post(out, image));
            }
        }
    }
}

fn post(out: Vec<Output>, image: &mut Image) -> Vec<Envelope> {
    let mut mail = Vec::new();
    for output in out {
        match output {
            Output::Write(writes) => writes.iter().for_each(|write| image.write(write)),
            Output::Send(envelope) => mail.push(*envelope),
            _ => {}
        }
    }
    mail
}

fn three() -> Vec<(Accord, Image)> {
    let start = |(name, drawn): (&str, u64)| {
        let (mut out, mut image) = (Vec::new(), Image::default());
        let accord = Accord::new(own(name, drawn), Image::default(), 0, &mut out);
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
    assert!(fronts.iter().all(|(accord, _)| accord.stand().until > 14_000_000), "leases are given again");
    assert_eq!(*fronts[0].0.stand().agreed, rules);
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
        body: Body::Replace,
    };
    for sequence in 1..30 {
        let now = 2_000_000 + sequence * 100_000;
        for (accord, image) in &mut fronts {
            let mut out = Vec::new();
            let envelope = Envelope { to: accord.own.name.clone(), ..says(sequence) };
            accord.handle(now, Input::Heard(Box::new(envelope)), &mut out);
            post(out, image);
        }
        talk(&mut fronts, now, now + 100_000);
    }
    assert_eq!(fronts[0].0.history().voters.epoch, 1);
    // It falls silent: now the other disk is let in.
    fronts.remove(1);
    for sequence in 30..60 {
        let now = 2_000_000 + sequence * 100_000;
        for (accord, image) in &mut fronts {
            let mut out = Vec::new();
            let envelope = Envelope { to: accord.own.name.clone(), ..says(sequence) };
            accord.handle(now, Input::Heard(Box::new(envelope)), &mut out);
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
    assert!(fronts[0].0.stand().until > 9_000_000, "it follows, under the leases of the others");
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
        body: Body::Whole(Box::new(history)),
    };
    let mut out = Vec::new();
    fronts[0].0.handle(6_000_000, Input::Heard(Box::new(say(old.clone()))), &mut out);
    assert_eq!(*fronts[0].0.history(), before);
    let mut other = old;
    (0..20).for_each(|id| other.take(&propose(1_000 + id, 0)));
    fronts[0].0.handle(6_000_000, Input::Heard(Box::new(say(other))), &mut out);
    assert_eq!(*fronts[0].0.history(), before);
    assert!(out.iter().any(|output| matches!(output, Output::Parted(_))), "{out:?}");
}

#[test]
fn a_proposal_too_long_is_refused_before_anybody_hears_of_it() {
    let mut fronts = three();
    let refused: BTreeSet<Who> =
        (0..4_000).map(|at| Who::Viewer(format!("a-viewer-of-a-long-name-{at}"))).collect();
    let mut out = Vec::new();
    let input = Input::Propose(9, None, "x".into(), 0, Rules { refused, ..Rules::default() });
    fronts[0].0.handle(0, input, &mut out);
    assert!(
        matches!(&out[..], [Output::Told(9, super::Told::Refused(why)), ..] if why.contains("at most")),
        "{out:?}"
    );
}

#[test]
fn an_image_keeps_what_a_log_writes_and_a_shorter_log_takes_the_rest_away() {
    let mut image = Image::default();
    image.write(&Write::Vote(Box::new(Vote::begin(1, &History::default()))));
    image.write(&Write::Log(0, vec![propose(1, 0), propose(2, 0), propose(3, 0)]));
    image.write(&Write::Log(1, vec![propose(4, 0)]));
    assert_eq!(image.vote.unwrap().log, [propose(1, 0), propose(4, 0)]);
}

fn takes(life: &str, epoch: u64, by: &str) -> Succession {
    let heir = Heir {
        epoch,
        name: by.into(),
        life: format!("{by}-1").into(),
        serves: None,
        version: 0,
        settled: false,
    };
    Succession::Takes(life.into(), heir)
}

#[test]
fn of_two_heirs_at_once_one_takes_the_life_over_and_acts_only_once_the_version_has_begun() {
    let mut history = History::default();
    history.take(&propose(1, 0));
    history.take(&Entry::Begin(1));
    history.take(&Entry::Succeed(vec![takes("a-1", 1, "b")]));
    history.take(&Entry::Succeed(vec![takes("a-1", 1, "c")]));
    assert_eq!(
        (history.latest, history.heirs.of["a-1"].name.as_ref()),
        (2, "b"),
        "one version, the first one's"
    );
    let epoch = |history: &History, own| history.heirs.epoch("a-1", own, history.begun);
    assert_eq!((epoch(&history, "b-1"), epoch(&history, "c-1")), (None, None), "not before it has begun");
    history.take(&Entry::Begin(2));
    assert_eq!((epoch(&history, "b-1"), epoch(&history, "c-1")), (Some(1), None));
    // Who made a proposal from the version before has missed no rule.
    history.take(&propose(9, 1));
    assert_eq!(history.outcome(9), Some(Became::Version(3)));
    // The heir is lost too: the next one is known before it acts, and the first acts no more.
    history.take(&Entry::Succeed(vec![takes("b-1", 1, "c")]));
    assert_eq!((epoch(&history, "b-1"), history.heirs.reached("a-1")), (None, 2));
    assert_eq!(history.heirs.last("a-1").map(|heir| heir.name.as_ref()), Some("c"));
    // What is over stays over, whoever comes back with an old disk.
    history.take(&Entry::Succeed(vec![Succession::Over("a-1".into(), 2), Succession::Over("b-1".into(), 1)]));
    assert!(history.heirs.of.contains_key("a-1"), "another epoch ends nothing");
    assert!(history.heirs.of.contains_key("b-1"), "a life on another's way to its heir is not over");
    history.take(&Entry::Succeed(vec![Succession::Over("a-1".into(), 1)]));
    let before = history.latest;
    history.take(&Entry::Succeed(vec![takes("a-1", 1, "b"), takes("a-1", 3, "b")]));
    assert_eq!((history.latest, history.heirs.of.contains_key("a-1")), (before, false));
}

#[test]
fn a_front_without_a_lease_acts_for_nobody_not_even_for_itself() {
    let mut history = History::default();
    history.take(&Entry::Succeed(vec![takes("a-1", 1, "b")]));
    history.take(&Entry::Begin(1));
    let (agreed, meet) = (Arc::default(), Arc::default());
    let heirs = Arc::clone(&history.heirs);
    let stand = Stand { begun: 1, latest: 1, until: 100, alone: 1_000, agreed, meet, heirs };
    assert_eq!(stand.epoch(99, "b-1", "a-1"), Some(1));
    assert_eq!(stand.epoch(99, "b-1", "b-1"), Some(0));
    assert_eq!(stand.epoch(99, "a-1", "a-1"), None, "it is another's now");
    assert_eq!((stand.epoch(100, "b-1", "a-1"), stand.epoch(100, "b-1", "b-1")), (None, None));
}

#[test]
fn a_settled_life_goes_along_with_its_heir_alone_and_no_heir_is_itself_replaced() {
    let mut history = History::default();
    history.take(&Entry::Succeed(vec![takes("a-1", 1, "b")]));
    history.take(&Entry::Succeed(vec![Succession::Settled("a-1".into(), 1)]));
    history.take(&Entry::Succeed(vec![takes("a-1", 2, "c")]));
    assert_eq!(history.heirs.last("a-1").unwrap().name.as_ref(), "b", "nobody else has what it promised");
    history.take(&Entry::Succeed(vec![takes("b-1", 1, "c")]));
    assert_eq!(history.heirs.last("a-1").unwrap().name.as_ref(), "c");
    // A word of the front in its old life that was long on its way.
    history.take(&Entry::Succeed(vec![takes("d-1", 1, "b")]));
    assert!(history.heirs.last("d-1").is_none());
}
