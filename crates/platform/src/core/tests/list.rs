//! The list and how soon it is heard again, by any settings.

use super::*;

/// Graces from a twentieth of the usual one to ten times it, ms.
const GRACES: [u64; 6] = [100, 200, 350, 500, 2_000, 20_000];

fn with_grace(grace_ms: u64) -> Bench<Controller> {
    let mut facts = facts();
    facts.settings.drain_grace = grace_ms * 1_000;
    let core = Core::new(Controller::new(facts.settings.clone(), 7), facts, 256, START + grace_ms);
    let mut bench = Bench { core, now: START + grace_ms, out: Vec::new() };
    bench.core.begin(bench.now, (0..LISTED).map(line).collect(), 5, address(200), &mut bench.out);
    bench.out.clear();
    bench.told(1, 5, Payload::Nothing);
    bench
}

/// Goes on until a call begins; which it is, and how long that took. What was over by then is taken off `open`.
fn next_call(bench: &mut Bench<Controller>, open: &mut Vec<u64>) -> (u64, Micros) {
    let since = bench.now;
    loop {
        bench.now = bench.core.next_due().expect("a call is always due").max(bench.now);
        let mut begun = None;
        for output in bench.tell(NodeEvent::Tick) {
            match output {
                Command::CloseList(call) => open.retain(|other| *other != call),
                Command::ConnectList(call, _, last) => {
                    assert_eq!(last, 5, "asked from the last event on");
                    open.push(call);
                    begun = Some(call);
                }
                _ => {}
            }
        }
        if let Some(call) = begun {
            return (call, bench.now - since);
        }
    }
}

// Caught pauses of up to 0.8 s between calls, longer than the whole grace of some settings: servers that were announced
// as leaving in the meantime were sent requests.
#[test]
fn a_coordinator_that_refuses_is_called_again_well_within_any_grace() {
    for grace in GRACES {
        let mut bench = with_grace(grace);
        bench.tell(NodeEvent::ListClosed(1));
        let (mut open, mut longest) = (Vec::new(), 0);
        for _ in 0..60 {
            let (call, took) = next_call(&mut bench, &mut open);
            longest = longest.max(took);
            bench.tell(NodeEvent::ListClosed(call));
            open.clear();
        }
        assert!(longest <= grace * 1_000 / 4, "{longest} us of a grace of {grace} ms");
        assert!(longest >= 20_000, "nor without a pause: {longest} us");
    }
}

// Caught calls that hung for up to 2.2 s before the next one began.
#[test]
fn calls_that_hang_do_not_hold_up_the_one_that_would_come_up() {
    for grace in GRACES {
        let mut bench = with_grace(grace);
        bench.tell(NodeEvent::ListClosed(1));
        let (mut open, mut longest, mut most) = (Vec::new(), 0, 0);
        for _ in 0..60 {
            longest = longest.max(next_call(&mut bench, &mut open).1);
            most = most.max(open.len());
        }
        assert!(longest <= grace * 1_000 / 4, "{longest} us of a grace of {grace} ms");
        assert!(most <= list_watch::MAX_CONNECTS, "{most} descriptors");
    }
}

#[test]
fn a_network_in_which_connections_come_up_slowly_is_got_through() {
    for grace in GRACES {
        let mut bench = with_grace(grace);
        bench.tell(NodeEvent::ListClosed(1));
        let (mut open, mut begun) = (Vec::new(), BTreeMap::new());
        let until = bench.now + 4 * SECOND;
        let up = loop {
            let (call, _) = next_call(&mut bench, &mut open);
            begun.insert(call, bench.now);
            if let Some(call) = open.iter().find(|call| begun[call] + 3 * SECOND / 2 <= bench.now) {
                break *call;
            }
            assert!(bench.now < until, "no call is kept long enough, grace {grace} ms");
        };
        let out = bench.tell(NodeEvent::ListConnected(up));
        let over: Vec<u64> = out
            .iter()
            .filter_map(|o| match o {
                Command::CloseList(call) => Some(*call),
                _ => None,
            })
            .collect();
        open.retain(|call| *call != up);
        assert_eq!(over, open, "the others are over");
        let mut leaves = line(0);
        leaves.entry.state = ServerState::Draining;
        bench.told(up, 6, Payload::Changes(vec![leaves.clone()]));
        assert!(bench.told(over.last().copied().unwrap_or(0), 7, Payload::Changes(vec![leaves])).is_empty());
        bench.told(up, 6, Payload::Nothing);
        assert_eq!(
            bench.after(2 * SECOND).iter().filter(|o| matches!(o, Command::ConnectList(..))).count(),
            0
        );
    }
}

#[test]
fn nodes_that_lost_their_coordinator_together_do_not_call_in_step() {
    let calls: Vec<Vec<Micros>> = [1, 2]
        .map(|seed| {
            let mut facts = facts();
            facts.settings.drain_grace = 500_000;
            let core = Core::new(Controller::new(facts.settings.clone(), 7), facts, 256, START + seed);
            let mut bench = Bench { core, now: START + seed, out: Vec::new() };
            bench.core.begin(bench.now, (0..LISTED).map(line).collect(), 5, address(200), &mut bench.out);
            bench.told(1, 5, Payload::Nothing);
            bench.now = START + SECOND;
            bench.tell(NodeEvent::ListClosed(1));
            let calls = (0..20).map(|_| {
                let (call, _) = next_call(&mut bench, &mut Vec::new());
                bench.tell(NodeEvent::ListClosed(call));
                bench.now
            });
            calls.collect()
        })
        .into();
    assert!(calls[0].iter().all(|at| !calls[1].contains(at)), "{calls:?}");
}

#[test]
fn a_whole_list_under_the_last_number_is_taken_once_the_call_begins_with_it() {
    let mut bench = with_grace(500);
    bench.tell(NodeEvent::ListClosed(1));
    let (call, _) = next_call(&mut bench, &mut Vec::new());
    bench.tell(NodeEvent::ListConnected(call));
    bench.told(call, 5, Payload::Whole(vec![line(1)]));
    assert_eq!(bench.core.servers.keys().copied().collect::<Vec<_>>(), [ServerId(1)]);
    // Later on it is a double of what has been told.
    bench.told(call, 5, Payload::Whole(vec![line(2)]));
    bench.told(call, 4, Payload::Whole(vec![line(2)]));
    assert_eq!(bench.core.servers.keys().copied().collect::<Vec<_>>(), [ServerId(1)]);
}

#[test]
fn a_coordinator_that_never_tells_what_is_missing_is_not_called_without_a_pause() {
    let mut bench = with_grace(500);
    let (mut call, mut calls, until) = (1, 0, bench.now + SECOND);
    while bench.now < until {
        let out = bench.told(call, 9, Payload::Changes(vec![line(1)]));
        let again = out.iter().find_map(|o| match o {
            Command::ConnectList(call, ..) => Some(*call),
            _ => None,
        });
        call = again.unwrap_or_else(|| next_call(&mut bench, &mut Vec::new()).0);
        bench.tell(NodeEvent::ListConnected(call));
        calls += 1;
    }
    assert!((5..=40).contains(&calls), "{calls} calls in a second");
}

/// What is read in one look, in this order, and decided then.
fn in_one_look(bench: &mut Bench<Controller>, inputs: Vec<NodeEvent>) -> Vec<Command> {
    for input in inputs {
        bench.core.handle(bench.now, input, &mut bench.out);
    }
    bench.core.decide(bench.now, &mut bench.out);
    std::mem::take(&mut bench.out)
}

fn announced(number: u64, lines: Vec<Listed>) -> NodeEvent {
    NodeEvent::ListFrame(1, Frame { number, payload: Payload::Changes(lines) })
}

fn leaving(id: u32, state: ServerState) -> Listed {
    let mut line = line(id);
    line.entry.state = state;
    line
}

fn dialled(out: &[Command]) -> Vec<SocketAddr> {
    let dial = |output: &Command| match output {
        Command::Connect(_, at) => Some(*at),
        _ => None,
    };
    out.iter().filter_map(dial).collect()
}

/// All but this one leave, or are gone.
fn all_but(kept: u32, state: ServerState) -> NodeEvent {
    announced(6, (0..LISTED).filter(|id| *id != kept).map(|id| leaving(id, state)).collect())
}

// Caught requests that the decider heard of ahead of a drain in the same look, and sent to the server that was leaving.
#[test]
fn a_drain_that_is_read_behind_a_request_is_heard_before_it() {
    for state in [ServerState::Draining, ServerState::Removed] {
        for kept in 0..LISTED {
            let mut bench = Bench::new();
            let asks = NodeEvent::ClientMessage(ClientId(1), request(9, "clip", ""));
            let out = in_one_look(&mut bench, vec![asks, all_but(kept, state)]);
            assert_eq!(dialled(&out), [address(kept)], "{state:?}");
        }
    }
}

// Caught a further attempt at a server whose drain lay behind the refusal of the first.
#[test]
fn a_drain_that_is_read_behind_a_refusal_is_heard_before_the_further_attempt() {
    for state in [ServerState::Draining, ServerState::Removed] {
        for kept in 0..LISTED {
            let mut bench = Bench::new();
            let out = bench.ask(9, "clip");
            let out = bench.made(&out);
            let (conn, _) = set_up(&out).unwrap();
            if bench.core.sessions[&9].session.at().unwrap().server == ServerId(kept) {
                continue;
            }
            let turned_away = NodeEvent::ServerMessage(conn, Message::release(9, cause::FULL));
            let out = in_one_look(&mut bench, vec![turned_away, all_but(kept, state)]);
            assert_eq!(dialled(&out), [address(kept)], "{state:?}");
        }
    }
}

// A session that is handed over in the same look in which its server goes is over for the decider too.
#[test]
fn what_is_handed_over_and_lost_in_one_look_is_over_for_the_decider() {
    let mut bench = Bench::with(Puppet::default());
    let handed = NodeEvent::ClientMessage(ClientId(1), request(9, "clip", ";at:s-00000000"));
    bench.core.handle(bench.now, handed, &mut bench.out);
    bench.core.handle(bench.now, announced(6, vec![leaving(0, ServerState::Removed)]), &mut bench.out);
    bench.core.decide(bench.now, &mut bench.out);
    let heard: Vec<&str> = bench
        .core
        .decider
        .1
        .iter()
        .filter_map(|event| match event {
            Event::Resumed(..) => Some("resumed"),
            Event::Ended { last: true, .. } => Some("over"),
            Event::Servers(ListKind::Changes, lines) if !lines.is_empty() => Some("list"),
            _ => None,
        })
        .collect();
    assert_eq!(heard, ["resumed", "over", "list"]);
    assert!(bench.core.sessions.is_empty());
}

// Caught a server that one event called gone and then ready: the decider sent sessions there and each was stopped here.
#[test]
fn a_server_that_one_event_names_twice_is_what_its_last_record_says() {
    let (gone, ready) = (leaving(0, ServerState::Removed), line(0));
    for whole in [true, false] {
        for (records, is_there) in
            [(vec![gone.clone(), ready.clone()], true), (vec![ready.clone(), gone.clone()], false)]
        {
            let mut bench = Bench::new();
            bench.told(1, 6, if whole { Payload::Whole(records) } else { Payload::Changes(records) });
            assert_eq!(bench.core.ledger().contains_key(&ServerId(0)), is_there);
            if whole {
                let there: Vec<SocketAddr> = is_there.then_some(address(0)).into_iter().collect();
                let out = bench.ask(9, "clip");
                assert_eq!(dialled(&out), there);
                assert_eq!(bench.core.counts().stopped, 0);
            }
        }
    }
}
