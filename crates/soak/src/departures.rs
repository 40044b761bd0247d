//! Clients that leave, fall silent or lose a connection while something is owed to them, also as a front node shuts
//! down, and crowds with half requests.

use crate::clients::RequestOrigin;
use crate::crossings::Cut;
use crate::plan::Draws;
use crate::record::Micros;
use crate::rig::{Action, Rig};
use crate::wire::{code, kind, Message};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// A client that leaves after its answer does so at the latest after this time.
const LATEST_DEPARTURE: Micros = 60 * MS;
/// Pause of a client with half a request before it connects again.
const RECONNECT_PAUSE: Micros = 5 * MS;
/// Start times of processes that are replaced at once are listed after this time: later than the time limit for telling
/// the ends of their sessions.
const LATE_LISTING: Micros = 9 * SECOND;
/// Last requests before the sessions are released at a planned restart are sent at these times after the signal.
const LAST_REQUESTS: (Micros, Micros) = (600 * MS, 790 * MS);
const LAST_REQUEST_COUNT: u64 = 4;

/// How often clients leave or fall silent, each as a probability in percent unless stated otherwise.
#[derive(Clone, Copy, Debug, Default)]
pub struct DeparturePlan {
    /// A client closes its connection in order shortly after its answer; the session plays on.
    pub after_answers: u64,
    /// The connection of a client falls silent shortly after its answer, and the front node never learns of it.
    pub silent: u64,
    /// The connection on which the end of a session is told is reset, and the message lost.
    pub lost_ends: u64,
    /// A request is sent on an open connection as another one is closed by a process that shuts down.
    pub at_exit: u64,
    /// A server refuses the set-up of a request whose connection was cut.
    pub refused_after_cut: u64,
    /// Number of clients of each front node that send a whole message and half of another one, and come again.
    pub half_requests: u64,
    /// SIGTERM is repeated, with SIGHUP in between, while a process shuts down.
    pub repeats_signals: bool,
    /// Processes of servers that die are replaced at once, and listed late.
    pub is_replaced_at_once: bool,
}

impl DeparturePlan {
    /// Draws the plan of a seed.
    pub fn from_seed(seed: u64) -> DeparturePlan {
        let mut draws = Draws::new(seed ^ 0xde9a);
        DeparturePlan {
            after_answers: draws.pick(&[0, 10, 30]),
            silent: draws.pick(&[0, 0, 10]),
            lost_ends: draws.pick(&[0, 10, 30]),
            at_exit: draws.pick(&[0, 60]),
            refused_after_cut: draws.pick(&[0, 90]),
            half_requests: draws.pick(&[0, 0, 0, 250]),
            repeats_signals: draws.chance(50),
            is_replaced_at_once: draws.chance(25),
        }
    }

    /// Whether a trial has to last until ends that were lost are due.
    pub fn delays_ends(&self) -> bool {
        self.silent > 0 || self.is_replaced_at_once
    }

    /// Time from the end of a server's process to its next one, and from that to its listing.
    pub fn replacement(&self) -> Option<(Micros, Micros)> {
        self.is_replaced_at_once.then_some((0, LATE_LISTING))
    }
}

impl Rig {
    /// A request was served: its client may leave, or its connection may fall silent.
    pub(crate) fn plan_departure(&mut self, client: u64) {
        let plan = self.plan.departures;
        let cut = if self.departure_draws.chance(plan.after_answers) {
            Cut::Closed
        } else if self.departure_draws.chance(plan.silent) {
            Cut::SilentForGood
        } else {
            return;
        };
        let after = self.departure_draws.between(0, LATEST_DEPARTURE);
        self.schedule_in(after, Action::CutClient { client, cut });
    }

    /// A client is told the end of a session; returns whether the message is lost with its connection. It is not lost
    /// on the only connection to its front node: many ends follow each other there.
    pub(crate) fn cuts_end_notice(&mut self, client: u64) -> bool {
        let is_cut =
            self.has_other_client(client) && self.departure_draws.chance(self.plan.departures.lost_ends);
        if is_cut {
            self.cut_client(client, Cut::Reset);
        }
        is_cut
    }

    /// Whether a server refuses this set-up because the connection of its request was cut.
    pub(crate) fn refuses_after_cut(&mut self, id: u64) -> bool {
        let was_cut = self.requests.get(&id).is_some_and(|request| request.was_cut);
        was_cut && self.departure_draws.chance(self.plan.departures.refused_after_cut)
    }

    /// A process was told to shut down: repeated signals, and the last requests on open connections.
    pub(crate) fn plan_shutdown_traffic(&mut self, node: usize, until_kill: Micros) {
        let process = self.nodes[node].process;
        if self.plan.departures.repeats_signals {
            for at in [100 * MS, 400 * MS, 850 * MS] {
                self.schedule_in(at, Action::RepeatSignals { node, process });
            }
        }
        for _ in 0..LAST_REQUEST_COUNT {
            let at = self.departure_draws.between(LAST_REQUESTS.0, LAST_REQUESTS.1.min(until_kill));
            self.schedule_in(at, Action::SendCrowdRequest { node });
        }
    }

    /// A process that shuts down has closed a connection: a request may be sent on another one before its client sees
    /// that it is closed too.
    pub(crate) fn cross_exit(&mut self, node: usize) {
        if self.nodes[node].is_shutting_down() && self.departure_draws.chance(self.plan.departures.at_exit) {
            self.send_request(node, RequestOrigin::Viewers);
        }
    }

    /// Connects a client that sends a whole message and half of another one.
    pub(crate) fn start_half_request(&mut self, node: usize) {
        if self.now() >= self.plan.requests_until {
            return;
        }
        let is_up = self.nodes[node].accepts_connections(self.now());
        let client = is_up.then(|| self.connect_crowd_client(node)).flatten();
        let Some(token) = client.and_then(|client| Some(self.clients.get(&client)?.token)) else {
            return self.schedule_in(SECOND, Action::StartHalfRequest { node });
        };
        self.send(token, &Message::new(kind::TEST, 1).with(code::CAUSE, vec![0]));
        let half = Message::new(kind::SET_UP, 2).with(code::DESCRIPTION, vec![b'x'; 8_000]).bytes();
        self.write(token, &half[..half.len() / 2]);
    }

    /// A client with half a request was closed, and comes again.
    pub(crate) fn crowd_client_closed(&mut self, node: usize) {
        self.schedule_in(RECONNECT_PAUSE, Action::StartHalfRequest { node });
    }
}
