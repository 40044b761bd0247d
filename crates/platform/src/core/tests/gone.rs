//! What the decider hears of clients that have gone, and that nothing begins for them.

use super::*;

/// Each way of going, on the connection of the request.
fn ways(id: u64) -> [NodeEvent; 4] {
    [
        NodeEvent::ClientClosed(ClientId(1)),
        NodeEvent::ClientHalfClosed(ClientId(1)),
        NodeEvent::ClientMessage(ClientId(1), Message::release(id, cause::NORMAL)),
        NodeEvent::ClientUnreadable(ClientId(1)),
    ]
}

fn heard_of(bench: &Bench<Puppet>, id: u64) -> Vec<&'static str> {
    let heard = bench.core.decider.1.iter().filter_map(|event| match event {
        Event::Request(request) if request.session == name(id) => Some("request"),
        Event::ClientLeft(session) if *session == name(id) => Some("left"),
        Event::Ended { session, last: true, .. } if *session == name(id) => Some("ended, over"),
        Event::Ended { session, last: false, .. } if *session == name(id) => Some("ended"),
        _ => None,
    });
    heard.collect()
}

// Caught requests that were sent on before the rest of what lay in the sockets was read.
#[test]
fn of_a_request_whose_client_has_gone_in_the_same_look_nothing_is_heard_or_sent() {
    for way in ways(9) {
        let mut bench = Bench::with(Puppet::default());
        let asks = NodeEvent::ClientMessage(ClientId(1), request(9, "clip", ""));
        bench.core.decider.0.push_back(Action::SetUp(name(9), ServerId(0), SECOND));
        bench.core.handle(bench.now, asks, &mut bench.out);
        let out = bench.tell(way.clone());
        assert!(heard_of(&bench, 9).is_empty(), "{way:?}: {:?}", heard_of(&bench, 9));
        assert!(
            !out.iter().any(|o| matches!(o, Command::Connect(..) | Command::SendToServer(..))),
            "{way:?}: {out:?}"
        );
        assert!(bench.core.sessions.is_empty());
    }
}

// Caught a refusal that was acted on before the close of the client behind it was read.
#[test]
fn no_further_attempt_follows_for_a_client_that_has_gone_in_the_same_look() {
    for way in ways(9) {
        let mut bench = Bench::new();
        let out = bench.ask(9, "clip");
        let out = bench.made(&out);
        let (conn, _) = set_up(&out).unwrap();
        let turned_away = NodeEvent::ServerMessage(conn, Message::release(9, cause::NOT_SENT));
        bench.core.handle(bench.now, turned_away, &mut bench.out);
        let out = bench.tell(way.clone());
        assert!(!out.iter().any(|o| matches!(o, Command::Connect(..))), "{way:?}: {out:?}");
        assert!(set_up(&out).is_none(), "{way:?}: {out:?}");
        let later = bench.after(5 * SECOND);
        assert!(set_up(&later).is_none() && bench.core.sessions.is_empty(), "{way:?}");
    }
}

#[test]
fn the_decider_hears_once_that_a_session_is_over_whenever_its_client_goes() {
    for way in ways(9) {
        // While it is held, and nothing is out for it: one that is not told keeps the session for ever.
        let mut bench = Bench::with(Puppet::default());
        bench.ask(9, "clip");
        bench.tell(way.clone());
        assert_eq!(heard_of(&bench, 9), ["request", "left"], "{way:?}");
        // After an attempt whose end lies in the same look.
        let mut bench = Bench::with(Puppet::default());
        bench.core.decider.0.push_back(Action::SetUp(name(9), ServerId(0), SECOND));
        let out = bench.ask(9, "clip");
        let out = bench.made(&out);
        let (conn, _) = set_up(&out).unwrap();
        let turned_away = NodeEvent::ServerMessage(conn, Message::release(9, cause::FULL));
        bench.core.handle(bench.now, turned_away, &mut bench.out);
        bench.tell(way.clone());
        assert_eq!(heard_of(&bench, 9), ["request", "ended, over"], "{way:?}");
    }
}
