//! Messages of media servers that a front node may take for something else: ends of sessions on connections of earlier
//! attempts or before their answers, answers as the deadline passes, moves that are not heard, and servers that reset each
//! new connection. The judge's view of sessions that stand for nobody belongs here too.

use crate::clients::RequestOrigin;
use crate::crossings::Cut;
use crate::plan::{Draws, Plan};
use crate::record::{AttemptEnd, Event, Micros};
use crate::replacements::server_number;
use crate::rig::{Action, Rig, Role};
use crate::servers::{Attempt, Health};
use crate::wire::{cause, code, kind, Message};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// Time from the end of a session to its answer, or to the reset that loses the answer.
const EARLY_END_LEAD: Micros = 20 * MS;
/// An answer that comes with the deadline is written at most this long before or after it.
const DEADLINE_SPREAD: Micros = 30 * MS;
/// A moved session ends at most this long after its client was told, sooner than the front node gives the move up.
const LATEST_END_AFTER_MOVE: Micros = 300 * MS;
/// A session whose client has been told that it is over stands for nobody after this time.
const STANDING_LIMIT: Micros = 3 * SECOND;
const STANDING_CHECK_INTERVAL: Micros = 500 * MS;
/// A connection to such a server is reset with its first message, or after this time.
const LATEST_RESET: Micros = 2 * MS;
/// How long a server resets each new connection.
const RESET_PERIOD: Micros = 2 * SECOND;
/// Hints and link loads with which front nodes move sessions: a long session, and an overloaded link.
const LONG_HINT: &str = "60000.0";
const USUAL_HINT: &str = "8200.0";
const OVERLOAD_PERCENT: u64 = 30;

/// How often this happens, each as a probability in percent unless stated otherwise.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndPathPlan {
    /// An end is sent on the connection of an earlier attempt, and that of the session falls silent; once a server.
    pub on_earlier_connection: u64,
    /// A session ends at once, and its end is sent on another connection before its answer, if there is one.
    pub before_answer: u64,
    /// The answer is then lost with a reset.
    pub loses_answer: u64,
    /// A set-up is answered as its time is over, and its connection is closed in order.
    pub at_deadline: u64,
    /// Front nodes move sessions; a move is not heard on a connection that falls silent, and the session ends soon, or its
    /// viewer asks for another one.
    pub unheard_moves: u64,
    /// Number of hot servers that reset each new connection for some time.
    pub resetting_servers: u32,
}

impl EndPathPlan {
    /// Draws the plan of a seed.
    pub fn from_seed(seed: u64) -> EndPathPlan {
        let mut draws = Draws::new(seed ^ 0xe4d5);
        EndPathPlan {
            on_earlier_connection: draws.pick(&[0, 100]),
            before_answer: draws.pick(&[0, 40]),
            loses_answer: draws.pick(&[0, 70]),
            at_deadline: draws.pick(&[0, 20]),
            unheard_moves: draws.pick(&[0, 0, 40]),
            resetting_servers: draws.pick(&[0, 0, 3]),
        }
    }
}

impl Plan {
    /// The hint on the length of a session.
    pub(crate) fn length_hint(&self) -> &'static str {
        let has_moves = self.end_paths.unheard_moves > 0 || self.hand_over_floods.connections > 0;
        if has_moves {
            LONG_HINT
        } else {
            USUAL_HINT
        }
    }
}

impl Rig {
    /// The connection on which a server tells the end of a session instead of the session's own one, which falls silent.
    pub(crate) fn earlier_connection(&mut self, server: u32, id: u64, own: u64) -> Option<u64> {
        if self.servers[server as usize].has_used_earlier {
            return None;
        }
        let tokens = self.servers[server as usize].attempt_tokens.get(&id)?;
        let is_usable = |token: &u64| {
            *token != own && self.endpoints.get(token).is_some_and(|endpoint| !endpoint.is_forgotten)
        };
        let earlier = tokens.iter().copied().find(is_usable)?;
        if !self.end_path_draws.chance(self.plan.end_paths.on_earlier_connection) {
            return None;
        }
        self.servers[server as usize].has_used_earlier = true;
        self.silence(own);
        Some(earlier)
    }

    /// Whether the session of this attempt ends at once, with its end sent on another connection before its answer.
    pub(crate) fn ends_before_answer(&mut self, attempt: &Attempt, number: u64, description: &[u8]) -> bool {
        let (server, id, token) = (attempt.server, attempt.id, attempt.token);
        let role = Role::Server { server, node: attempt.node };
        let is_other = |(other, endpoint): &(&u64, &crate::rig::Endpoint)| {
            **other != token && endpoint.role == role && !endpoint.is_forgotten && endpoint.read_delay == 0
        };
        let other = self.endpoints.iter().find(is_other).map(|(other, _)| *other);
        let Some(other) = other.filter(|_| self.end_path_draws.chance(self.plan.end_paths.before_answer))
        else {
            return false;
        };
        self.record(Event::AttemptEnded { attempt: number, end: AttemptEnd::SetUp(description.to_vec()) });
        self.send(other, &Message::release(id, cause::NORMAL));
        if self.end_path_draws.chance(self.plan.end_paths.loses_answer) {
            self.schedule_in(EARLY_END_LEAD, Action::Close { token, reset: true });
        } else {
            let answer = Message::new(kind::ANSWER, id).with(code::DESCRIPTION, description.to_vec());
            let bytes = answer.bytes();
            self.schedule_in(EARLY_END_LEAD, Action::AnswerEnded { id, attempt: number, token, bytes });
        }
        true
    }

    /// Answers a set-up whose session is over already.
    pub(crate) fn answer_ended(&mut self, id: u64, attempt: u64, token: u64, bytes: &[u8]) {
        if !self.endpoints.contains_key(&token) {
            return;
        }
        self.write(token, bytes);
        // The session of a later attempt is another one.
        if self.latest_attempts.get(&id) == Some(&attempt) {
            self.record(Event::SessionEnded { id, notified: true });
        }
    }

    /// When a set-up is answered as its time is over; its connection is closed then.
    pub(crate) fn deadline_answer(&mut self, remaining: Micros) -> Option<Micros> {
        let is_drawn = self.end_path_draws.chance(self.plan.end_paths.at_deadline);
        (is_drawn && remaining < 3 * SECOND).then(|| {
            (remaining + self.end_path_draws.between(0, 2 * DEADLINE_SPREAD)).saturating_sub(DEADLINE_SPREAD)
        })
    }

    /// A client is sent a move; returns whether it is not heard, on a connection that falls silent.
    pub(crate) fn misses_move(&mut self, client: u64, id: u64) -> bool {
        let is_missed =
            self.has_other_client(client) && self.end_path_draws.chance(self.plan.end_paths.unheard_moves);
        if !is_missed {
            return false;
        }
        self.cut_client(client, Cut::SilentForGood);
        let after = self.end_path_draws.between(MS, LATEST_END_AFTER_MOVE);
        match self.requests.get(&id).and_then(|request| request.server()) {
            Some(server) if self.end_path_draws.chance(50) => {
                self.schedule_in(after, Action::EndSession { server, id });
            }
            _ => self.schedule_in(after / 2, Action::AskAgain { id }),
        }
        true
    }

    /// The viewer of a session asks for another one.
    pub(crate) fn ask_again(&mut self, id: u64) {
        let Some((node, viewer)) = self.requests.get(&id).map(|request| (request.node(), request.viewer))
        else {
            return;
        };
        self.send_request(node, RequestOrigin::Viewer(viewer));
    }

    /// The load of its link that a server tells in a note, in percent.
    pub(crate) fn noted_load(&mut self) -> u64 {
        if let Some(load) = self.noted_load_in_flood() {
            return load;
        }
        let is_overloaded =
            self.plan.end_paths.unheard_moves > 0 && self.end_path_draws.chance(OVERLOAD_PERCENT);
        if is_overloaded {
            self.end_path_draws.between(105, 140)
        } else {
            self.draws.between(10, 90)
        }
    }

    // ---- Servers that reset each new connection ----

    /// Resets the connections of a server, and each new one for some time.
    pub(crate) fn server_resets_new(&mut self, server: u32) {
        let until = self.now() + RESET_PERIOD;
        self.servers[server as usize].resets_new_until = until;
        self.server_resets(server);
    }

    /// A connection was accepted: it may be reset with its first message, or soon.
    pub(crate) fn plan_reset_of_new(&mut self, token: u64, server: u32, node: usize) {
        if self.now() < self.servers[server as usize].resets_new_until {
            self.reset_tokens.insert(token);
            self.schedule_in(LATEST_RESET, Action::ResetNew { token, server, node, is_set_up: false });
        }
    }

    /// Resets a new connection, if that is planned; returns whether it is. One that was made for a set-up is not recorded:
    /// it is limited by the requests.
    pub(crate) fn reset_new(&mut self, token: u64, server: u32, node: usize, is_set_up: bool) -> bool {
        let is_planned = self.reset_tokens.remove(&token);
        if is_planned {
            if !is_set_up {
                let server = self.servers[server as usize].id;
                self.record(Event::ConnectionReset { server, node });
            }
            self.close(token, true);
        }
        is_planned
    }

    // ---- Sessions that stand for nobody ----

    /// Records sessions that stand although their clients were told that they are over, at servers without a fault.
    pub(crate) fn check_standing(&mut self) {
        let now = self.now();
        let mut standing = Vec::new();
        for server in
            self.servers.iter().filter(|server| server.health == Health::Healthy && server.is_sound())
        {
            for (id, session) in &server.sessions {
                let Some(over_at) = self.requests.get(id).and_then(|request| request.told_over_at) else {
                    continue;
                };
                if over_at.max(session.started) + STANDING_LIMIT >= now {
                    continue;
                }
                let node = &self.nodes[session.node];
                let Some(number) = server_number(server.id) else { continue };
                let role = Role::Server { server: number, node: session.node };
                let is_judged = node.process == session.process && node.has_run_since(over_at);
                if is_judged && !self.endpoints.values().any(|end| end.role == role && end.is_silent) {
                    standing.push(*id);
                }
            }
        }
        for id in standing {
            self.record(Event::SessionStands { id });
            self.requests.entry(id).and_modify(|request| request.told_over_at = None);
        }
        self.schedule_in(STANDING_CHECK_INTERVAL, Action::CheckStanding);
    }
}
