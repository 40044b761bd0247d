//! The door with the sockets behind it: whoever must go for another is cut off here.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use super::core::admission::{AdmissionCounts, AdmissionLimits, Door, DropReason, Place};
use super::outbox::Outbox;
use super::server::farewell;
use crate::clock::Clock;
use crate::core::ClientId;
use tungstenite::protocol::frame::coding::CloseCode;

/// The door of a front and the ways to all who passed it.
pub struct Connections {
    clock: Clock,
    inner: Mutex<Inner>,
    /// Connections inside, for readers that need no more than about how many.
    inside: AtomicUsize,
}

struct Inner {
    door: Door,
    ways: BTreeMap<ClientId, Arc<Outbox>>,
}

impl Connections {
    /// Nobody is in.
    pub fn new(clock: Clock, limits: AdmissionLimits) -> Connections {
        let inner = Inner { door: Door::new(limits), ways: BTreeMap::new() };
        Connections { clock, inner: Mutex::new(inner), inside: AtomicUsize::new(0) }
    }

    fn hold(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A connection has come.
    ///
    /// # Errors
    /// Why it is turned away.
    pub fn knock(&self, id: ClientId, from: IpAddr, way: &Arc<Outbox>) -> Result<(), DropReason> {
        let mut inner = self.hold();
        let goes = inner.door.knock(self.clock.now(), id, from)?;
        inner.ways.insert(id, Arc::clone(way));
        self.out(inner, goes);
        Ok(())
    }

    /// A handshake that began then has brought so many bytes.
    pub fn progress(&self, id: ClientId, (begun, bytes): (u64, u64)) {
        self.hold().door.progress(id, begun, bytes);
    }

    /// A handshake is whole.
    ///
    /// # Errors
    /// Why there is no place inside.
    pub fn enter(&self, id: ClientId) -> Result<Place, DropReason> {
        let mut inner = self.hold();
        let (place, goes) = inner.door.enter(self.clock.now(), id)?;
        self.out(inner, goes);
        Ok(place)
    }

    /// A player holds sessions or open calls from now on, or nothing any more.
    pub fn set_in_use(&self, id: ClientId, something: bool) {
        self.hold().door.set_in_use(self.clock.now(), id, something);
    }

    /// Whether a player was let into the reserve and has returned to nothing yet.
    pub fn in_reserve(&self, id: ClientId) -> bool {
        self.hold().door.in_reserve(id)
    }

    /// A connection has ended.
    pub fn left(&self, id: ClientId) {
        let mut inner = self.hold();
        inner.door.left(id);
        inner.ways.remove(&id);
        self.inside.store(inner.door.inside(), Ordering::Relaxed);
    }

    /// Connections inside.
    pub fn inside(&self) -> usize {
        self.inside.load(Ordering::Relaxed)
    }

    /// What stands where, and what was turned away.
    pub fn counts(&self) -> AdmissionCounts {
        self.hold().door.counts()
    }

    fn out(&self, mut inner: MutexGuard<'_, Inner>, goes: Option<(ClientId, DropReason)>) {
        self.inside.store(inner.door.inside(), Ordering::Relaxed);
        let Some((id, why)) = goes else { return };
        let Some(way) = inner.ways.remove(&id) else { return };
        drop(inner);
        tracing::debug!(client = id.0, ?why, "makes room for another");
        if why == DropReason::Shaking {
            // It has not been promised anything; its thread wakes with an end of the connection.
            way.close();
        } else {
            farewell(&way, CloseCode::Again, "the front is full, and this connection holds nothing");
            way.end();
            way.stop_reading();
        }
    }
}
