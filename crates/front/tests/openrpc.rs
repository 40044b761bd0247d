//! The OpenRPC document matches the code.

use std::collections::BTreeSet;
use std::sync::Arc;

use salttally::interface::{ServerId, SessionId};
use salttally_front::core::{Answer, EndReason, FailReason, LimitScope, Notification, Reply};
use salttally_front::session_api::rpc;
use serde_json::{json, Value};

fn document() -> Value {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/session-api.openrpc.json");
    serde_json::from_str(&std::fs::read_to_string(path).expect("the document")).expect("JSON")
}

fn method<'a>(document: &'a Value, name: &str) -> &'a Value {
    let methods = document["methods"].as_array().expect("methods");
    methods
        .iter()
        .find(|method| method["name"] == name)
        .unwrap_or_else(|| panic!("`{name}` is not described"))
}

fn id() -> SessionId {
    SessionId(Arc::from("s"))
}

#[test]
fn the_document_describes_exactly_the_methods_and_parameters() {
    let document = document();
    let described: Vec<&str> =
        document["methods"].as_array().expect("methods").iter().filter_map(|m| m["name"].as_str()).collect();
    let implemented: Vec<&str> = rpc::METHODS.iter().map(|(name, _)| *name).collect();
    assert_eq!(described, implemented);
    for (name, params) in rpc::METHODS {
        let described: Vec<(&str, bool)> = method(&document, name)["params"]
            .as_array()
            .expect("params")
            .iter()
            .map(|param| (param["name"].as_str().expect("name"), param["required"] == true))
            .collect();
        assert_eq!(described, params.to_vec(), "{name}");
    }
}

#[test]
fn results_have_the_described_fields() {
    let document = document();
    let fields = |value: &Value| -> BTreeSet<String> {
        value.as_object().map(|object| object.keys().cloned().collect()).unwrap_or_default()
    };
    let address = "127.0.0.1:1".parse().expect("an address");
    let plays = Answer::Plays { session: id(), server: ServerId(1), address, rung: 1, rate_kb: 2.5 };
    let playing = Reply::Status { session: id(), playing: Some((ServerId(1), 1, 2.5)) };
    for (name, response) in [
        ("session.open", rpc::open_response(&json!(1), &plays)),
        ("session.cancel", rpc::call_response(&json!(1), &Reply::Cancelled)),
        ("session.close", rpc::call_response(&json!(1), &Reply::Closed(id()))),
        ("session.status", rpc::call_response(&json!(1), &playing)),
    ] {
        let described = fields(&method(&document, name)["result"]["schema"]["properties"]);
        assert_eq!(fields(&response["result"]), described, "{name}");
    }
}

#[test]
fn errors_have_the_described_codes_messages_and_fields() {
    let document = document();
    let error = |name: &str, code: i64| {
        let errors = method(&document, name)["errors"].as_array().cloned().unwrap_or_default();
        errors.into_iter().find(|e| e["code"] == code).unwrap_or_else(|| panic!("{name} has no {code}"))
    };
    let reasons = [FailReason::GivenUp, FailReason::Cancelled, FailReason::Overdue, FailReason::ShuttingDown];
    for reason in reasons {
        let actual = rpc::open_response(&json!(1), &Answer::Failed(id(), reason));
        let described = error("session.open", rpc::FAILED);
        let words = described["data"]["reason"].as_str().expect("reasons");
        let actual_word = actual["error"]["data"]["reason"].as_str().expect("a reason");
        assert!(words.split(" | ").any(|known| known == actual_word), "{actual_word} is not described");
        assert_eq!(actual["error"]["message"], described["message"]);
    }
    let actual = rpc::open_response(&json!(1), &Answer::Refused(id(), 1_500_000));
    assert_eq!(actual["error"]["data"], json!({"session": "s", "hold_off_ms": 1500}));
    assert_eq!(actual["error"]["message"], error("session.open", rpc::REFUSED)["message"]);
    for of in [LimitScope::Connection, LimitScope::Viewer] {
        let actual = rpc::call_response(&json!(1), &Reply::TooManySessions(64, of));
        let described = error("session.open", rpc::TOO_MANY_SESSIONS);
        assert_eq!(actual["error"]["message"], described["message"]);
        let actual_word = actual["error"]["data"]["of"].as_str().expect("what the limit applies to");
        assert!(described["data"]["of"].as_str().is_some_and(|words| words.contains(actual_word)));
    }
    let actual = rpc::call_response(&json!(1), &Reply::ReturnsOnly(2_000_000));
    assert_eq!(actual["error"]["message"], error("session.open", rpc::FRONT_FULL)["message"]);
    assert_eq!(actual["error"]["data"], json!({"hold_off_ms": 2000}));
    let actual = rpc::call_response(&json!(1), &Reply::Unknown);
    for name in ["session.cancel", "session.close", "session.status"] {
        assert_eq!(actual["error"]["message"], error(name, rpc::UNKNOWN_SESSION)["message"]);
    }
}

#[test]
fn notifications_have_the_described_fields() {
    let document = document();
    let described = document["x-notifications"].as_array().expect("notifications");
    let names: Vec<&str> = described.iter().filter_map(|n| n["name"].as_str()).collect();
    assert_eq!(names, rpc::NOTIFICATIONS);
    let all = [
        Notification::RungChanged(id(), 1, 2.0),
        Notification::Move(id()),
        Notification::Ended(id(), EndReason::Lost),
    ];
    for (news, described) in all.iter().zip(described) {
        let actual = rpc::notification(news);
        assert_eq!(actual["method"], described["name"]);
        let fields: BTreeSet<&str> =
            actual["params"].as_object().expect("params").keys().map(String::as_str).collect();
        let words: BTreeSet<&str> =
            described["params"].as_array().expect("names").iter().filter_map(Value::as_str).collect();
        assert_eq!(fields, words);
    }
}
