//! The decoders answer any input of a peer with a value or an error and never panic, and the result does not
//! depend on how the bytes are split into reads.

use proptest::prelude::*;
use salttally::interface::{ServerEntry, SessionId};
use salttally_front::box_list::lines;
use salttally_front::boxes::events::Decoder;
use salttally_front::boxes::{http, wire};
use salttally_front::core::{BoxRequest, ExchangeEnd};
use salttally_front::session_api::rpc::{self, Message};
use salttally_front::settings::Settings;
use serde_json::{json, Value};

const SETTINGS: &str = r#"
front "f0" { listen "127.0.0.1:0"; }
box-list "127.0.0.1:1"
fleet cells=4 link-kb=5000 links-kb=20000 { kind-streams 20; reports "streams" "link" "uplink"; }
ladder { rung kb=200 worth=0.2; rung kb=500 worth=0.6; }
class "clip" aim-ms=500
title "a" first-cell=0 cells=4
rules { drain-grace-ms 250; warm-up-ms 4000; cold-from 0.4; fall-multiple 2.0; fall-ms 1000; }
"#;

fn settings() -> Settings {
    Settings::parse("small.kdl", SETTINGS).unwrap_or_else(|e| panic!("{e}"))
}

fn json_value() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        "[a-z.{}\"\\\\\u{0}-\u{ff}]{0,12}".prop_map(Value::from),
    ];
    leaf.prop_recursive(3, 24, 6, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..6).prop_map(Value::from),
            prop::collection::btree_map("[a-z_]{0,10}", inner, 0..6)
                .prop_map(|map| Value::Object(map.into_iter().collect())),
        ]
    })
}

/// A valid call with one of its fields changed.
fn call_with_one_field_changed() -> impl Strategy<Value = Value> {
    let name = prop::sample::select(vec![
        "jsonrpc",
        "id",
        "method",
        "params",
        "viewer",
        "title",
        "class",
        "top_rung",
        "patience_ms",
        "length_hint_s",
        "returned",
        "moved_from",
    ]);
    (name, json_value()).prop_map(|(name, value)| {
        let mut call = json!({"jsonrpc": "2.0", "id": 1, "method": "session.open", "params": {
            "viewer": "v", "title": "a", "class": "clip", "top_rung": 1, "patience_ms": 1000}});
        if call.get(name).is_some() {
            call[name] = value;
        } else {
            call["params"][name] = value;
        }
        call
    })
}

fn set_up() -> BoxRequest {
    let text = json!({"jsonrpc": "2.0", "id": 1, "method": "session.open", "params": {
        "viewer": "v", "title": "a", "class": "clip", "top_rung": 1, "patience_ms": 1000}});
    let Message::Single(call) = rpc::parse(&text.to_string(), &settings()) else { panic!("a call") };
    let Ok(rpc::Method::Open(opening)) = call.method else { panic!("an open call") };
    BoxRequest::SetUp {
        session: SessionId("f0-1-1".into()),
        attempt: 0,
        rung: 1,
        open_request: opening,
        time_out: 1000,
    }
}

proptest! {
    #[test]
    fn any_text_parses_to_a_message_or_an_error(text in "\\PC{0,200}") {
        rpc::parse(&text, &settings());
    }

    #[test]
    fn any_json_parses_to_a_message_and_invalid_calls_carry_an_error(value in json_value()) {
        match rpc::parse(&value.to_string(), &settings()) {
            Message::Single(call) => prop_assert!(call.method.is_err() || call.id.is_some() || value.is_object()),
            Message::Batch(calls) => prop_assert!(!calls.is_empty()),
            Message::Malformed(error) => prop_assert!(error.code < 0),
        }
    }

    #[test]
    fn a_call_with_one_field_changed_is_accepted_within_its_bounds_or_rejected(
        call in call_with_one_field_changed(),
    ) {
        let Message::Single(parsed) = rpc::parse(&call.to_string(), &settings()) else { panic!("one call") };
        if let Ok(rpc::Method::Open(opening)) = parsed.method {
            prop_assert!(opening.class == 0 && opening.title.0 == 1);
            prop_assert!((100_000..=60_000_000).contains(&opening.patience));
            prop_assert!(opening.length_hint.is_none_or(|length| length <= 1_000_000_000_000));
        }
    }

    #[test]
    fn any_bytes_are_a_response_an_error_or_incomplete(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = http::parse_response(&bytes);
        let mut response = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n".to_vec();
        response.extend(bytes);
        let _ = http::parse_response(&response);
    }

    #[test]
    fn an_incomplete_response_is_no_response(
        length in 0usize..1000,
        status in 100u16..600,
        body in "[a-z{}\":0-9]{0,60}",
    ) {
        let response = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes();
        let parsed = http::parse_response(&response).expect("valid HTTP").expect("a complete response");
        prop_assert_eq!((parsed.status, parsed.body, parsed.keep_alive), (status, body.into_bytes(), true));
        let length = length % response.len();
        prop_assert_eq!(http::parse_response(&response[..length]), Ok(None));
        let with_surplus = [response.as_slice(), b"x"].concat();
        prop_assert_eq!(http::parse_response(&with_surplus), Err(http::HttpError::TrailingBytes(1)));
    }

    #[test]
    fn events_do_not_depend_on_how_the_bytes_are_split(
        events in prop::collection::vec(("[a-z]{1,8}", "[ -~]{0,40}"), 1..8),
        chunk_sizes in prop::collection::vec(1usize..30, 1..60),
        end in prop::sample::select(vec!["\n", "\r\n", "\r"]),
    ) {
        let text: String =
            events.iter().map(|(name, data)| format!(": c{end}event: {name}{end}data: {data}{end}{end}")).collect();
        let mut decoder = Decoder::default();
        let (mut decoded, mut rest, mut chunk_sizes) =
            (Vec::new(), text.as_bytes(), chunk_sizes.into_iter().cycle());
        while !rest.is_empty() {
            let (chunk, after) = rest.split_at(chunk_sizes.next().unwrap_or(1).min(rest.len()));
            decoded.extend(decoder.push(chunk).expect("within the size limit"));
            rest = after;
        }
        let decoded: Vec<(String, String)> =
            decoded.into_iter().map(|event| (event.name, event.data)).collect();
        prop_assert_eq!(decoded, events);
    }

    #[test]
    fn any_event_of_a_box_is_parsed_or_an_error(
        name in "held|ended|link|delivered|[a-z]{0,6}",
        data in json_value(),
    ) {
        let event = salttally_front::boxes::events::Event { name, data: data.to_string() };
        let _ = wire::parse_event(&event, &settings());
    }

    #[test]
    fn any_list_is_parsed_or_an_error(value in json_value(), text in "\\PC{0,100}") {
        let _ = lines::parse(&text);
        let _ = lines::parse(&json!({"revision": 1, "as_of_ms": 1, "boxes": [value]}).to_string());
    }

    #[test]
    fn any_response_body_is_parsed_or_malformed(status in 100u16..600, body in json_value()) {
        let response = http::Response { status, body: body.to_string().into_bytes(), keep_alive: true };
        let end = wire::parse_response(&set_up(), &response, &settings());
        // Only a response that names this attempt completes its set-up.
        if let ExchangeEnd::Answered { answer: salttally_front::core::BoxAnswer::Done, .. } = end {
            prop_assert_eq!(body["session"].as_str(), Some("f0-1-1"));
        }
    }
}

#[test]
fn a_response_for_another_session_is_malformed() {
    let body = json!({"session": "f0-1-2", "attempt": 0, "load": {"streams": 1, "link": 0.1, "uplink": 0.1}});
    let response = http::Response { status: 201, body: body.to_string().into_bytes(), keep_alive: true };
    let ExchangeEnd::Malformed(reason) = wire::parse_response(&set_up(), &response, &settings()) else {
        panic!("accepted")
    };
    assert!(reason.contains("f0-1-2"), "{reason}");
}

#[test]
fn responses_with_two_lengths_transfer_codings_or_a_long_head_are_errors() {
    let two_lengths = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nab";
    assert_eq!(http::parse_response(two_lengths), Err(http::HttpError::ContentLength));
    let chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    assert_eq!(http::parse_response(chunked), Err(http::HttpError::TransferCoding));
    let long_head = [b"HTTP/1.1 200 OK\r\nX: ".as_slice(), &[b'a'; 9000]].concat();
    assert_eq!(http::parse_response(&long_head), Err(http::HttpError::HeadTooLong));
}

#[test]
fn a_written_list_parses_to_the_same_lines() {
    let entry = ServerEntry { cell: 3, units: 1.5, started: Some(5_000_000), ..ServerEntry::default() };
    let line =
        salttally_front::core::ListEntry { entry, address: "127.0.0.1:9".parse().expect("an address") };
    let text = lines::write(std::iter::once(&line));
    assert_eq!(lines::parse(&text).expect("a list").lines, [line]);
}
