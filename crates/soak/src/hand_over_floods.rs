//! Clients that hand over sessions which no server holds, on several connections, under ever new ids and for several
//! servers, while sessions that play are handed over as well.

use crate::clients::RequestOrigin;
use crate::plan::{Draws, Fault, Plan};
use crate::record::Micros;
use crate::rig::{Action, Rig};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// Front nodes that are flooded, at most.
const FLOODED_NODES: usize = 2;
/// Interval between the writes of a client, and the hand-overs of all clients of a front node in it, per whole core.
const WRITE_INTERVAL: Micros = 10 * MS;
const HAND_OVERS_PER_INTERVAL: u64 = 480;
/// No more is written while this much has not been accepted.
const MAX_UNSENT_BYTES: usize = 64 * 1024;
/// Pause of a client whose connection has ended.
const RECONNECT_PAUSE: Micros = 50 * MS;
/// Link load that servers note during a flood, in percent.
const NOTED_LOAD: (u64, u64) = (105, 150);
/// A concentrated flood names so many hot servers, which have so many places.
const CONCENTRATED_SERVERS: u64 = 3;
const CONCENTRATED_PLACES: u32 = 400;
/// Servers that no list has ever named are numbered from here.
const FIRST_UNLISTED_SERVER: u64 = 1 << 24;

/// How sessions are made up.
#[derive(Clone, Copy, Debug, Default)]
pub struct HandOverFloodPlan {
    /// Number of connections to each flooded front node; 0 if there are none.
    pub connections: u64,
    /// Percentage of the sessions that name servers which are not listed.
    pub unlisted: u64,
    /// Whether all sessions name a few servers with many places.
    pub is_concentrated: bool,
    /// When it begins.
    pub from: Micros,
    /// When it ends.
    pub until: Micros,
    /// When the first front node is killed, so that sessions that play are handed over.
    pub kill_at: Micros,
}

impl HandOverFloodPlan {
    /// Draws the plan of a seed.
    pub fn from_seed(seed: u64) -> HandOverFloodPlan {
        let mut draws = Draws::new(seed ^ 0xf100d);
        let from = draws.between(1_200, 2_500) * MS;
        HandOverFloodPlan {
            connections: draws.pick(&[0, 0, 0, 1, 6, 24]),
            unlisted: draws.pick(&[0, 0, 30]),
            is_concentrated: draws.chance(50),
            from,
            until: from + draws.between(2_000, 4_000) * MS,
            kill_at: from + draws.between(0, 1_500) * MS,
        }
    }
}

impl Plan {
    /// Adds the kill of a front node that is flooded, and the places of the servers that a concentrated flood names.
    pub(crate) fn add_kill_in_flood(&mut self) {
        if self.hand_over_floods.connections > 0 {
            if self.hand_over_floods.is_concentrated {
                self.terms.cold.places = CONCENTRATED_PLACES;
            }
            self.faults.push((self.hand_over_floods.kill_at, Fault::Kill(0)));
            self.faults.sort_by_key(|(at, _)| *at);
        }
    }
}

impl Rig {
    /// Schedules the clients that make sessions up.
    pub(crate) fn schedule_hand_over_floods(&mut self) {
        let plan = self.plan.hand_over_floods;
        for node in 0..self.plan.nodes.min(FLOODED_NODES) {
            (0..plan.connections)
                .for_each(|_| self.schedule_at(plan.from, Action::StartHandOverFlood { node }));
        }
    }

    /// Connects a client that makes sessions up.
    pub(crate) fn start_hand_over_flood(&mut self, node: usize) {
        if self.now() >= self.plan.hand_over_floods.until {
            return;
        }
        let is_up = self.nodes[node].accepts_connections(self.now());
        match is_up.then(|| self.connect_client(node, true)).flatten() {
            Some(client) => self.hand_over_made_up(node, client),
            None => self.schedule_in(RECONNECT_PAUSE, Action::StartHandOverFlood { node }),
        }
    }

    /// Writes the next hand-overs of a client.
    pub(crate) fn hand_over_made_up(&mut self, node: usize, client: u64) {
        if self.now() >= self.plan.hand_over_floods.until {
            return;
        }
        let token = self.clients.get(&client).map(|client| client.token);
        let Some((token, endpoint)) = token.and_then(|token| Some((token, self.endpoints.get(&token)?)))
        else {
            return self.schedule_in(RECONNECT_PAUSE, Action::StartHandOverFlood { node });
        };
        if endpoint.unsent.len() < MAX_UNSENT_BYTES {
            let mut bytes = Vec::new();
            let of_all = HAND_OVERS_PER_INTERVAL * self.plan.cpu_percent / 100;
            for _ in 0..of_all / self.plan.hand_over_floods.connections {
                bytes.extend(self.made_up_hand_over());
            }
            self.write(token, &bytes);
        }
        self.schedule_in(WRITE_INTERVAL, Action::HandOverMadeUp { node, client });
    }

    fn made_up_hand_over(&mut self) -> Vec<u8> {
        let id = self.flood_draws.between(1, 1 << 32);
        let server = match self.flood_draws.chance(self.plan.hand_over_floods.unlisted) {
            true => self.flood_draws.between(FIRST_UNLISTED_SERVER, 2 * FIRST_UNLISTED_SERVER) as u32,
            false => {
                let count = u64::from(self.plan.servers);
                let number = match self.plan.hand_over_floods.is_concentrated {
                    true => {
                        u64::from(self.plan.hot_servers.0) + self.flood_draws.between(0, CONCENTRATED_SERVERS)
                    }
                    false => self.flood_draws.between(0, count),
                };
                self.servers[(number % count) as usize].id
            }
        };
        let home = self.home(RequestOrigin::Crowd);
        self.set_up_message(id, 0, 4 * SECOND, home, id, Some(server)).bytes()
    }

    /// The load that a server notes while sessions are made up.
    pub(crate) fn noted_load_in_flood(&mut self) -> Option<u64> {
        let plan = self.plan.hand_over_floods;
        let is_flooded = plan.connections > 0 && (plan.from..plan.until + SECOND).contains(&self.now());
        is_flooded.then(|| self.flood_draws.between(NOTED_LOAD.0, NOTED_LOAD.1))
    }
}
