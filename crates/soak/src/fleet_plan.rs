//! Plans of trials with many front nodes: series of signals beside servers that start, and crowds that follow.

use crate::plan::{Draws, Fault, Overrides, Plan};
use crate::record::{ColdTerms, Micros};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// Duration of the request load.
const REQUEST_PERIOD: Micros = 13 * SECOND;
/// Time for the last answers and restarts.
const FINAL_PERIOD: Micros = 5_500 * MS;
/// Time between the first fault of two rounds.
const ROUND_INTERVAL: Micros = 6 * SECOND;
/// The servers that start together are neighbours, so that few others hold the titles in their midst.
const MAX_STARTING_SERVERS: u64 = 7;
const DISCOVERY_FAULT_PERCENT: u64 = 40;

impl Plan {
    /// Draws the plan of a seed for many front nodes.
    pub fn fleet_from_seed(seed: u64, overrides: Overrides) -> Plan {
        let mut plan = Plan::from_seed(seed, Overrides { cpu_percent: Some(100), ..overrides });
        let mut draws = Draws::new(seed ^ 0xf1ee7);
        plan.nodes = draws.between(30, 41) as usize;
        plan.servers = overrides.servers.unwrap_or(draws.between(24, 31) as u32);
        plan.racks = 0;
        plan.rate = draws.between(1, 4);
        plan.copies = draws.pick(&[1, 2, 3]);
        plan.crowd = 0;
        plan.client_behavior.abusive = 0;
        plan.departures.is_replaced_at_once = false;
        plan.departures.half_requests = 0;
        plan.terms.cold = ColdTerms {
            places: draws.pick(&[30, 51, 51, 100]),
            warm_up: draws.pick(&[5, 8, 12]) * SECOND,
            cold_from: draws.pick(&[0.4, 0.5]),
            fall_multiple: 3.0,
            window: 1_500 * MS,
        };
        plan.hot_servers = (draws.between(0, u64::from(plan.servers)) as u32, 3);
        plan.restart_delay = draws.between(100, 3_000) * MS;
        plan.listing_delay = draws.between(100, 2_000) * MS;
        plan.faults.clear();
        let rounds = [false, draws.chance(50)];
        for (round, is_planned) in rounds.into_iter().enumerate() {
            let begins = draws.between(800, 2_000) * MS + round as Micros * ROUND_INTERVAL;
            plan.add_round(begins, is_planned, &mut draws);
        }
        plan.add_kill_in_flood();
        plan.add_early_successors();
        plan.requests_until = REQUEST_PERIOD;
        plan.ends = REQUEST_PERIOD + FINAL_PERIOD;
        plan
    }

    /// Adds a round: most front nodes end together, servers start beside them, and crowds ask for what these hold.
    fn add_round(&mut self, begins: Micros, is_planned: bool, draws: &mut Draws) {
        let percent = draws.pick(&[0, 70, 100]);
        for node in (0..self.nodes).filter(|_| draws.chance(percent)).collect::<Vec<_>>() {
            let at = begins + draws.between(0, 100) * MS;
            self.faults.push((at, if is_planned { Fault::Restart(node) } else { Fault::Kill(node) }));
        }
        let first = self.hot_servers.0;
        let (starting, down_for) = (draws.between(3, MAX_STARTING_SERVERS), draws.between(100, 700) * MS);
        let dies = begins + draws.between(0, 1_000) * MS;
        for server in (0..starting).map(|next| (first + next as u32) % self.servers) {
            self.faults.push((dies, Fault::ServerDies(server, Some(down_for))));
        }
        if draws.chance(DISCOVERY_FAULT_PERCENT) {
            let duration = draws.between(500, 4_000) * MS;
            let fault = draws.pick(&[
                Fault::DiscoveryDown(duration),
                Fault::DiscoverySilent(duration),
                Fault::DiscoverySlow(duration),
                Fault::FullList,
            ]);
            self.faults.push((begins + draws.between(0, 2_500) * MS, fault));
        }
        let listed = dies + down_for + self.listing_delay;
        for _ in 0..3 {
            let at = listed + draws.between(0, 3_000) * MS;
            let requests = draws.between(2, 15);
            self.faults.push((at, Fault::Crowd { requests, duration: draws.between(50, 1_500) * MS }));
        }
        for node in 0..self.nodes {
            if draws.chance(20) {
                self.faults.push((listed + draws.between(500, 3_000) * MS, Fault::Reload(node)));
            }
        }
    }
}
