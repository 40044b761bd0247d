//! Discovery: numbered list events, sent to front nodes on connections that fail.

use std::collections::BTreeMap;
use std::io;

use crate::record::{Event, Micros};
use crate::rig::{Action, Rig, Role};
use crate::wire::{list_frame, ListRecord, ListState};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// Number of the first event, which is the full list.
const FIRST_EVENT: u64 = 40;
/// While discovery is down, an event counts as announced this long after the start of the outage.
const ANNOUNCED_AFTER_BREAK: Micros = 2 * SECOND;
/// While discovery is silent, an event counts as announced this long after the start of the silence, and while it sends
/// slowly, this long after the event.
const ANNOUNCED_AFTER_SILENCE: Micros = 4 * SECOND;
/// If the outage or silence lasts longer than these limits, an event counts as announced this long after its end, and
/// without an outage, this long after the event if no follower is connected.
const ANNOUNCED_AFTER_REACHABLE: Micros = 6 * SECOND;
/// An event counts as announced no earlier than this long after a reload.
const ANNOUNCED_AFTER_RELOAD: Micros = 4 * SECOND;
const OLD_CLOSE_DELAY: Micros = 1_500 * MS;
/// Slow mode: number of fragments of a frame, and the pause between two.
const SLOW_FRAGMENTS: usize = 8;
const SLOW_PAUSE: Micros = 200 * MS;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Normal,
    /// Start and end of the outage.
    Down(Micros, Micros),
    /// Start and end of the silence.
    Silent(Micros, Micros),
    /// End of the slow mode.
    Slow(Micros),
}

struct ListEvent {
    servers: Vec<u32>,
    is_full: bool,
}

/// A connection that has sent its request.
struct Follower {
    last_sent: u64,
    /// End of the writes that are already scheduled.
    busy_until: Micros,
}

/// List events and their followers.
pub(crate) struct Discovery {
    events: Vec<ListEvent>,
    mode: Mode,
    followers: BTreeMap<u64, Follower>,
    /// Index of the discovery address of each front node, and the time of the reload that set it.
    addresses: BTreeMap<usize, (usize, Option<Micros>)>,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery {
            events: Vec::new(),
            mode: Mode::Normal,
            followers: BTreeMap::new(),
            addresses: BTreeMap::new(),
        }
    }
}

impl Discovery {
    pub fn last_event(&self) -> u64 {
        FIRST_EVENT + self.events.len() as u64
    }

    pub fn address_index(&self, node: usize) -> usize {
        self.addresses.get(&node).map_or(0, |(address_index, _)| *address_index)
    }

    pub fn connection_ended(&mut self, token: u64) {
        self.followers.remove(&token);
    }

    /// Adapts to a reset of the trial's clock.
    pub fn restart_clock(&mut self) {
        self.followers.values_mut().for_each(|follower| follower.busy_until = 0);
    }
}

impl Rig {
    pub(crate) fn start_discovery(&mut self) -> io::Result<()> {
        for node in 0..self.plan.nodes {
            self.listen_as_discovery(node)?;
        }
        self.schedule_at(0, Action::Heartbeat);
        Ok(())
    }

    fn listen_as_discovery(&mut self, node: usize) -> io::Result<u64> {
        let address_index = self.discovery.address_index(node);
        self.listen(
            Role::DiscoveryListener { address_index, node },
            self.addresses.discovery(address_index, node),
            128,
        )
    }

    pub(crate) fn list_records(&self, servers: &[u32], node: usize) -> Vec<ListRecord> {
        servers.iter().flat_map(|number| self.records_of(*number, node)).collect()
    }

    /// What the list says of a server and of the ids that it has had.
    fn records_of(&self, number: u32, node: usize) -> Vec<ListRecord> {
        let server = &self.servers[number as usize];
        let record = |id, state, started: Option<Micros>| ListRecord {
            id,
            address: self.addresses.server(number, node),
            state,
            cell: number as u16,
            started_ms: started.map_or(0, |at| self.unix_ms(at)),
        };
        let gone = server.gone_ids.iter().map(|id| record(*id, ListState::Gone, None));
        let replaced = server.replaced_id.map(|id| record(id, ListState::Ready, None));
        let current = (!server.is_unlisted).then(|| record(server.id, server.state, server.listed_start));
        gone.chain(replaced).chain(current).collect()
    }

    /// Servers in the full list.
    pub(crate) fn listed(&self) -> Vec<u32> {
        (0..self.plan.servers).filter(|at| self.servers[*at as usize].state != ListState::Gone).collect()
    }

    pub(crate) fn discovery_received(&mut self, token: u64, bytes: &[u8]) {
        let Ok(number) = <[u8; 8]>::try_from(bytes) else { return };
        let last = u64::from_be_bytes(number).max(FIRST_EVENT);
        self.discovery.followers.insert(token, Follower { last_sent: last, busy_until: 0 });
        let heartbeat = list_frame(last, &[], false);
        self.send_frame(token, &heartbeat);
        self.send_new_events(token);
    }

    /// Publishes the current state of these servers as an event.
    pub(crate) fn publish_change(&mut self, servers: &[u32]) {
        self.add_event(servers.to_vec(), false);
    }

    pub(crate) fn publish_full_list(&mut self) {
        self.add_event(self.listed(), true);
    }

    pub(crate) fn republish(&mut self, count: u32) {
        let from = self.draws.between(0, u64::from(self.plan.servers)) as u32;
        let listed = self.listed();
        let selected: Vec<u32> =
            listed.into_iter().cycle().skip(from as usize).take(count as usize).collect();
        self.add_event(selected, false);
    }

    fn add_event(&mut self, servers: Vec<u32>, is_full: bool) {
        for node in 0..self.plan.nodes {
            let at = self.announced_at(node);
            for number in &servers {
                let (server, state) =
                    (self.servers[*number as usize].id, self.servers[*number as usize].state);
                let event = match state {
                    ListState::Ready => Event::AnnouncedReady { server, node },
                    ListState::Draining | ListState::Gone => Event::AnnouncedLeaving { server, node },
                };
                self.events.push((if state == ListState::Ready { self.now() } else { at }, event));
                if let Some(started) = self.servers[*number as usize].listed_start {
                    self.events.push((at, Event::StartAnnounced { server, node, started }));
                }
            }
        }
        self.discovery.events.push(ListEvent { servers, is_full });
        for token in self.discovery.followers.keys().copied().collect::<Vec<_>>() {
            self.send_new_events(token);
        }
    }

    /// Time at which an event that is published now counts as announced to a front node.
    fn announced_at(&self, node: usize) -> Micros {
        let now = self.now();
        let after_outage = |began: Micros, until: Micros, limit: Micros| {
            if until <= began + limit {
                (began + limit).max(now)
            } else {
                until + ANNOUNCED_AFTER_REACHABLE
            }
        };
        let reloaded_at = self.discovery.addresses.get(&node).and_then(|(_, reloaded_at)| *reloaded_at);
        let after_reload = reloaded_at.map_or(0, |reloaded_at| reloaded_at + ANNOUNCED_AFTER_RELOAD);
        let address_index = self.discovery.address_index(node);
        let is_current = |token: &u64| {
            self.endpoints
                .get(token)
                .is_some_and(|endpoint| endpoint.role == Role::Discovery { address_index, node })
        };
        let is_followed = self.discovery.followers.keys().any(is_current);
        let announced = match self.discovery.mode {
            Mode::Down(began, until) => after_outage(began, until, ANNOUNCED_AFTER_BREAK),
            Mode::Silent(began, until) => after_outage(began, until, ANNOUNCED_AFTER_SILENCE),
            Mode::Slow(_) => now + ANNOUNCED_AFTER_SILENCE,
            Mode::Normal if is_followed => now,
            Mode::Normal => now + ANNOUNCED_AFTER_REACHABLE,
        };
        announced.max(after_reload)
    }

    fn can_publish_on(&self, token: u64) -> bool {
        let Some(Role::Discovery { address_index, node }) =
            self.endpoints.get(&token).map(|endpoint| endpoint.role)
        else {
            return false;
        };
        address_index == self.discovery.address_index(node)
            && !matches!(self.discovery.mode, Mode::Down(..) | Mode::Silent(..))
    }

    fn send_new_events(&mut self, token: u64) {
        let Some(Role::Discovery { node, .. }) = self.endpoints.get(&token).map(|endpoint| endpoint.role)
        else {
            return;
        };
        while self.can_publish_on(token) {
            let last_event = self.discovery.last_event();
            let Some(follower) = self.discovery.followers.get_mut(&token) else { return };
            if follower.last_sent >= last_event {
                return;
            }
            follower.last_sent += 1;
            let number = follower.last_sent;
            let Some(event) = self.discovery.events.get((number - FIRST_EVENT - 1) as usize) else { return };
            let is_full = event.is_full;
            let mut records = self.list_records(&event.servers, node);
            records.retain(|record| !(is_full && record.state == ListState::Gone));
            let frame = list_frame(number, &records, is_full);
            self.send_frame(token, &frame);
        }
    }

    fn send_frame(&mut self, token: u64, frame: &[u8]) {
        let now = self.now();
        let slow = matches!(self.discovery.mode, Mode::Slow(_));
        let Some(follower) = self.discovery.followers.get_mut(&token) else { return };
        if !slow && follower.busy_until <= now {
            return self.write(token, frame);
        }
        let mut at = follower.busy_until.max(now);
        let fragments = if slow { SLOW_FRAGMENTS } else { 1 };
        let mut writes = Vec::new();
        for fragment in frame.chunks(frame.len().div_ceil(fragments)) {
            writes.push((at, fragment.to_vec()));
            at += if slow { SLOW_PAUSE } else { MS };
        }
        follower.busy_until = at;
        writes.into_iter().for_each(|(at, bytes)| self.schedule_at(at, Action::Write { token, bytes }));
    }

    /// Sends an empty frame to each follower and a test to each front node, every second.
    pub(crate) fn heartbeat(&mut self) {
        let now = self.now();
        for token in self.discovery.followers.keys().copied().collect::<Vec<_>>() {
            let Some(follower) = self.discovery.followers.get(&token) else { continue };
            let (last, is_free) = (follower.last_sent, follower.busy_until <= now);
            if self.can_publish_on(token) && is_free {
                self.write(token, &list_frame(last, &[], false));
            }
        }
        self.send_client_tests();
        self.schedule_in(SECOND, Action::Heartbeat);
    }

    // ---- Faults ----

    fn discovery_tokens(&self) -> Vec<u64> {
        self.tokens_where(|role| matches!(role, Role::Discovery { .. }))
    }

    fn discovery_listeners(&self) -> Vec<u64> {
        self.tokens_where(|role| matches!(role, Role::DiscoveryListener { .. }))
    }

    fn fail_discovery(&mut self, mode: Mode, duration: Micros) -> bool {
        if self.discovery.mode != Mode::Normal {
            return false;
        }
        self.discovery.mode = mode;
        self.schedule_in(duration, Action::RestoreDiscovery);
        true
    }

    pub(crate) fn discovery_down(&mut self, duration: Micros) {
        let now = self.now();
        if self.fail_discovery(Mode::Down(now, now + duration), duration) {
            self.discovery_listeners().into_iter().for_each(|token| self.close(token, false));
            self.discovery_tokens().into_iter().for_each(|token| self.close(token, true));
        }
    }

    pub(crate) fn discovery_silent(&mut self, duration: Micros) {
        let now = self.now();
        if self.fail_discovery(Mode::Silent(now, now + duration), duration) {
            let all = self.discovery_listeners().into_iter().chain(self.discovery_tokens());
            all.collect::<Vec<_>>().into_iter().for_each(|token| self.pause(token, true));
        }
    }

    pub(crate) fn discovery_slow(&mut self, duration: Micros) {
        let until = self.now() + duration;
        self.fail_discovery(Mode::Slow(until), duration);
    }

    pub(crate) fn restore_discovery(&mut self) {
        let previous = std::mem::replace(&mut self.discovery.mode, Mode::Normal);
        match previous {
            Mode::Down(..) => (0..self.plan.nodes).for_each(|node| drop(self.listen_as_discovery(node))),
            Mode::Silent(..) => {
                let all = self.discovery_listeners().into_iter().chain(self.discovery_tokens());
                all.collect::<Vec<_>>().into_iter().for_each(|token| self.pause(token, false));
            }
            // Scheduled writes go out at once.
            Mode::Slow(_) => {
                let followers: Vec<u64> = self.discovery.followers.keys().copied().collect();
                self.write_scheduled_now(&followers);
                self.discovery.followers.values_mut().for_each(|follower| follower.busy_until = 0);
            }
            Mode::Normal => {}
        }
        for token in self.discovery.followers.keys().copied().collect::<Vec<_>>() {
            self.send_new_events(token);
        }
    }

    /// Reloads a front node with another discovery address. The old address accepts no connection, sends nothing
    /// more, and closes its connections after [`OLD_CLOSE_DELAY`].
    pub(crate) fn reload(&mut self, node: usize) {
        if !self.nodes[node].may_be_signalled(self.now()) || matches!(self.discovery.mode, Mode::Down(..)) {
            return;
        }
        let old_index = self.discovery.address_index(node);
        let now = self.now();
        self.discovery.addresses.insert(node, (old_index + 1, Some(now)));
        let Ok(token) = self.listen_as_discovery(node) else { return };
        self.pause(token, matches!(self.discovery.mode, Mode::Silent(..)));
        let listeners =
            self.tokens_where(|role| role == Role::DiscoveryListener { address_index: old_index, node });
        listeners.into_iter().for_each(|token| self.close(token, false));
        self.schedule_in(OLD_CLOSE_DELAY, Action::CloseOldDiscovery { address_index: old_index, node });
        self.write_config(node);
        self.request_reload(node);
    }

    pub(crate) fn close_old_discovery(&mut self, address_index: usize, node: usize) {
        let connections = self.tokens_where(|role| role == Role::Discovery { address_index, node });
        connections.into_iter().for_each(|token| self.close(token, false));
    }
}
