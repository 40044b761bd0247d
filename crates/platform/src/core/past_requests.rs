//! Requests that are over and of which a second copy can still arrive.
//!
//! Their number is bounded, and the bound is shared out among the connections that they came on: a client cannot use it up
//! at the expense of others.

use std::collections::{BTreeMap, BTreeSet};

use salttally::interface::{Effect, Micros, ServerId};

use super::in_doubt::DoubtfulAttempt;
use super::resends::RequestDigest;
use super::shares::Shares;
use super::{ClientId, ConnId};

/// Maximum number of past requests of classes that must run at most once. New requests of such classes are
/// refused while as many are remembered.
const MAX_PAST_REQUESTS: usize = 16_384;
/// Above this number of past requests, a connection that has its equal part of it gets no further request of such a class.
const SHARED_PAST_REQUESTS: usize = MAX_PAST_REQUESTS / 2;
/// Maximum number of past requests at which further ones of other classes are remembered. Above it, the connection with the
/// most of them makes room.
const MAX_REPEATABLE_PAST_REQUESTS: usize = MAX_PAST_REQUESTS / 2;
/// Maximum number of past requests at which further hand-overs are remembered: a second copy of one wants no answer, and any
/// client may send as many as it likes.
const MAX_PAST_HAND_OVERS: usize = MAX_PAST_REQUESTS / 4;

/// What is remembered of a request that is over.
#[derive(Clone, Debug)]
pub(super) struct PastRequest {
    /// The connection that its first copy came on.
    pub client: Option<ClientId>,
    pub digest: RequestDigest,
    pub effect: Effect,
    /// An attempt may have run.
    pub may_have_run: bool,
    /// Its session played.
    pub has_played: bool,
    /// Number of its attempts.
    pub attempts: u32,
    /// Attempts that may still run at their servers.
    pub in_doubt: Vec<DoubtfulAttempt>,
    /// The connections of its attempts.
    pub conns: Vec<ConnId>,
    /// End of its resend window.
    pub resend_until: Micros,
    /// When it is forgotten: its client does not wait for an answer any more.
    pub expires_at: Micros,
    /// Its client has handed its session over, which wants no answer.
    pub was_handed_over: bool,
}

impl PastRequest {
    /// Whether it must not be forgotten while a second copy can arrive.
    fn must_be_kept(&self) -> bool {
        self.effect == Effect::Once && self.may_have_run && !self.was_handed_over
    }

    /// Whether a second copy may be set up. A set-up that must run once is not repeated, nor one that is
    /// recognised only by some servers for some time, and a session that has played is not played again.
    pub fn may_start_over(&self) -> bool {
        !self.may_have_run || self.effect == Effect::Safe && !self.has_played
    }
}

/// The requests that are over and of which a second copy can still arrive.
#[derive(Clone, Debug, Default)]
pub(super) struct PastRequests {
    requests: BTreeMap<u64, PastRequest>,
    /// Those that must be kept, and the others.
    kept: Shares<BTreeSet<u64>>,
    repeatable: Shares<BTreeSet<u64>>,
    /// Those that were not remembered for lack of room.
    forgotten: Vec<u64>,
}

impl PastRequests {
    /// Whether no request that must run at most once may be accepted, since it could not be remembered.
    pub fn is_full(&self) -> bool {
        self.len() >= MAX_PAST_REQUESTS
    }

    /// Whether no further request that must run at most once may be accepted from this connection: it could not be
    /// remembered, or would take the room of others.
    pub fn is_full_for(&self, client: ClientId) -> bool {
        let own = self.kept.count(Some(client));
        let exceeds_share = own * self.kept.clients() >= SHARED_PAST_REQUESTS;
        self.is_full() || self.len() >= SHARED_PAST_REQUESTS && exceeds_share
    }

    /// Number of past requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// What is known of a past request.
    pub fn get(&self, id: u64) -> Option<&PastRequest> {
        self.requests.get(&id)
    }

    /// Number of attempts that were made for a past request.
    pub fn attempts(&self, id: u64) -> u32 {
        self.requests.get(&id).map_or(0, |past| past.attempts)
    }

    /// Removes and returns what is known of a past request.
    pub fn take(&mut self, id: u64) -> Option<PastRequest> {
        let past = self.requests.remove(&id)?;
        self.shares(&past).change(past.client, |ids| {
            ids.remove(&id);
        });
        Some(past)
    }

    /// The server has acknowledged the give-up or the release of this session.
    pub fn give_up_acknowledged(&mut self, id: u64, server: ServerId) {
        if let Some(past) = self.requests.get_mut(&id) {
            past.in_doubt.retain(|attempt| attempt.server != server);
        }
    }

    /// The server has closed this connection: the attempts given up on it are over.
    pub fn closed_by_server(&mut self, conn: ConnId, has_read_all: bool) {
        let is_left = |attempt: &DoubtfulAttempt| !attempt.ends_with(conn, has_read_all);
        self.requests.values_mut().for_each(|past| past.in_doubt.retain(is_left));
    }

    /// The attempts of a past request that may still run, if the request is remembered.
    pub fn in_doubt(&mut self, id: u64) -> Option<&mut Vec<DoubtfulAttempt>> {
        self.requests.get_mut(&id).map(|past| &mut past.in_doubt)
    }

    /// Requests that were not remembered for lack of room since the last call.
    pub fn take_forgotten(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.forgotten)
    }

    /// Remembers a request that is over, if there is room.
    pub fn remember(&mut self, id: u64, past: PastRequest) {
        self.take(id);
        let limit = if past.was_handed_over { MAX_PAST_HAND_OVERS } else { MAX_REPEATABLE_PAST_REQUESTS };
        if !past.must_be_kept() && self.len() >= limit && !self.makes_room_for(&past) {
            if !past.was_handed_over {
                self.forgotten.push(id);
            }
            return;
        }
        self.shares(&past).change(past.client, |ids| {
            ids.insert(id);
        });
        self.requests.insert(id, past);
    }

    /// Forgets a request of the connection with the most, if that has more than the one of this request.
    fn makes_room_for(&mut self, past: &PastRequest) -> bool {
        let own = self.repeatable.count(past.client);
        let largest = self.repeatable.largest_above(own + 1).filter(|_| !past.was_handed_over);
        let other = largest.and_then(|ids| ids.last().copied());
        let is_forgotten = other.is_some_and(|other| self.take(other).is_some());
        self.forgotten.extend(other);
        is_forgotten
    }

    fn shares(&mut self, past: &PastRequest) -> &mut Shares<BTreeSet<u64>> {
        if past.must_be_kept() {
            &mut self.kept
        } else {
            &mut self.repeatable
        }
    }
}
