//! Follows the box list: server-sent events over HTTP, first the whole list, then changes. Described in
//! `docs/box-api.md`. [`core`] holds the list; when to follow it, and to follow it again after a loss, is the
//! module's word.

pub mod core;
pub mod lines;

use std::fs;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crossbeam_channel::Sender;
use salttally::interface::{ListKind, Micros};

use self::core::damping::Damping;
use self::core::{Listing, Told};
use crate::clock::Clock;
use crate::core::{Input, Listed};
use crate::inside::follow::follow;
use crate::inside::messages::Msg;
use crate::inside::socket::{spawn, Socket};
use crate::settings::Settings;

/// Follows the list while it is told to.
pub struct Follower {
    settings: Arc<Settings>,
    engine: Sender<Msg>,
    following: Arc<AtomicBool>,
    socket: Arc<Mutex<Arc<Socket>>>,
    known: Arc<Mutex<Known>>,
    clock: Clock,
}

/// The list as it is known, and what is kept back of it.
struct Known {
    list: Listing,
    damping: Damping,
    /// Something has changed that is not remembered yet.
    unsaved: bool,
    saved: Micros,
}

/// The list is written to disk this often at most, however fast it changes: read again, it counts as old anyway.
const SAVE_EVERY: Micros = 1_000_000;

impl Follower {
    /// Follows nothing yet.
    pub fn new(settings: Arc<Settings>, engine: Sender<Msg>, clock: Clock, started: Micros) -> Follower {
        let list = Listing::new(started, settings.limits.clock_skew);
        let known = Known { list, damping: Damping::new(), unsaved: false, saved: 0 };
        Follower {
            settings,
            engine,
            following: Arc::default(),
            socket: Arc::default(),
            known: Arc::new(Mutex::new(known)),
            clock,
        }
    }

    /// The list as it was remembered over a restart, empty where there is none; it may be old.
    pub fn remembered(&self) -> Vec<Listed> {
        let Some(path) = &self.settings.remember else { return Vec::new() };
        let Ok(text) = fs::read_to_string(path) else { return Vec::new() };
        match lines::read(&text) {
            Ok(message) => hold(&self.known).list.remember(message.lines),
            Err(error) => {
                tracing::warn!(path = %path.display(), %error, "the remembered list is not used");
                Vec::new()
            }
        }
    }

    /// Begins to follow, if that is not under way.
    pub fn follow(&mut self) {
        if self.following.swap(true, Ordering::AcqRel) {
            return;
        }
        let run = Run {
            settings: Arc::clone(&self.settings),
            engine: self.engine.clone(),
            following: Arc::clone(&self.following),
            socket: Arc::default(),
            known: Arc::clone(&self.known),
            clock: self.clock,
        };
        *self.socket.lock().unwrap_or_else(PoisonError::into_inner) = Arc::clone(&run.socket);
        let (following, engine) = (Arc::clone(&self.following), self.engine.clone());
        spawn("box-list", move || run.run(), move || lost(&following, &engine));
    }

    /// Closes everything.
    pub fn die(&self) {
        self.following.store(true, Ordering::Release);
        self.socket.lock().unwrap_or_else(PoisonError::into_inner).close();
    }
}

fn lost(following: &AtomicBool, engine: &Sender<Msg>) {
    // First free to be followed again: the loss has the module ask for that.
    following.store(false, Ordering::Release);
    let _ = engine.send(Msg::Core(Input::List(ListKind::FetchFailed, Vec::new())));
}

struct Run {
    settings: Arc<Settings>,
    engine: Sender<Msg>,
    following: Arc<AtomicBool>,
    socket: Arc<Socket>,
    known: Arc<Mutex<Known>>,
    clock: Clock,
}

fn hold(known: &Mutex<Known>) -> MutexGuard<'_, Known> {
    known.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Run {
    fn run(self) {
        if let Ok(mut stream) = self.socket.connect(self.settings.box_list, &self.settings) {
            // Signs of life come on this stream too: without any, the list is not followed.
            let patience = std::time::Duration::from_micros(self.settings.limits.silent_after.max(1));
            let _ = stream.set_read_timeout(Some(patience));
            let ended = follow(&mut stream, "/boxes", &self.settings, |event, _| {
                let told = match event {
                    None => Ok(()),
                    Some(event) => self.told(&event.name, &event.data),
                };
                // Signs of life come several times a second: often enough to look at what has settled.
                self.settle();
                told
            });
            if let Some(reason) = ended {
                tracing::warn!("box list: {reason}");
            }
        }
        self.socket.close();
        hold(&self.known).list.lost();
        lost(&self.following, &self.engine);
    }

    /// Takes in an event. A list that cannot be taken whole is not taken in part: the old one stays.
    fn told(&self, name: &str, data: &str) -> Result<(), String> {
        let message = lines::read(data).map_err(|error| format!("not a list: {error}"))?;
        let now = self.clock.now();
        let mut known = hold(&self.known);
        let kind = match name {
            "whole" => ListKind::Complete,
            "changes" => ListKind::Changes,
            // A sign of life; other kinds of message may come from a newer list.
            _ => {
                let told = known.list.beat(message.as_of);
                let told = told.map(|(kind, lines)| (kind, known.damping.pass(now, kind, lines)));
                drop(known);
                self.tell(told);
                return Ok(());
            }
        };
        let applied = known.list.apply(kind, message.revision, message.as_of, message.lines);
        let told = applied.map_err(|error| error.to_string())?;
        known.unsaved = true;
        let told = told.map(|(kind, lines)| (kind, known.damping.pass(now, kind, lines)));
        drop(known);
        self.tell(told);
        Ok(())
    }

    /// Tells what has settled, and remembers the list where that is due.
    fn settle(&self) {
        let now = self.clock.now();
        let mut known = hold(&self.known);
        if known.saved + SAVE_EVERY > now {
            return;
        }
        known.saved = now;
        let settled = known.damping.settled(now);
        let text = match &self.settings.remember {
            Some(_) if std::mem::take(&mut known.unsaved) => Some(lines::write(known.list.boxes())),
            _ => None,
        };
        drop(known);
        self.tell((!settled.is_empty()).then_some((ListKind::Changes, settled)));
        if let (Some(path), Some(text)) = (&self.settings.remember, text) {
            if let Err(error) = write(path, &text) {
                tracing::warn!(path = %path.display(), %error, "the list is not remembered");
            }
        }
    }

    fn tell(&self, told: Option<Told>) {
        // A whole list says something also where it names nobody.
        if let Some((kind, lines)) =
            told.filter(|(kind, lines)| *kind != ListKind::Changes || !lines.is_empty())
        {
            let _ = self.engine.send(Msg::Core(Input::List(kind, lines)));
        }
    }
}

/// Writes beside and renames: a front killed meanwhile finds the old list whole, or the new one.
fn write(path: &Path, text: &str) -> std::io::Result<()> {
    let beside = path.with_extension("new");
    fs::write(&beside, text)?;
    fs::rename(&beside, path)
}
