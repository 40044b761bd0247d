//! Malformed, cut and random input to the decoders.

use proptest::prelude::*;
use salttally::interface::{ReportField, ServerState};

use super::frames::{FrameDecoder, FrameError, Payload};
use super::values::{self, InvalidRequest, RequestFields};
use super::*;

fn encode(message: &Message) -> Vec<u8> {
    let mut bytes = Vec::new();
    message.write(&mut bytes);
    bytes
}

fn decode(bytes: &[u8]) -> Result<Option<Message>, DecodeError> {
    let mut decoder = Decoder::default();
    decoder.feed(bytes);
    decoder.next_message()
}

fn messages() -> impl Strategy<Value = Message> {
    let kinds = prop::sample::select(vec![1u8, 6, 9, 12, 16, 44, 51, 52, 53, 60]);
    let value = prop::collection::vec(any::<u8>(), 0..200);
    let parameters = prop::collection::btree_map((1u8..=16).prop_map(|n| n * code::STEP), value, 0..6);
    (kinds, any::<u64>(), parameters).prop_map(|(kind, session, p)| Message {
        kind,
        session,
        parameters: p.into_iter().collect(),
    })
}

proptest! {
    #[test]
    fn decodes_messages_split_at_any_byte(
        row in prop::collection::vec(messages(), 1..5),
        step in 1usize..40,
    ) {
        let bytes: Vec<u8> = row.iter().flat_map(encode).collect();
        let (mut decoder, mut got) = (Decoder::default(), Vec::new());
        for part in bytes.chunks(step) {
            decoder.feed(part);
            while let Some(message) = decoder.next_message().unwrap() {
                got.push(message);
            }
        }
        prop_assert_eq!(got, row);
        prop_assert!(!decoder.has_partial_message());
    }

    #[test]
    fn random_bytes_do_not_panic_the_decoders(
        noise in prop::collection::vec(any::<u8>(), 0..4_000),
    ) {
        let (mut decoder, mut frames) = (Decoder::default(), FrameDecoder::default());
        decoder.feed(&noise);
        while let Ok(Some(_)) = decoder.next_message() {}
        frames.feed(&noise);
        while let Ok(Some(_)) = frames.next_frame() {}
        let _ = RequestFields::parse(&String::from_utf8_lossy(&noise));
    }
}

#[test]
fn rejects_invalid_lengths_before_their_bytes_arrive() {
    assert_eq!(decode(&[0, 8]), Err(DecodeError::Length(8)));
    assert_eq!(decode(&[0xff, 0xff]), Err(DecodeError::Length(65_535)));
    assert_eq!(decode(&[0x40, 0x00]), Err(DecodeError::Length(16_384)));
    assert_eq!(decode(&[0x3f, 0xfe]), Ok(None), "the longest message is awaited");
}

#[test]
fn rejects_truncated_duplicate_and_unknown_parameters() {
    let valid = encode(&Message::new(kind::ANSWER, 7).with(code::TITLE, "x"));
    let decode_with_byte = |at: usize, byte: u8| {
        let mut bytes = valid.clone();
        bytes[at] = byte;
        decode(&bytes)
    };
    assert!(matches!(decode(&valid), Ok(Some(_))));
    assert_eq!(decode_with_byte(13, 9), Err(DecodeError::TruncatedParameter));
    assert_eq!(decode_with_byte(11, 4), Err(DecodeError::Code(4)));
    assert_eq!(decode_with_byte(11, 51), Err(DecodeError::Code(51)));
    assert_eq!(decode_with_byte(2, 200), Err(DecodeError::Kind(200)));
    let twice = Message::new(kind::ANSWER, 7).with(3, "a").with(3, "b");
    assert_eq!(decode(&encode(&twice)), Err(DecodeError::DuplicateParameter(3)));
}

#[test]
fn names_the_invalid_or_missing_request_field() {
    let valid = "home:4;copies:3;top:4;viewer:00000000b4d65521;again:1;at:s-00c41f7a";
    let fields = RequestFields::parse(valid).unwrap();
    assert_eq!((fields.first_cell, fields.cell_count, fields.top_rung), (4, 3, 4));
    assert_eq!((fields.viewer, fields.returned, fields.playing_at), (0xb4d6_5521, true, Some(0x00c4_1f7a)));
    for (from, to, name) in [
        ("home:4", "home:-1", "home"),
        ("copies:3", "copies:nan", "copies"),
        ("top:4", "top:1e99", "top"),
        ("viewer:00000000b4d65521", "viewer:+0000000b4d65521", "viewer"),
        ("again:1", "again:yes", "again"),
        ("at:s-00c41f7a", "at:s-1", "at"),
        ("home:4;", "", "home"),
    ] {
        assert_eq!(RequestFields::parse(&valid.replace(from, to)), Err(InvalidRequest::Field(name)), "{to}");
    }
}

#[test]
fn load_report_with_a_missing_value_is_empty_rather_than_shifted() {
    let names = ["inflight".to_owned(), "x0".to_owned()];
    let fields = [ReportField::Streams, ReportField::Link];
    let report = |text: &str| {
        values::load_report(&Message::new(kind::RELEASE, 1).with(code::REPORT, text), &names, &fields)
    };
    assert_eq!(report("x0:0.5;inflight:12;queue:3"), [12.0, 0.5]);
    assert_eq!(report("inflight:12"), Vec::<f64>::new());
    assert_eq!(report("inflight:12;x0:inf"), Vec::<f64>::new());
}

#[test]
fn partial_list_frame_yields_nothing_and_an_invalid_one_an_error() {
    let mut record = vec![0, 0xc4, 0x1f, 0x7a, 127, 0, 0, 9, 0x0f, 0x1c, 1, 1, 0, 0, 2];
    record.extend(1500u32.to_be_bytes());
    record.extend(41_000u64.to_be_bytes());
    let frame = |kind: u8, records: &[u8]| {
        let mut bytes = (9 + records.len() as u32).to_be_bytes().to_vec();
        bytes.extend(41u64.to_be_bytes());
        bytes.push(kind);
        bytes.extend(records);
        bytes
    };
    let mut frames = FrameDecoder::default();
    let bytes = frame(2, &record);
    frames.feed(&bytes[..bytes.len() - 1]);
    assert_eq!(frames.next_frame(), Ok(None));
    frames.feed(&bytes[bytes.len() - 1..]);
    let got = frames.next_frame().unwrap().unwrap();
    let Payload::Changes(servers) = got.payload else { panic!("{got:?}") };
    let listed = &servers[0];
    assert_eq!(
        (got.number, listed.entry.server.0, listed.address.to_string()),
        (41, 0x00c4_1f7a, "127.0.0.9:3868".into())
    );
    assert_eq!((listed.entry.state, listed.entry.zone, listed.entry.cell), (ServerState::Draining, 1, 2));
    assert_eq!((listed.entry.units, listed.entry.started), (1.5, Some(41_000_000)));
    for (bytes, error) in [
        (frame(7, &[]), FrameError::Kind(7)),
        (frame(2, &record[1..]), FrameError::Length(35)),
        (vec![0, 0, 0, 3, 0, 0, 0, 0, 0, 0, 0, 0, 0], FrameError::Length(3)),
    ] {
        let mut frames = FrameDecoder::default();
        frames.feed(&bytes);
        assert_eq!(frames.next_frame(), Err(error));
    }
}
