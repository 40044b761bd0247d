//! Follows the box list: server-sent events over HTTP, first the whole list, then changes. Described in
//! `docs/box-api.md`. [`core`] holds the list. The decision module says when to follow it, and to follow it
//! again after a loss.

pub mod core;
pub mod lines;

use std::fs;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crossbeam_channel::Sender;
use salttally::interface::{ListKind, Micros};

use self::core::damping::FlapDamping;
use self::core::{BoxList, ListUpdate};
use crate::clock::Clock;
use crate::common::event_stream::follow;
use crate::common::messages::EngineMessage;
use crate::common::socket::{spawn, Socket};
use crate::core::{Input, ListEntry};
use crate::settings::Settings;

/// Follows the box list on a thread of its own.
pub struct ListFollower {
    settings: Arc<Settings>,
    engine: Sender<EngineMessage>,
    following: Arc<AtomicBool>,
    socket: Arc<Mutex<Arc<Socket>>>,
    state: Arc<Mutex<ListState>>,
    clock: Clock,
}

/// The list as received, and the lines that are withheld by flap damping.
struct ListState {
    list: BoxList,
    damping: FlapDamping,
    /// The list has changed since it was last saved.
    unsaved: bool,
    saved_at: Micros,
}

/// The list is saved at most this often, however fast it changes; a saved list counts as old in any case.
const SAVE_INTERVAL_US: Micros = 1_000_000;

impl ListFollower {
    /// Does not follow the list yet.
    pub fn new(
        settings: Arc<Settings>,
        engine: Sender<EngineMessage>,
        clock: Clock,
        started: Micros,
    ) -> ListFollower {
        let list = BoxList::new(started, settings.limits.clock_skew);
        let state = ListState { list, damping: FlapDamping::new(), unsaved: false, saved_at: 0 };
        ListFollower {
            settings,
            engine,
            following: Arc::default(),
            socket: Arc::default(),
            state: Arc::new(Mutex::new(state)),
            clock,
        }
    }

    /// Loads the list that was saved before a restart; empty if there is none. It may be old.
    pub fn load_remembered(&self) -> Vec<ListEntry> {
        let Some(path) = &self.settings.saved_list else { return Vec::new() };
        let Ok(text) = fs::read_to_string(path) else { return Vec::new() };
        match lines::parse(&text) {
            Ok(message) => lock(&self.state).list.restore(message.lines),
            Err(error) => {
                tracing::warn!(path = %path.display(), %error, "cannot use the saved box list");
                Vec::new()
            }
        }
    }

    /// Starts to follow the list, unless that is in progress.
    pub fn follow(&mut self) {
        if self.following.swap(true, Ordering::AcqRel) {
            return;
        }
        let thread = FollowThread {
            settings: Arc::clone(&self.settings),
            engine: self.engine.clone(),
            following: Arc::clone(&self.following),
            socket: Arc::default(),
            state: Arc::clone(&self.state),
            clock: self.clock,
        };
        *self.socket.lock().unwrap_or_else(PoisonError::into_inner) = Arc::clone(&thread.socket);
        let (following, engine) = (Arc::clone(&self.following), self.engine.clone());
        spawn("box-list", move || thread.run(), move || report_lost(&following, &engine));
    }

    /// Closes the connection and follows the list no more.
    pub fn close(&self) {
        self.following.store(true, Ordering::Release);
        self.socket.lock().unwrap_or_else(PoisonError::into_inner).close();
    }
}

fn report_lost(following: &AtomicBool, engine: &Sender<EngineMessage>) {
    // Cleared before the loss is reported, since the decision module answers the report by following the list
    // again.
    following.store(false, Ordering::Release);
    let _ = engine.send(EngineMessage::Input(Input::List(ListKind::FetchFailed, Vec::new())));
}

struct FollowThread {
    settings: Arc<Settings>,
    engine: Sender<EngineMessage>,
    following: Arc<AtomicBool>,
    socket: Arc<Socket>,
    state: Arc<Mutex<ListState>>,
    clock: Clock,
}

fn lock(state: &Mutex<ListState>) -> MutexGuard<'_, ListState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl FollowThread {
    fn run(self) {
        if let Ok(mut stream) = self.socket.connect(self.settings.box_list, &self.settings) {
            // Heartbeats come on this stream too; without any for this long the connection is given up.
            let read_timeout = std::time::Duration::from_micros(self.settings.limits.silence_timeout.max(1));
            let _ = stream.set_read_timeout(Some(read_timeout));
            let ended = follow(&mut stream, "/boxes", &self.settings, |event, _| {
                let update = match event {
                    None => Ok(()),
                    Some(event) => self.handle_event(&event.name, &event.data),
                };
                // Heartbeats come several times a second, often enough to check for settled boxes.
                self.release_settled();
                update
            });
            if let Some(reason) = ended {
                tracing::warn!("box list: {reason}");
            }
        }
        self.socket.close();
        lock(&self.state).list.on_disconnect();
        report_lost(&self.following, &self.engine);
    }

    /// Handles an event. A list that cannot be applied as a whole is not applied at all, and the old one
    /// stays.
    fn handle_event(&self, name: &str, data: &str) -> Result<(), String> {
        let message = lines::parse(data).map_err(|error| format!("not a list: {error}"))?;
        let now = self.clock.now();
        let mut state = lock(&self.state);
        let kind = match name {
            "whole" => ListKind::Complete,
            "changes" => ListKind::Changes,
            // A heartbeat; a newer list may also send messages of other kinds.
            _ => {
                let update = state.list.on_heartbeat(message.as_of);
                let update = update.map(|(kind, lines)| (kind, state.damping.filter(now, kind, lines)));
                drop(state);
                self.send(update);
                return Ok(());
            }
        };
        let applied = state.list.apply(kind, message.revision, message.as_of, message.lines);
        let update = applied.map_err(|error| error.to_string())?;
        state.unsaved = true;
        let update = update.map(|(kind, lines)| (kind, state.damping.filter(now, kind, lines)));
        drop(state);
        self.send(update);
        Ok(())
    }

    /// Reports boxes that have settled, and saves the list if that is due.
    fn release_settled(&self) {
        let now = self.clock.now();
        let mut state = lock(&self.state);
        if state.saved_at + SAVE_INTERVAL_US > now {
            return;
        }
        state.saved_at = now;
        let settled = state.damping.release_settled(now);
        let text = match &self.settings.saved_list {
            Some(_) if std::mem::take(&mut state.unsaved) => Some(lines::write(state.list.boxes())),
            _ => None,
        };
        drop(state);
        self.send((!settled.is_empty()).then_some((ListKind::Changes, settled)));
        if let (Some(path), Some(text)) = (&self.settings.saved_list, text) {
            if let Err(error) = write_atomically(path, &text) {
                tracing::warn!(path = %path.display(), %error, "cannot save the box list");
            }
        }
    }

    fn send(&self, update: Option<ListUpdate>) {
        // A whole list is also reported when it is empty.
        if let Some((kind, lines)) =
            update.filter(|(kind, lines)| *kind != ListKind::Changes || !lines.is_empty())
        {
            let _ = self.engine.send(EngineMessage::Input(Input::List(kind, lines)));
        }
    }
}

/// Writes a new file and renames it: if the front is killed meanwhile, either the old or the new list is
/// complete.
fn write_atomically(path: &Path, text: &str) -> std::io::Result<()> {
    let temporary = path.with_extension("new");
    fs::write(&temporary, text)?;
    fs::rename(&temporary, path)
}
