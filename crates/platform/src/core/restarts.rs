//! Media servers whose processes may have been replaced before the list says so.
//!
//! When a process dies, its connections are reset and its sessions are cut. If another one listens at its address at
//! once, perhaps under another id, the node finds a server that is alive:
//!
//! - The sessions of the old process are over, and nobody reports their ends. A reset of the last connection alone does
//!   not prove it. But a server regularly sends notes on the sessions that it holds, to each front node. If it has sent
//!   none on a session from before the reset when an end has to be told, these sessions are taken for lost, and are
//!   released at the server in case they play on.
//! - What is set up under the old id after the start of the new process may run there. When the list says that another
//!   server has the address of the old one, the clients are told that their sessions are over, and the new process is told
//!   to release them: those that were set up after its stated start, or after a reset that was seen.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use salttally::interface::{Micros, ServerId};

use super::listed_servers::RemovedServer;
use super::{cause, Command, Core, Decider, Level, SessionEntry, Timer, END_NOTICE_LIMIT};

/// The connections of a process that dies are reset at one instant, and the resets are read within this time.
const RESET_SPREAD: Micros = 200_000;
/// How long sessions at an address that no listed server has are remembered.
const ADDRESS_RETENTION: Micros = END_NOTICE_LIMIT;
/// Maximum number of such sessions.
const MAX_SESSIONS_AT_ADDRESSES: usize = 4_096;

/// The servers whose processes may have been replaced.
#[derive(Clone, Debug, Default)]
pub(super) struct Restarts {
    /// When the latest resets of connections to each listed server began.
    resets_began: BTreeMap<ServerId, Micros>,
    /// When the last connection to each listed server was reset, if ever.
    last_reset: BTreeMap<ServerId, Micros>,
    /// The same for the resets since which a server has sent nothing on a session from before.
    unproven: BTreeMap<ServerId, BTreeSet<Micros>>,
    /// Sessions that were set up at an address whose server is gone from the list.
    at_address: BTreeMap<(SocketAddr, u64), SessionAtAddress>,
}

/// A session that is over here and may run at the process that has the address of its server.
#[derive(Clone, Copy, Debug)]
struct SessionAtAddress {
    sent_at: Micros,
    /// Its set-up was sent after the last connection to its server was reset, or the process was replaced at an unknown time.
    is_suspect: bool,
    expires_at: Micros,
}

impl<D: Decider> Core<D> {
    /// A server has reset a connection. If it was the last one, its process may have died.
    pub(super) fn connection_reset(&mut self, server: ServerId) {
        if !self.servers.contains(server) {
            return;
        }
        let began = self.restarts.resets_began.entry(server).or_insert(self.now);
        if *began + RESET_SPREAD < self.now {
            *began = self.now;
        }
        // A connection that was established after the first of these resets may be one to another process.
        if self.pool.is_up_since(server, *began) {
            return;
        }
        self.restarts.last_reset.insert(server, self.now);
        if let Some(timeout) = self.note_timeout().filter(|_| self.health.holds_sessions(server)) {
            self.restarts.unproven.entry(server).or_default().insert(self.now);
            self.timers.set(self.now + timeout, Timer::RestartProof(server));
        }
    }

    /// A server has sent something about this session: if the session is from before the reset, so is the process.
    pub(super) fn session_reported(&mut self, server: ServerId, id: u64) {
        let Some(resets) = self.restarts.unproven.get_mut(&server) else { return };
        let Some(entry) = self.sessions.get(&id) else { return };
        resets.retain(|reset_at| !plays_since(entry, server, *reset_at));
    }

    /// A server has sent nothing on its sessions since its last connection was reset: they are over.
    pub(super) fn end_unproven_sessions(&mut self, server: ServerId, out: &mut Vec<Command>) {
        let Some(timeout) = self.note_timeout() else { return };
        let Some(resets) = self.restarts.unproven.get_mut(&server) else { return };
        let later = resets.split_off(&(self.now.saturating_sub(timeout) + 1));
        let due = std::mem::replace(resets, later);
        let Some(reset_at) = due.last().copied() else { return };
        let is_lost = |entry: &SessionEntry| plays_since(entry, server, reset_at);
        let lost: Vec<u64> =
            self.sessions.at(server).filter(|(_, entry)| is_lost(entry)).map(|(id, _)| id).collect();
        if lost.is_empty() {
            return;
        }
        let text = format!("server s-{:08x}: no word on its sessions since it was reset", server.0);
        out.push(Command::Log(Level::Info, text));
        for id in lost {
            self.release_at_server(id, cause::BROKEN, out);
            if let Some(entry) = self.sessions.get_mut(&id) {
                entry.over_since = Some(reset_at);
            }
        }
        self.end_lost_sessions(server, is_lost, out);
    }

    /// A server is gone from the list: what was set up under its id may run at another process that has its address.
    pub(super) fn remember_sessions_at(&mut self, server: &RemovedServer, out: &mut Vec<Command>) {
        self.restarts.resets_began.remove(&server.id);
        self.restarts.unproven.remove(&server.id);
        let reset_at = self.restarts.last_reset.remove(&server.id);
        let expires_at = self.now + ADDRESS_RETENTION;
        for (id, entry) in self.sessions.at(server.id) {
            let Some(playing) = entry.session.playing() else { continue };
            let sent_at = playing.attempt.sent_at;
            let is_after_reset = reset_at.is_some_and(|reset_at| sent_at >= reset_at);
            let is_suspect = is_after_reset || server.is_replaced_since_unknown;
            if self.restarts.at_address.len() < MAX_SESSIONS_AT_ADDRESSES {
                let session = SessionAtAddress { sent_at, is_suspect, expires_at };
                self.restarts.at_address.insert((server.address, id), session);
            } else if is_suspect {
                out.push(forgotten_at(server.address, id, "too many are remembered"));
            }
        }
    }

    /// Sessions that were handed over under the id of a replaced server are lost: an earlier process of this node may have
    /// set them up at the successor.
    pub(super) fn release_handed_over_at_successor(&mut self, server: ServerId, out: &mut Vec<Command>) {
        let Some(successor) = self.servers.successor(server) else { return };
        for id in self.sessions.at(server).map(|(id, _)| id).collect::<Vec<_>>() {
            self.release_at(id, successor, cause::BROKEN, out);
        }
    }

    /// The server at which an attempt may run: if the server that it was sent to is gone from the list, the one that is
    /// listed at its address.
    pub(super) fn server_of_attempt(&self, id: u64, server: ServerId) -> ServerId {
        if self.servers.contains(server) {
            return server;
        }
        let attempt = self.sessions.get(&id).and_then(|entry| entry.session.current_attempt());
        attempt.and_then(|attempt| self.servers.at(attempt.address)).unwrap_or(server)
    }

    /// Releases what was set up under the ids of servers that are gone, at those that are listed at their addresses.
    pub(super) fn release_at_successors(&mut self, out: &mut Vec<Command>) {
        let now = self.now;
        self.restarts.at_address.retain(|(address, id), session| {
            if session.expires_at <= now && session.is_suspect {
                out.push(forgotten_at(*address, *id, "no successor is listed in time"));
            }
            now < session.expires_at
        });
        let sessions = self.restarts.at_address.iter();
        let listed = sessions.filter_map(|((address, id), session)| {
            let successor = self.servers.at(*address)?;
            Some((*address, *id, successor, *session))
        });
        for (address, id, successor, session) in listed.collect::<Vec<_>>() {
            self.restarts.at_address.remove(&(address, id));
            let started = self.servers.started(successor);
            if session.is_suspect || started.is_some_and(|started| session.sent_at >= started) {
                self.release_at(id, successor, cause::BROKEN, out);
            }
        }
    }
}

/// The log line for a session at an address that is not released any more.
fn forgotten_at(address: SocketAddr, id: u64, why: &str) -> Command {
    Command::Log(Level::Info, format!("session {id:016x}: its release at {address} is given up: {why}"))
}

/// Whether this session plays at a server since before `reset_at`.
fn plays_since(entry: &SessionEntry, server: ServerId, reset_at: Micros) -> bool {
    entry.plays_at(server) && entry.playing_since < reset_at
}
