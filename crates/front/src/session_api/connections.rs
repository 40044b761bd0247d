//! The open connections of players: admission control together with the sockets. Connections that are dropped
//! to make room are closed here.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use super::core::admission::{Admission, AdmissionCounts, AdmissionLimits, DropReason, Slot};
use super::outbox::Outbox;
use super::server::send_close;
use crate::clock::Clock;
use crate::core::ClientId;
use tungstenite::protocol::frame::coding::CloseCode;

/// The open connections of a front.
pub struct Connections {
    clock: Clock,
    state: Mutex<State>,
    /// Number of established connections, for readers that can do with a recent value.
    established: AtomicUsize,
}

struct State {
    admission: Admission,
    outboxes: BTreeMap<ClientId, Arc<Outbox>>,
}

impl Connections {
    /// No connections.
    pub fn new(clock: Clock, limits: AdmissionLimits) -> Connections {
        let state = State { admission: Admission::new(limits), outboxes: BTreeMap::new() };
        Connections { clock, state: Mutex::new(state), established: AtomicUsize::new(0) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a new connection to the handshake.
    ///
    /// # Errors
    /// Why it is rejected.
    pub fn begin_handshake(
        &self,
        id: ClientId,
        from: IpAddr,
        outbox: &Arc<Outbox>,
    ) -> Result<(), DropReason> {
        let mut state = self.lock();
        let dropped = state.admission.begin_handshake(self.clock.now(), id, from)?;
        state.outboxes.insert(id, Arc::clone(outbox));
        self.close_dropped(state, dropped);
        Ok(())
    }

    /// Updates the deadline of a handshake that began at `begun` and has received `bytes` so far.
    pub fn handshake_progress(&self, id: ClientId, (begun, bytes): (u64, u64)) {
        self.lock().admission.handshake_progress(id, begun, bytes);
    }

    /// Admits a connection whose handshake is complete.
    ///
    /// # Errors
    /// Why it is rejected.
    pub fn finish_handshake(&self, id: ClientId) -> Result<Slot, DropReason> {
        let mut state = self.lock();
        let (slot, dropped) = state.admission.finish_handshake(self.clock.now(), id)?;
        self.close_dropped(state, dropped);
        Ok(slot)
    }

    /// Records whether a player has sessions or pending opens.
    pub fn set_in_use(&self, id: ClientId, in_use: bool) {
        self.lock().admission.set_in_use(self.clock.now(), id, in_use);
    }

    /// Whether a player was admitted only to return to an existing session, and has not done so yet.
    pub fn in_reserve(&self, id: ClientId) -> bool {
        self.lock().admission.in_reserve(id)
    }

    /// Removes a connection that has ended.
    pub fn remove(&self, id: ClientId) {
        let mut state = self.lock();
        state.admission.remove(id);
        state.outboxes.remove(&id);
        self.established.store(state.admission.established(), Ordering::Relaxed);
    }

    /// Number of established connections.
    pub fn established(&self) -> usize {
        self.established.load(Ordering::Relaxed)
    }

    /// Connections by state, and the number of dropped ones.
    pub fn counts(&self) -> AdmissionCounts {
        self.lock().admission.counts()
    }

    fn close_dropped(&self, mut state: MutexGuard<'_, State>, dropped: Option<(ClientId, DropReason)>) {
        self.established.store(state.admission.established(), Ordering::Relaxed);
        let Some((id, reason)) = dropped else { return };
        let Some(outbox) = state.outboxes.remove(&id) else { return };
        drop(state);
        tracing::debug!(client = id.0, why = ?reason, "makes room for another");
        if reason == DropReason::Handshake {
            // No close frame before the handshake is complete. The thread that reads the connection finds its
            // end.
            outbox.close();
        } else {
            send_close(&outbox, CloseCode::Again, "the front is full, and this connection holds nothing");
            outbox.finish();
            outbox.stop_reading();
        }
    }
}
