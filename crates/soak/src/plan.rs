//! The plan of a trial, drawn from its seed alone.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

use crate::crossings::CrossingPlan;
use crate::departures::DeparturePlan;
use crate::end_paths::EndPathPlan;
use crate::hand_over_floods::HandOverFloodPlan;
use crate::nodes::{KILL_DELAY, MAX_KILL_DEADLINE};
use crate::record::{ClassTerms, ColdTerms, Effect, Micros, RetryBudget, Terms};
use crate::replacements::ReplacementPlan;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const RESTART_DELAY: Micros = 80 * MS;
/// Duration of the request load.
const REQUEST_PERIOD: Micros = 7 * SECOND;
/// Servers of the largest fleet.
const LARGEST_FLEET: u32 = 3_200;
const SERVERS_PER_RACK: u32 = 9;
/// Percentage of requests and faults that fall on the hot servers.
const HOT_PERCENT: u64 = 70;
/// Number of hot servers whose processes are replaced at once.
const REPLACED_SERVERS: u32 = 8;
/// Maximum number of servers that are affected by a fault that spreads.
const MAX_SPREAD_SERVERS: u64 = 200;

/// Random draws of one trial.
pub struct Draws(Pcg32);

impl Draws {
    /// The draws of a seed.
    pub fn new(seed: u64) -> Draws {
        Draws(Pcg32::seed_from_u64(seed))
    }

    /// A number from `from` up to, not including, `to`.
    pub fn between(&mut self, from: u64, to: u64) -> u64 {
        from + self.0.next_u64() % (to - from).max(1)
    }

    /// True with the given probability, in percent.
    pub fn chance(&mut self, percent: u64) -> bool {
        self.between(0, 100) < percent
    }

    /// A random element.
    pub fn pick<T: Copy>(&mut self, options: &[T]) -> T {
        options[self.between(0, options.len() as u64) as usize]
    }
}

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process of a server dies, and restarts cold after this time or never.
    ServerDies(u32, Option<Micros>),
    /// A server does not read, answer or accept for this time.
    ServerHangs(u32, Micros),
    /// The machine of a server disappears for this time: open connections are silent, new ones are not established.
    ServerVanishes(u32, Micros),
    /// A server closes its idle connections.
    ServerClosesIdle(u32),
    /// A server resets all its connections.
    ServerResets(u32),
    /// A server loses the state of its idle connections: data on one is answered by a reset.
    ServerForgetsIdle(u32),
    /// A server resets all its connections, and each new one as soon as it is accepted, for some time.
    ServerResetsNew(u32),
    /// The process of a server dies, and another one with another id starts at its address.
    ServerReplaced(u32),
    /// A server is announced as leaving, and is gone after this time.
    ServerLeaves(u32, Micros),
    /// The full list is published again.
    FullList,
    /// This many servers are published again, unchanged.
    ListChanges(u32),
    /// Discovery closes its connections and refuses new ones for this time.
    DiscoveryDown(Micros),
    /// Discovery sends nothing on any connection for this time.
    DiscoverySilent(Micros),
    /// Discovery sends slowly for this time.
    DiscoverySlow(Micros),
    /// A reload of the configuration moves discovery to another address.
    Reload(usize),
    /// A planned restart: SIGTERM, then a kill at the earliest time that the protocol allows.
    Restart(usize),
    /// The process is killed without notice and restarts.
    Kill(usize),
    /// The process is suspended (SIGSTOP) for this time.
    Suspend(usize, Micros),
    /// All client connections to this front node are reset.
    CutClients(usize),
    /// The clients of each front node send this many more requests within this time, for titles of the first hot server.
    Crowd {
        /// Requests to each front node.
        requests: u64,
        /// Time within which they are sent.
        duration: Micros,
    },
}

impl Fault {
    /// The same fault at the server `places` further on; `None` for faults that affect no server.
    fn at_neighbour(self, places: u32, servers: u32) -> Option<Fault> {
        let next = |server: u32| (server + places) % servers;
        Some(match self {
            Fault::ServerDies(server, restart_after) => Fault::ServerDies(next(server), restart_after),
            Fault::ServerHangs(server, duration) => Fault::ServerHangs(next(server), duration),
            Fault::ServerVanishes(server, duration) => Fault::ServerVanishes(next(server), duration),
            Fault::ServerClosesIdle(server) => Fault::ServerClosesIdle(next(server)),
            Fault::ServerResets(server) => Fault::ServerResets(next(server)),
            Fault::ServerForgetsIdle(server) => Fault::ServerForgetsIdle(next(server)),
            Fault::ServerLeaves(server, duration) => Fault::ServerLeaves(next(server), duration),
            Fault::ServerResetsNew(server) => Fault::ServerResetsNew(next(server)),
            _ => return None,
        })
    }
}

/// Replies of servers to set-ups, each with its probability in percent; other set-ups are served in time.
#[derive(Clone, Copy, Debug)]
pub struct ServerBehavior {
    /// Answered after the attempt's time is over.
    pub late: u64,
    /// Refused as full or not sent, or failed with an error.
    pub refused: u64,
    /// Never answered.
    pub silent: u64,
    /// The connection is reset.
    pub reset: u64,
    /// The answer is malformed or truncated.
    pub malformed: u64,
    /// The answer is sent in fragments.
    pub fragments: u64,
    /// The answer is sent twice.
    pub duplicated: u64,
    /// An answer that would come too late is not sent at all.
    pub drops_late: u64,
}

/// Behavior of clients, each with its probability in percent unless stated otherwise.
#[derive(Clone, Copy, Debug)]
pub struct ClientBehavior {
    /// A request is given up early.
    pub gives_up: u64,
    /// A refused request is repeated at once.
    pub retries: u64,
    /// A request is written in fragments.
    pub fragments: u64,
    /// A session is ended by its client.
    pub ends: u64,
    /// A session that plays on after a kill is not handed over.
    pub drops_sessions: u64,
    /// A request has very little time left.
    pub short_deadlines: u64,
    /// Number of connections that send nothing or invalid input, over the trial.
    pub abusive: u64,
}

/// A class of the settings.
#[derive(Clone, Copy, Debug)]
pub struct ClassPlan {
    /// Name.
    pub name: &'static str,
    /// Terms that the judge checks.
    pub terms: ClassTerms,
    /// Target time of the set-up, ms.
    pub aim_ms: u64,
    /// Patience of its clients, ms.
    pub deadline_ms: u64,
}

/// Values that replace those drawn from the seed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Overrides {
    /// Number of listed servers.
    pub servers: Option<u32>,
    /// Share of a core, in percent.
    pub cpu_percent: Option<u64>,
    /// Whether the trial has many front nodes.
    pub is_fleet: bool,
}

/// The plan of a trial.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed.
    pub seed: u64,
    /// Number of front nodes.
    pub nodes: usize,
    /// Number of listed servers, one in each cell.
    pub servers: u32,
    /// Number of racks; 0 if the settings name none.
    pub racks: u32,
    /// Requests per second and front node.
    pub rate: u64,
    /// Number of cells that hold a title.
    pub copies: u64,
    /// The hot servers, which get most requests and faults: the first, and how many.
    pub hot_servers: (u32, u32),
    /// Classes.
    pub classes: Vec<ClassPlan>,
    /// Terms that the judge checks.
    pub terms: Terms,
    /// Connect timeout of the front nodes, ms.
    pub connect_ms: u64,
    /// Idle time after which servers close a connection, ms.
    pub idle_ms: u64,
    /// Share of a core, in percent; the process is suspended for the rest of each period.
    pub cpu_percent: u64,
    /// Delay of reads on the first connection of each front node to a server.
    pub read_delay: Micros,
    /// Whether servers acknowledge give-ups.
    pub acknowledges: bool,
    /// Behavior of servers.
    pub server_behavior: ServerBehavior,
    /// Behavior of clients.
    pub client_behavior: ClientBehavior,
    /// Connections that are cut while something is on its way.
    pub crossings: CrossingPlan,
    /// Clients that leave or fall silent while something is owed to them.
    pub departures: DeparturePlan,
    /// Messages of servers that may be taken for something else.
    pub end_paths: EndPathPlan,
    /// Clients that make sessions up.
    pub hand_over_floods: HandOverFloodPlan,
    /// Servers that are replaced at their addresses.
    pub replacements: ReplacementPlan,
    /// Additional abusive connections of each front node.
    pub crowd: u64,
    /// Time from the end of a process of a front node to its next start.
    pub restart_delay: Micros,
    /// Time from the start of a server's process to its listing.
    pub listing_delay: Micros,
    /// Faults and their times.
    pub faults: Vec<(Micros, Fault)>,
    /// End of the request load.
    pub requests_until: Micros,
    /// End of the trial.
    pub ends: Micros,
}

impl Plan {
    /// Draws the plan of a seed.
    pub fn from_seed(seed: u64, overrides: Overrides) -> Plan {
        let mut draws = Draws::new(seed);
        let is_large = draws.chance(30);
        let servers =
            if is_large { draws.pick(&[1_200, LARGEST_FLEET]) } else { draws.pick(&[6, 13, 40, 200]) };
        let servers = overrides.servers.unwrap_or(servers).max(1);
        let nodes = if is_large { 2 } else { draws.between(1, 4) as usize };
        let classes = classes(&mut draws);
        let longest_deadline = classes.iter().map(|class| class.deadline_ms).max().unwrap_or(0) * MS;
        let rate = draws.pick(&[15, 25, 40, 80]);
        let hot_servers = (draws.between(0, u64::from(servers)) as u32, servers.min(draws.pick(&[40, 200])));
        let terms = terms(&mut draws, &classes);
        let requests_until = REQUEST_PERIOD;
        let crossings = CrossingPlan::from_seed(seed);
        let departures = DeparturePlan::from_seed(seed);
        let end_paths = EndPathPlan::from_seed(seed);
        // A quarter of the trials, and those in which ends are lost, last until delayed notifications of session
        // ends (8 s) are due.
        let is_long =
            draws.chance(25) || crossings.ends > 0 || departures.delays_ends() || end_paths.unheard_moves > 0;
        let notified_by = if is_long { 8_300 * MS } else { 0 };
        let ends = requests_until + (longest_deadline + 1_200 * MS).max(notified_by);
        let has_racks = is_large || draws.chance(50);
        let mut plan = Plan {
            seed,
            nodes,
            servers,
            racks: if has_racks { servers.div_ceil(SERVERS_PER_RACK) } else { 0 },
            rate,
            copies: draws.pick(&[1, 1, 2, 3]),
            hot_servers,
            classes,
            terms,
            connect_ms: draws.pick(&[150, 250, 400]),
            idle_ms: draws.pick(&[1_500, 6_000, 15_000]),
            cpu_percent: draws.pick(&[100, 100, 50, 25]),
            read_delay: draws.pick(&[0, 0, 5, 20]) * MS,
            acknowledges: draws.chance(50),
            server_behavior: server_behavior(&mut draws),
            client_behavior: client_behavior(&mut draws),
            crossings,
            departures,
            end_paths,
            hand_over_floods: HandOverFloodPlan::from_seed(seed),
            replacements: ReplacementPlan::from_seed(seed),
            crowd: draws.pick(&[0, 0, 60, 200]),
            restart_delay: RESTART_DELAY,
            listing_delay: departures.replacement().map_or(0, |(_, listed_after)| listed_after),
            faults: Vec::new(),
            requests_until,
            ends,
        };
        plan.cpu_percent = overrides.cpu_percent.unwrap_or(plan.cpu_percent).clamp(1, 100);
        plan.draw_faults(&mut draws);
        plan.add_replacements();
        plan.add_resetting_servers();
        plan.add_kill_in_flood();
        plan.add_early_successors();
        if plan.end_paths.before_answer > 0 {
            // Front nodes have several connections to a server.
            plan.crossings.max_streams = 1;
        }
        plan.requests_until += plan.crossings.more_requests();
        plan.ends += plan.crossings.more_requests();
        plan
    }

    fn draw_faults(&mut self, draws: &mut Draws) {
        let count = draws.between(4, 14);
        for _ in 0..count {
            let at = draws.between(800 * MS, self.requests_until - 500 * MS);
            let fault = self.fault(draws);
            self.faults.push((at, fault));
            if draws.chance(30) {
                self.spread(at, fault, draws);
            }
        }
        if draws.chance(60) {
            // Restarts one front node after another while other faults occur.
            let first = draws.between(SECOND, 2 * SECOND);
            for node in 0..self.nodes {
                self.faults.push((first + node as u64 * 600 * MS, Fault::Restart(node)));
            }
        }
        if draws.chance(30) {
            let from = draws.between(SECOND, 4 * SECOND);
            self.faults.extend((0..20).map(|at| (from + at * 100 * MS, Fault::ListChanges(20))));
        }
        self.faults.sort_by_key(|(at, _)| *at);
    }

    /// Adds deaths of hot servers whose processes are replaced at once.
    fn add_replacements(&mut self) {
        if !self.departures.is_replaced_at_once {
            return;
        }
        let (first, count) = self.hot_servers;
        for place in 0..count.min(REPLACED_SERVERS) {
            let at = 2 * SECOND + Micros::from(place) * 300 * MS;
            self.faults.push((at, Fault::ServerDies((first + place) % self.servers, None)));
        }
        self.faults.sort_by_key(|(at, _)| *at);
    }

    /// Adds hot servers that reset each new connection.
    fn add_resetting_servers(&mut self) {
        let (first, count) = self.hot_servers;
        for place in 0..count.min(self.end_paths.resetting_servers) {
            let at = 2 * SECOND + Micros::from(place) * SECOND;
            self.faults.push((at, Fault::ServerResetsNew((first + place) % self.servers)));
        }
        self.faults.sort_by_key(|(at, _)| *at);
    }

    /// Repeats a fault at neighbouring servers, all at once or one after another.
    fn spread(&mut self, at: Micros, fault: Fault, draws: &mut Draws) {
        let part = u64::from(self.servers) * draws.pick(&[5, 20, 40]) / 100;
        let gap = draws.pick(&[0, 2, 20]) * MS;
        for next in 1..part.min(MAX_SPREAD_SERVERS) {
            if let Some(fault) = fault.at_neighbour(next as u32, self.servers) {
                self.faults.push((at + next * gap, fault));
            }
        }
    }

    /// A random server, most often a hot one.
    pub fn server(&self, draws: &mut Draws) -> u32 {
        let (first, count) = self.hot_servers;
        match draws.chance(HOT_PERCENT) {
            true => (first + draws.between(0, u64::from(count)) as u32) % self.servers,
            false => draws.between(0, u64::from(self.servers)) as u32,
        }
    }

    fn fault(&self, draws: &mut Draws) -> Fault {
        let server = self.server(draws);
        let node = draws.between(0, self.nodes as u64) as usize;
        let duration = draws.between(200, 3_000) * MS;
        match draws.between(0, 18) {
            0 | 1 => Fault::ServerDies(server, draws.chance(60).then_some(duration)),
            2 | 3 => Fault::ServerHangs(server, duration),
            4 => Fault::ServerVanishes(server, duration),
            5 => Fault::ServerClosesIdle(server),
            6 => Fault::ServerResets(server),
            7 | 8 => Fault::ServerLeaves(server, duration),
            9 => Fault::FullList,
            10 => Fault::DiscoveryDown(duration),
            11 => Fault::DiscoverySilent(duration),
            12 => Fault::DiscoverySlow(duration),
            13 => Fault::Reload(node),
            14 => Fault::Kill(node),
            15 if self.cpu_percent == 100 => Fault::Suspend(node, draws.between(100, 1_200) * MS),
            16 => Fault::CutClients(node),
            17 => Fault::ServerForgetsIdle(server),
            _ => Fault::Restart(node),
        }
    }

    /// The longest deadline of the classes.
    pub fn longest_deadline(&self) -> Micros {
        self.classes.iter().map(|class| class.deadline_ms * MS).max().unwrap_or(0)
    }
}

fn classes(draws: &mut Draws) -> Vec<ClassPlan> {
    let mut class = |name, effect, floor, top| {
        let deadline_ms = draws.pick(&[700, 1_200, 1_500, 2_500, 3_500]);
        let aim_ms = deadline_ms * draws.between(30, 60) / 100;
        ClassPlan { name, terms: ClassTerms { effect, floor, top }, aim_ms, deadline_ms }
    };
    vec![class("briefing", Effect::Safe, 0, 1), class("signoff", Effect::Once, 1, 2)]
}

fn terms(draws: &mut Draws, classes: &[ClassPlan]) -> Terms {
    let longest_deadline = classes.iter().map(|class| class.deadline_ms * MS).max().unwrap_or(0);
    Terms {
        classes: classes.iter().map(|class| class.terms).collect(),
        max_attempts: draws.pick(&[2, 3, 5]),
        drain_grace: draws.pick(&[300, 500, 1_000, 2_000]) * MS,
        cold: ColdTerms {
            places: 40,
            warm_up: 2 * SECOND,
            cold_from: 0.5,
            fall_multiple: 3.0,
            window: 1_500 * MS,
        },
        budget: draws.chance(30).then_some(RetryBudget { window: 2 * SECOND, free: 4.0, share: 0.2 }),
        sockets: draws.pick(&[160, 256, 512]) as usize,
        memory_mb: 64,
        kill_after: longest_deadline.min(MAX_KILL_DEADLINE) + KILL_DELAY,
    }
}

fn server_behavior(draws: &mut Draws) -> ServerBehavior {
    let mut maybe = |max: u64| if draws.chance(50) { draws.between(0, max) } else { 0 };
    ServerBehavior {
        late: maybe(20),
        refused: maybe(20),
        silent: maybe(10),
        reset: maybe(10),
        malformed: maybe(8),
        fragments: maybe(30),
        duplicated: maybe(10),
        drops_late: maybe(100),
    }
}

fn client_behavior(draws: &mut Draws) -> ClientBehavior {
    let mut maybe = |max: u64| if draws.chance(50) { draws.between(0, max) } else { 0 };
    ClientBehavior {
        gives_up: maybe(25),
        retries: maybe(50),
        fragments: maybe(30),
        ends: maybe(50),
        abusive: maybe(40),
        drops_sessions: maybe(20),
        short_deadlines: maybe(20),
    }
}
