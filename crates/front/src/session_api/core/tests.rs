use proptest::prelude::*;
use serde_json::{json, Value};

use super::backlog::{Backlog, BacklogAction};
use super::calls::PendingCalls;
use super::rate_limit::{CallAllowance, RateDecision, RateLimits, OPEN_WEIGHT};
use crate::core::{Answer, ClientId, FailReason, Input, Ticket};
use crate::session_api::rpc;
use crate::settings::tests::settings;
use salttally::interface::SessionId;

mod connections;

const LIMITS: RateLimits = RateLimits { calls_per_s: 10, burst: 4, max_excess: 5, total_calls_per_s: 1_000 };

fn open(id: Value) -> Value {
    json!({"jsonrpc": "2.0", "id": id, "method": "session.open", "params": {
        "viewer": "ann", "title": "a", "class": "clip", "top_rung": 2, "patience_ms": 1000}})
}

fn accept(calls: &mut PendingCalls, message: &Value) -> super::calls::AcceptedMessage {
    calls.accept(rpc::parse(&message.to_string(), &settings()))
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
    rpc::open_response(id, &Answer::Failed(SessionId("s".into()), FailReason::GivenUp))
}

#[test]
fn an_open_call_without_an_id_or_with_one_in_use_is_not_accepted() {
    let mut calls = PendingCalls::new(ClientId(1), 8, false);
    assert_eq!(accept(&mut calls, &open(json!(1))).inputs.len(), 1);
    for invalid in [open(json!(1)), open(Value::Null), {
        let mut call = open(json!(2));
        call.as_object_mut().unwrap().remove("id");
        call
    }] {
        let accepted = accept(&mut calls, &invalid);
        assert!(accepted.inputs.is_empty(), "{invalid} must not be accepted: its answer would be ambiguous");
        assert_eq!(accepted.responses[0]["error"]["code"], rpc::INVALID_REQUEST);
    }
}

#[test]
fn a_cancellation_finds_only_an_open_of_the_same_player() {
    let mut calls = PendingCalls::new(ClientId(1), 8, false);
    let opened = tickets(&accept(&mut calls, &open(json!("mine"))).inputs)[0];
    let cancel =
        |id: &str| json!({"jsonrpc": "2.0", "id": 9, "method": "session.cancel", "params": {"open": id}});
    let accepted = accept(&mut calls, &cancel("mine"));
    assert!(matches!(accepted.inputs[0], Input::Cancel(_, _, of) if of == opened));
    let accepted = accept(&mut calls, &cancel("theirs"));
    assert!(matches!(accepted.inputs[0], Input::Cancel(_, _, Ticket(0))));
}

#[test]
fn a_batch_is_answered_once_as_a_whole_and_notifications_not_at_all() {
    let mut calls = PendingCalls::new(ClientId(1), 8, false);
    let close = |id: Option<u64>| {
        let mut call = json!({"jsonrpc": "2.0", "method": "session.close", "params": {"session": "s"}});
        if let Some(id) = id {
            call["id"] = json!(id);
        }
        call
    };
    let accepted = accept(&mut calls, &json!([open(json!(1)), close(Some(2)), close(None), 17]));
    assert!(accepted.responses.is_empty(), "no call of a batch is answered separately");
    let tickets = tickets(&accepted.inputs);
    assert_eq!(calls.answer(tickets[1], failed), None);
    assert_eq!(calls.answer(tickets[2], failed), None);
    let responses = calls.answer(tickets[0], failed).expect("the last answer completes the batch");
    let ids: Vec<&Value> = responses.as_array().unwrap().iter().map(|response| &response["id"]).collect();
    assert_eq!(ids, [&Value::Null, &json!(2), &json!(1)], "the notification has no response");
    assert_eq!(calls.answer(tickets[0], failed), None, "a second answer is dropped");
    let notification = accept(&mut calls, &json!([close(None)]));
    assert_eq!(calls.answer(self::tickets(&notification.inputs)[0], failed), None);
    assert_eq!(calls.pending_count(), 0);
}

#[test]
fn a_second_open_in_a_batch_must_not_delay_the_first_answer() {
    let mut calls = PendingCalls::new(ClientId(1), 8, false);
    let accepted = accept(&mut calls, &json!([open(json!(1)), open(json!(2))]));
    assert_eq!(accepted.inputs.len(), 1);
}

#[test]
fn a_player_in_the_reserve_may_only_return_to_a_session_at_first() {
    let mut calls = PendingCalls::new(ClientId(1), 8, true);
    assert!(matches!(accept(&mut calls, &open(json!(1))).inputs[0], Input::Reopen(..)));
    calls.allow_new_sessions();
    assert!(matches!(accept(&mut calls, &open(json!(2))).inputs[0], Input::Open(..)));
}

#[test]
fn calls_that_free_something_are_handled_during_a_flood() {
    let batch = json!([
        {"jsonrpc": "2.0", "id": 1, "method": "session.close", "params": {"session": "s"}},
        {"jsonrpc": "2.0", "id": 2, "method": "session.status", "params": {"session": "s"}},
        {"jsonrpc": "2.0", "method": "session.cancel", "params": {"open": 9}}
    ]);
    let message = rpc::parse(&batch.to_string(), &settings());
    assert_eq!(message.weights(), (2, 1));
    let expensive = rpc::parse(&open(json!(1)).to_string(), &settings());
    assert_eq!(expensive.weights(), (0, OPEN_WEIGHT));
    let mut calls = PendingCalls::new(ClientId(1), 8, false);
    let accepted = calls.accept(message.reject_requests(1_500));
    let is_release = |input: &Input| matches!(input, Input::Close(..) | Input::Cancel(..));
    assert!(accepted.inputs.len() == 2 && accepted.inputs.iter().all(is_release), "{:?}", accepted.inputs);
    let tickets = tickets(&accepted.inputs);
    assert_eq!(calls.answer(tickets[1], failed), None, "a notification");
    let responses = calls.answer(tickets[0], failed).expect("a batch is answered as a whole");
    assert_eq!(
        (&responses[0]["error"]["code"], &responses[0]["error"]["data"]["hold_off_ms"]),
        (&json!(-32004), &json!(2))
    );
}

#[test]
fn an_open_over_the_limit_is_rejected_and_the_pending_ones_stay() {
    let mut calls = PendingCalls::new(ClientId(1), 2, false);
    accept(&mut calls, &open(json!(1)));
    let second = tickets(&accept(&mut calls, &open(json!(2))).inputs)[0];
    assert!(accept(&mut calls, &open(json!(3))).inputs.is_empty());
    calls.answer(second, failed);
    assert_eq!(accept(&mut calls, &open(json!(4))).inputs.len(), 1);
}

#[test]
fn a_flood_of_calls_is_delayed_and_then_disconnected() {
    let mut allowance = CallAllowance::new(LIMITS, 0);
    assert_eq!(allowance.charge(4, 0, 1), RateDecision::Allow);
    assert_eq!(allowance.charge(1, 0, 1), RateDecision::RetryAfter(100_000));
    assert_eq!(allowance.charge(1, 100_000, 1), RateDecision::Allow, "the stated delay suffices");
    for _ in 0..5 {
        assert!(matches!(allowance.charge(1, 100_000, 1), RateDecision::RetryAfter(_)));
    }
    assert_eq!(allowance.charge(1, 100_000, 1), RateDecision::Disconnect);
}

#[test]
fn the_total_rate_of_thousands_of_players_is_limited() {
    let limits =
        RateLimits { calls_per_s: 1_000, burst: 2_000, max_excess: u64::MAX, total_calls_per_s: 20_000 };
    let total_rate = |connections: usize| {
        let mut allowance = CallAllowance::new(limits, 0);
        // The rate follows the number of connections from the first call on.
        let allowed = (0..200_000)
            .filter(|at| allowance.charge(1, at * 1_000, connections) == RateDecision::Allow)
            .count();
        allowed * connections / 200
    };
    assert!((20_000..=22_000).contains(&total_rate(4_000)), "{}", total_rate(4_000));
    assert!((1_000..=1_100).contains(&total_rate(1)), "{}", total_rate(1));
    let mut allowance = CallAllowance::new(limits, 0);
    assert_eq!(
        allowance.charge(2 * OPEN_WEIGHT, 0, 15_000),
        RateDecision::Allow,
        "two opens at once are always allowed"
    );
}

#[test]
fn a_player_that_does_not_read_is_disconnected_and_a_slow_one_is_not() {
    let mut backlog = Backlog::new(100, 50);
    assert_eq!(backlog.push_unsent(&[0; 60], 0), BacklogAction::ScheduleFlush);
    assert_eq!(backlog.push_unsent(&[0; 30], 0), BacklogAction::Nothing, "a flush is scheduled already");
    assert_eq!(backlog.record_write(Some(10), 40), BacklogAction::ScheduleFlush);
    assert_eq!(backlog.record_write(Some(0), 89), BacklogAction::ScheduleFlush);
    assert_eq!(backlog.record_write(Some(0), 90), BacklogAction::Disconnect);
    assert!(backlog.is_closed() && backlog.next_chunk().is_empty());
    let mut backlog = Backlog::new(100, 50);
    backlog.push_unsent(&[0; 60], 0);
    assert_eq!(backlog.push_unsent(&[0; 41], 0), BacklogAction::Disconnect, "over the limit");
}

proptest! {
    #[test]
    fn bytes_leave_a_backlog_once_and_in_order(
        sizes in prop::collection::vec(0usize..40, 1..30),
        writes in prop::collection::vec(0usize..60, 1..60),
    ) {
        let mut backlog = Backlog::new(10_000, 1_000_000);
        let (mut pushed, mut written) = (Vec::new(), Vec::new());
        let mut next = 0u8;
        for (at, size) in sizes.iter().enumerate() {
            let bytes: Vec<u8> = (0..*size).map(|_| { next = next.wrapping_add(1); next }).collect();
            backlog.push_unsent(&bytes, at as u64);
            pushed.extend(bytes);
            let chunk = backlog.next_chunk();
            let count = writes.get(at).copied().unwrap_or(0).min(chunk.len());
            written.extend_from_slice(&chunk[..count]);
            backlog.record_write(Some(count), at as u64);
        }
        written.extend(backlog.next_chunk());
        prop_assert_eq!(pushed, written);
    }

    #[test]
    fn no_player_exceeds_its_rate(
        steps in prop::collection::vec((0u64..300_000, 1u64..4), 1..200),
    ) {
        let mut allowance = CallAllowance::new(RateLimits { max_excess: u64::MAX, ..LIMITS }, 0);
        let (mut now, mut allowed) = (0, 0);
        for (pause, calls) in steps {
            now += pause;
            if allowance.charge(calls, now, 1) == RateDecision::Allow {
                allowed += calls;
            }
            prop_assert!(allowed <= 4 + now * 10 / 1_000_000, "{} by {}", allowed, now);
        }
    }
}
