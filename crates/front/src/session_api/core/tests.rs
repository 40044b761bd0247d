use proptest::prelude::*;
use serde_json::{json, Value};

use super::backlog::{Backlog, Step};
use super::calls::Calls;
use super::gate::{Allowance, Allowed, GateLimits, OPEN};
use crate::core::{Answer, ClientId, FailReason, Input, Ticket};
use crate::session_api::rpc;
use crate::settings::tests::settings;
use salttally::interface::SessionId;

mod doors;

const LIMITS: GateLimits = GateLimits { calls_per_s: 10, calls_at_once: 4, surplus: 5, all_per_s: 1_000 };

fn open(id: Value) -> Value {
    json!({"jsonrpc": "2.0", "id": id, "method": "session.open", "params": {
        "viewer": "ann", "title": "a", "class": "clip", "top_rung": 2, "patience_ms": 1000}})
}

fn take(calls: &mut Calls, message: &Value) -> super::calls::Taken {
    calls.take(rpc::read(&message.to_string(), &settings()))
}

fn tickets(inputs: &[Input]) -> Vec<Ticket> {
    let ticket = |input: &Input| match input {
        Input::Open(_, ticket, _) | Input::Cancel(_, ticket, _) | Input::Close(_, ticket, _) => *ticket,
        Input::Status(_, ticket, _, _) | Input::Reopen(_, ticket, _) => *ticket,
        other => panic!("no call: {other:?}"),
    };
    inputs.iter().map(ticket).collect()
}

fn failed(id: &Value) -> Value {
    rpc::answer(id, &Answer::Failed(SessionId("s".into()), FailReason::GivenUp))
}

#[test]
fn an_open_call_without_an_id_or_with_one_in_use_is_not_accepted() {
    let mut calls = Calls::new(ClientId(1), 8, false);
    assert_eq!(take(&mut calls, &open(json!(1))).inputs.len(), 1);
    for wrong in [open(json!(1)), open(Value::Null), {
        let mut call = open(json!(2));
        call.as_object_mut().unwrap().remove("id");
        call
    }] {
        let taken = take(&mut calls, &wrong);
        assert!(taken.inputs.is_empty(), "{wrong} must not be accepted: its answer could not be told");
        assert_eq!(taken.say[0]["error"]["code"], rpc::INVALID_REQUEST);
    }
}

#[test]
fn a_cancellation_finds_its_open_call_and_no_other_players() {
    let mut calls = Calls::new(ClientId(1), 8, false);
    let opened = tickets(&take(&mut calls, &open(json!("mine"))).inputs)[0];
    let cancel =
        |id: &str| json!({"jsonrpc": "2.0", "id": 9, "method": "session.cancel", "params": {"open": id}});
    let taken = take(&mut calls, &cancel("mine"));
    assert!(matches!(taken.inputs[0], Input::Cancel(_, _, of) if of == opened));
    let taken = take(&mut calls, &cancel("theirs"));
    assert!(matches!(taken.inputs[0], Input::Cancel(_, _, Ticket(0))));
}

#[test]
fn a_batch_is_answered_whole_and_once_and_notifications_not_at_all() {
    let mut calls = Calls::new(ClientId(1), 8, false);
    let close = |id: Option<u64>| {
        let mut call = json!({"jsonrpc": "2.0", "method": "session.close", "params": {"session": "s"}});
        if let Some(id) = id {
            call["id"] = json!(id);
        }
        call
    };
    let taken = take(&mut calls, &json!([open(json!(1)), close(Some(2)), close(None), 17]));
    assert!(taken.say.is_empty(), "no part is answered by itself");
    let tickets = tickets(&taken.inputs);
    assert_eq!(calls.answered(tickets[1], failed), None);
    assert_eq!(calls.answered(tickets[2], failed), None);
    let all = calls.answered(tickets[0], failed).expect("the last part brings the whole");
    let ids: Vec<&Value> = all.as_array().unwrap().iter().map(|part| &part["id"]).collect();
    assert_eq!(ids, [&Value::Null, &json!(2), &json!(1)], "the notification has no part");
    assert_eq!(calls.answered(tickets[0], failed), None, "a second answer is none");
    let only = take(&mut calls, &json!([close(None)]));
    assert_eq!(calls.answered(self::tickets(&only.inputs)[0], failed), None);
    assert_eq!(calls.waiting(), 0);
}

#[test]
fn a_second_open_in_a_batch_must_not_hold_the_firsts_answer_back() {
    let mut calls = Calls::new(ClientId(1), 8, false);
    let taken = take(&mut calls, &json!([open(json!(1)), open(json!(2))]));
    assert_eq!(taken.inputs.len(), 1);
}

#[test]
fn a_player_in_the_reserve_may_only_return_until_it_has() {
    let mut calls = Calls::new(ClientId(1), 8, true);
    assert!(matches!(take(&mut calls, &open(json!(1))).inputs[0], Input::Reopen(..)));
    calls.returned();
    assert!(matches!(take(&mut calls, &open(json!(2))).inputs[0], Input::Open(..)));
}

#[test]
fn a_flood_must_not_keep_what_it_holds_back_from_being_freed() {
    let batch = json!([
        {"jsonrpc": "2.0", "id": 1, "method": "session.close", "params": {"session": "s"}},
        {"jsonrpc": "2.0", "id": 2, "method": "session.status", "params": {"session": "s"}},
        {"jsonrpc": "2.0", "method": "session.cancel", "params": {"open": 9}}
    ]);
    let message = rpc::read(&batch.to_string(), &settings());
    assert_eq!(message.weigh(), (2, 1));
    let dear = rpc::read(&open(json!(1)).to_string(), &settings());
    assert_eq!(dear.weigh(), (0, OPEN));
    let mut calls = Calls::new(ClientId(1), 8, false);
    let taken = calls.take(message.held_back(1_500));
    let freed = |input: &Input| matches!(input, Input::Close(..) | Input::Cancel(..));
    assert!(taken.inputs.len() == 2 && taken.inputs.iter().all(freed), "{:?}", taken.inputs);
    let tickets = tickets(&taken.inputs);
    assert_eq!(calls.answered(tickets[1], failed), None, "a notification");
    let all = calls.answered(tickets[0], failed).expect("a batch is answered whole");
    assert_eq!(
        (&all[0]["error"]["code"], &all[0]["error"]["data"]["hold_off_ms"]),
        (&json!(-32004), &json!(2))
    );
}

#[test]
fn a_player_with_too_many_unanswered_opens_is_told_and_keeps_the_others() {
    let mut calls = Calls::new(ClientId(1), 2, false);
    take(&mut calls, &open(json!(1)));
    let second = tickets(&take(&mut calls, &open(json!(2))).inputs)[0];
    assert!(take(&mut calls, &open(json!(3))).inputs.is_empty());
    calls.answered(second, failed);
    assert_eq!(take(&mut calls, &open(json!(4))).inputs.len(), 1);
}

#[test]
fn a_flood_of_calls_is_told_to_wait_and_then_cut_off() {
    let mut allowance = Allowance::new(LIMITS, 0);
    assert_eq!(allowance.take(4, 0, 1), Allowed::Yes);
    assert_eq!(allowance.take(1, 0, 1), Allowed::Later(100_000));
    assert_eq!(allowance.take(1, 100_000, 1), Allowed::Yes, "what it was told to wait for is enough");
    for _ in 0..5 {
        assert!(matches!(allowance.take(1, 100_000, 1), Allowed::Later(_)));
    }
    assert_eq!(allowance.take(1, 100_000, 1), Allowed::Cut);
}

#[test]
fn thousands_that_keep_to_their_allowance_must_not_ask_for_more_than_there_is() {
    let limits =
        GateLimits { calls_per_s: 1_000, calls_at_once: 2_000, surplus: u64::MAX, all_per_s: 20_000 };
    let asked = |inside: usize| {
        let mut allowance = Allowance::new(limits, 0);
        // The first look tells it how many are inside.
        let taken = (0..200_000).filter(|at| allowance.take(1, at * 1_000, inside) == Allowed::Yes).count();
        taken * inside / 200
    };
    assert!((20_000..=22_000).contains(&asked(4_000)), "{}", asked(4_000));
    assert!((1_000..=1_100).contains(&asked(1)), "{}", asked(1));
    let mut allowance = Allowance::new(limits, 0);
    assert_eq!(
        allowance.take(2 * OPEN, 0, 15_000),
        Allowed::Yes,
        "a session or two are always opened at once"
    );
}

#[test]
fn a_player_that_reads_nothing_is_cut_off_and_one_that_reads_slowly_is_not() {
    let mut backlog = Backlog::new(100, 50);
    assert_eq!(backlog.add(&[0; 60], 0), Step::Hand);
    assert_eq!(backlog.add(&[0; 30], 0), Step::Nothing, "somebody tries already");
    assert_eq!(backlog.tried(Some(10), 40), Step::Hand);
    assert_eq!(backlog.tried(Some(0), 89), Step::Hand);
    assert_eq!(backlog.tried(Some(0), 90), Step::Cut);
    assert!(backlog.is_closed() && backlog.turn().is_empty());
    let mut backlog = Backlog::new(100, 50);
    backlog.add(&[0; 60], 0);
    assert_eq!(backlog.add(&[0; 41], 0), Step::Cut, "more waits than may");
}

proptest! {
    #[test]
    fn bytes_leave_a_backlog_in_order_and_none_twice(
        adds in prop::collection::vec(0usize..40, 1..30),
        takes in prop::collection::vec(0usize..60, 1..60),
    ) {
        let mut backlog = Backlog::new(10_000, 1_000_000);
        let (mut put, mut got) = (Vec::new(), Vec::new());
        let mut next = 0u8;
        for (at, size) in adds.iter().enumerate() {
            let bytes: Vec<u8> = (0..*size).map(|_| { next = next.wrapping_add(1); next }).collect();
            backlog.add(&bytes, at as u64);
            put.extend(bytes);
            let turn = backlog.turn();
            let taken = takes.get(at).copied().unwrap_or(0).min(turn.len());
            got.extend_from_slice(&turn[..taken]);
            backlog.tried(Some(taken), at as u64);
        }
        got.extend(backlog.turn());
        prop_assert_eq!(put, got);
    }

    #[test]
    fn no_player_has_more_than_its_allowance(
        steps in prop::collection::vec((0u64..300_000, 1u64..4), 1..200),
    ) {
        let mut allowance = Allowance::new(GateLimits { surplus: u64::MAX, ..LIMITS }, 0);
        let (mut now, mut taken) = (0, 0);
        for (pause, calls) in steps {
            now += pause;
            if allowance.take(calls, now, 1) == Allowed::Yes {
                taken += calls;
            }
            prop_assert!(taken <= 4 + now * 10 / 1_000_000, "{} by {}", taken, now);
        }
    }
}
