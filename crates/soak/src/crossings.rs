//! Connections that are cut while something is on its way on them: a request, the end of a session, or a move.

use crate::clients::{Request, CLOSE_RACE};
use crate::plan::Draws;
use crate::record::{Event, Micros};
use crate::rig::{Action, Rig};

const MS: Micros = 1_000;
/// A connection is cut at the latest this long after a request was sent on it.
const LATEST_REQUEST_CUT: Micros = 45 * MS;
/// Time within which a client that has lost its connection sends a request once more.
const RESEND_TIME: Micros = 60 * MS;
/// The same where the new connection comes up late, minimum and maximum, and the time that the client then still waits, at
/// least.
const LATE_RESEND_TIME: (Micros, Micros) = (50 * MS, 2_000 * MS);
const MIN_WAIT_AFTER_RESEND: Micros = 300 * MS;
/// Time after which the end of a silent client connection reaches the front node, minimum and maximum.
const SILENCE: (Micros, Micros) = (200 * MS, 1_500 * MS);

/// The only connection of a front node to a server is cut less often by this factor.
const SINGLE_CONNECTION_RARITY: u64 = 5;

/// How often connections are cut, each as a probability in percent.
#[derive(Clone, Copy, Debug, Default)]
pub struct CrossingPlan {
    /// The connection of a request, shortly after it was sent.
    pub requests: u64,
    /// The connection on which a server sends the end of a session, once for each server.
    pub ends: u64,
    /// The connection on which a client is sent a move.
    pub moves: u64,
    /// Set-ups on one connection at a time. With one, front nodes have several connections to a server in use, of which
    /// one is cut.
    pub max_streams: u64,
    /// The new connection of a second copy comes up late.
    pub late_copies: u64,
    /// Another viewer's request follows a second copy in the same write.
    pub requests_behind_copies: u64,
}

/// With ends that are lost, requests go on for this much longer: a server to which none go any more is silent, and is
/// checked for that alone.
const MORE_REQUESTS: Micros = 6_000 * MS;

impl CrossingPlan {
    /// Draws the plan of a seed.
    pub fn from_seed(seed: u64) -> CrossingPlan {
        let mut draws = Draws::new(seed ^ 0xc2055);
        let (requests, ends) = (draws.pick(&[0, 5, 20]), draws.pick(&[0, 10, 40]));
        let moves = draws.pick(&[0, 30]);
        let max_streams = if ends > 0 { draws.pick(&[1, 1, 1, 32]) } else { 32 };
        let (late_copies, requests_behind_copies) = (draws.pick(&[0, 50]), draws.pick(&[0, 50, 100]));
        CrossingPlan { requests, ends, moves, max_streams, late_copies, requests_behind_copies }
    }

    /// How much longer than usual requests are sent.
    pub fn more_requests(&self) -> Micros {
        if self.ends > 0 {
            MORE_REQUESTS
        } else {
            0
        }
    }
}

/// How a connection is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cut {
    /// Reset on both sides.
    Reset,
    /// Closed in order, without the bytes that were on their way.
    Closed,
    /// Nothing passes any more, and the front node does not learn of it for some time.
    Silent,
    /// Nothing passes any more, and the front node never learns of it.
    SilentForGood,
}

impl Rig {
    fn draw_cut(&mut self) -> Cut {
        self.crossing_draws.pick(&[Cut::Reset, Cut::Reset, Cut::Closed, Cut::Silent])
    }

    /// A request was sent: its connection may be cut while it is on its way.
    pub(crate) fn plan_request_cut(&mut self, id: u64) {
        if self.crossing_draws.chance(self.plan.crossings.requests) {
            let after = self.crossing_draws.between(MS, LATEST_REQUEST_CUT);
            self.schedule_in(after, Action::CutRequest { id });
        }
    }

    /// Cuts the connection of a request that is not answered yet.
    pub(crate) fn cut_request(&mut self, id: u64) {
        let Some(client) = self.requests.get(&id).and_then(|request| request.pending_on()) else { return };
        let cut = self.draw_cut();
        self.cut_client(client, cut);
    }

    /// A client is sent a move; returns whether its connection is cut, and the move lost.
    pub(crate) fn cuts_move(&mut self, client: u64) -> bool {
        if !self.crossing_draws.chance(self.plan.crossings.moves) {
            return false;
        }
        self.cut_client(client, Cut::Reset);
        true
    }

    /// Cuts a client's connection. Requests that cross the cut are sent once more, under the same ids.
    pub(crate) fn cut_client(&mut self, number: u64, cut: Cut) {
        let now = self.now();
        let is_new = |request: &Request| request.handed_over_on(number, now);
        if self.requests.values().any(is_new) {
            // A hand-over that is lost with its connection would not be made again.
            return;
        }
        let Some(client) = self.clients.remove(&number) else { return };
        self.record(Event::ClosedByClient { conn: number });
        let crosses = |id: &u64| {
            let sent = self.requests.get(id).and_then(|request| request.sent);
            sent.is_some_and(|sent| sent + CLOSE_RACE >= now)
        };
        let (crossing, others): (Vec<u64>, Vec<u64>) = client.pending.into_iter().partition(crosses);
        let is_silent = matches!(cut, Cut::Silent | Cut::SilentForGood) && others.is_empty();
        if is_silent && cut == Cut::Silent {
            let after = self.crossing_draws.between(SILENCE.0, SILENCE.1);
            self.schedule_in(after, Action::Close { token: client.token, reset: true });
        } else if !is_silent {
            // The front node has to learn that the clients of the others wait no longer.
            self.close(client.token, cut != Cut::Closed);
        }
        for id in crossing {
            self.requests.entry(id).and_modify(|request| request.was_cut = true);
            self.send_again_soon(id, Some(client.token));
        }
        others.into_iter().for_each(|id| self.abandon_request(id));
    }

    /// Schedules the second copy of a request whose connection has ended; `previous` is that connection.
    pub(crate) fn send_again_soon(&mut self, id: u64, previous: Option<u64>) {
        let mut after = self.crossing_draws.between(0, RESEND_TIME);
        if self.crossing_draws.chance(self.plan.crossings.late_copies) {
            let late = self.crossing_draws.between(LATE_RESEND_TIME.0, LATE_RESEND_TIME.1);
            let waits_until = self.requests.get(&id).and_then(Request::waits_until).unwrap_or(0);
            let latest = waits_until.saturating_sub(self.now() + MIN_WAIT_AFTER_RESEND);
            after = after.max(late.min(latest));
        }
        self.schedule_in(after, Action::SendAgain { id, previous });
    }

    /// Whether another viewer's request follows a second copy in the same write.
    pub(crate) fn follows_copy(&mut self) -> bool {
        self.crossing_draws.chance(self.plan.crossings.requests_behind_copies)
    }

    /// A server sends the end of a session on this connection; returns whether it is cut, and the end lost. Each server
    /// is cut off once, most often from a front node with another connection to it: a further cut would have the front
    /// node open a connection, which brings the end.
    pub(crate) fn cuts_end(&mut self, server: u32, token: u64) -> bool {
        let role = self.endpoints.get(&token).map(|endpoint| endpoint.role);
        let open =
            self.endpoints.values().filter(|endpoint| Some(endpoint.role) == role && !endpoint.is_silent);
        let rarity = if open.count() > 1 { 1 } else { SINGLE_CONNECTION_RARITY };
        let is_cut = !self.servers[server as usize].was_cut_off
            && self.crossing_draws.chance(self.plan.crossings.ends / rarity);
        if !is_cut {
            return false;
        }
        self.servers[server as usize].was_cut_off = true;
        match self.draw_cut() {
            Cut::Silent | Cut::SilentForGood => self.silence(token),
            cut => self.close(token, cut == Cut::Reset),
        }
        true
    }
}
