//! Servers whose processes are replaced at their addresses under new ids, with the new one's start told before the old one's
//! end, and crowds that come in between.

use crate::plan::{Draws, Fault, Plan};
use crate::record::Micros;
use crate::rig::{Action, Rig};
use crate::servers::Health;
use crate::wire::ListState;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// Ids of replaced servers differ by a multiple of this.
const ID_STEP: u32 = 10_000;
/// Time from the end of the process to the next one, from that to its listing, and from that to the end of the old id.
const START_DELAY: (u64, u64) = (20 * MS, 400 * MS);
const LISTING_DELAY: (u64, u64) = (50 * MS, 500 * MS);
const END_DELAY: (u64, u64) = (SECOND, 4 * SECOND);
/// Warm-up of servers in these trials: long enough for a crowd that comes after the listing.
const WARM_UP: Micros = 8 * SECOND;
/// Requests of the crowd to all front nodes together, and the time within which they are sent.
const CROWD_REQUESTS: u64 = 240;
const CROWD_DURATION: Micros = 900 * MS;

/// The servers that are replaced.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplacementPlan {
    /// Number of hot servers that are replaced, the first of which a crowd asks for.
    pub servers: u32,
    /// When the first one is replaced.
    pub from: Micros,
    /// Whether the start is told twice.
    pub is_told_twice: bool,
    /// Time from the end of the process to the crowd.
    pub crowd_after: Micros,
}

impl ReplacementPlan {
    /// Draws the plan of a seed.
    pub fn from_seed(seed: u64) -> ReplacementPlan {
        let mut draws = Draws::new(seed ^ 0x5cc);
        ReplacementPlan {
            servers: draws.pick(&[0, 0, 1, 3]),
            from: draws.between(1_500, 3_500) * MS,
            is_told_twice: draws.chance(50),
            crowd_after: draws.between(300, 1_000) * MS,
        }
    }
}

/// The number of a server in the trial, by any id that it has had.
pub(crate) fn server_number(id: u32) -> Option<u32> {
    id.checked_sub(1).map(|number| number % ID_STEP)
}

impl Plan {
    /// Adds the replacements and their crowd.
    pub(crate) fn add_early_successors(&mut self) {
        let plan = self.replacements;
        let (first, count) = self.hot_servers;
        for place in 0..count.min(plan.servers) {
            let server = (first + place) % self.servers;
            self.faults.push((plan.from + Micros::from(place) * 200 * MS, Fault::ServerReplaced(server)));
        }
        if plan.servers > 0 {
            self.terms.cold.warm_up = self.terms.cold.warm_up.max(WARM_UP);
            let requests = CROWD_REQUESTS / self.nodes as u64;
            let crowd = Fault::Crowd { requests, duration: CROWD_DURATION };
            self.faults.push((plan.from + plan.crowd_after, crowd));
        }
        self.faults.sort_by_key(|(at, _)| *at);
    }
}

impl Rig {
    /// Ends the process of a server; another one starts at its address.
    pub(crate) fn server_replaced(&mut self, server: u32) {
        let state = &self.servers[server as usize];
        if state.health != Health::Healthy || state.state != ListState::Ready || state.replaced_id.is_some() {
            return;
        }
        self.end_server(server, None);
        let start_delay = self.replacement_draws.between(START_DELAY.0, START_DELAY.1);
        let listing_delay = self.replacement_draws.between(LISTING_DELAY.0, LISTING_DELAY.1);
        let end_delay = self.replacement_draws.between(END_DELAY.0, END_DELAY.1);
        self.schedule_in(start_delay, Action::StartSuccessor { server });
        self.schedule_in(start_delay + listing_delay, Action::ListSuccessor { server });
        if self.plan.replacements.is_told_twice {
            let again = start_delay + listing_delay + end_delay / 2;
            self.schedule_in(again, Action::ListSuccessor { server });
        }
        self.schedule_in(start_delay + listing_delay + end_delay, Action::EndReplacedId { server });
    }

    /// The new process of a server starts under a new id, which is not listed yet.
    pub(crate) fn start_successor(&mut self, server: u32) {
        let now = self.now();
        if self.servers[server as usize].health != Health::Dead || self.listen_as_server(server).is_err() {
            return;
        }
        let state = &mut self.servers[server as usize];
        state.replaced_id = Some(state.id);
        state.id += ID_STEP;
        (state.is_unlisted, state.started, state.listed_start) = (true, Some(now), None);
        state.health = Health::Healthy;
    }

    /// The list tells the start of the new process, and the old id as before.
    pub(crate) fn list_successor(&mut self, server: u32) {
        let state = &mut self.servers[server as usize];
        if state.replaced_id.is_some() {
            state.is_unlisted = false;
            self.list_start(server);
        }
    }

    /// The list tells that the old id is gone.
    pub(crate) fn end_replaced_id(&mut self, server: u32) {
        let Some(old) = self.servers[server as usize].replaced_id.take() else { return };
        self.servers[server as usize].gone_ids.push(old);
        self.publish_change(&[server]);
    }
}
