//! Follows the box list: server-sent events over HTTP, first the whole list, then changes. Described in
//! `docs/box-api.md`. [`core`] holds the list; when to follow it, and to follow it again after a loss, is the
//! module's word.

pub mod core;
pub mod lines;

use std::fs;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use crossbeam_channel::Sender;
use salttally::interface::{ListKind, Micros};

use self::core::{Listing, Told};
use crate::boxes::link::{follow, spawn, Socket};
use crate::core::{Input, Listed};
use crate::engine::Msg;
use crate::settings::Settings;

/// Follows the list while it is told to.
pub struct Follower {
    settings: Arc<Settings>,
    engine: Sender<Msg>,
    following: Arc<AtomicBool>,
    socket: Arc<Mutex<Arc<Socket>>>,
    known: Arc<Mutex<Listing>>,
}

impl Follower {
    /// Follows nothing yet.
    pub fn new(settings: Arc<Settings>, engine: Sender<Msg>, started: Micros) -> Follower {
        let listing = Listing::new(started, settings.limits.clock_skew);
        Follower {
            settings,
            engine,
            following: Arc::default(),
            socket: Arc::default(),
            known: Arc::new(Mutex::new(listing)),
        }
    }

    /// The list as it was remembered over a restart, empty where there is none; it may be old.
    pub fn remembered(&self) -> Vec<Listed> {
        let Some(path) = &self.settings.remember else { return Vec::new() };
        let Ok(text) = fs::read_to_string(path) else { return Vec::new() };
        match lines::read(&text) {
            Ok(message) => self.known.lock().unwrap_or_else(PoisonError::into_inner).remember(message.lines),
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
    let _ = engine.send(Msg::Core(Input::List(ListKind::Lost, Vec::new())));
}

struct Run {
    settings: Arc<Settings>,
    engine: Sender<Msg>,
    following: Arc<AtomicBool>,
    socket: Arc<Socket>,
    known: Arc<Mutex<Listing>>,
}

impl Run {
    fn run(self) {
        if let Ok(mut stream) = self.socket.connect(self.settings.box_list, &self.settings) {
            // Signs of life come on this stream too: without any, the list is not followed.
            let patience = std::time::Duration::from_micros(self.settings.limits.silent_after.max(1));
            let _ = stream.set_read_timeout(Some(patience));
            let ended = follow(&mut stream, "/boxes", &self.settings, |event| match event {
                None => Ok(()),
                Some(event) => self.told(&event.name, &event.data),
            });
            if let Some(reason) = ended {
                tracing::warn!("box list: {reason}");
            }
        }
        self.socket.close();
        self.known.lock().unwrap_or_else(PoisonError::into_inner).lost();
        lost(&self.following, &self.engine);
    }

    /// Takes in an event. A list that cannot be taken whole is not taken in part: the old one stays.
    fn told(&self, name: &str, data: &str) -> Result<(), String> {
        let message = lines::read(data).map_err(|error| format!("not a list: {error}"))?;
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let kind = match name {
            "whole" => ListKind::Whole,
            "changes" => ListKind::Changes,
            // A sign of life; other kinds of message may come from a newer list.
            _ => {
                let told = known.beat(message.as_of);
                drop(known);
                self.tell(told);
                return Ok(());
            }
        };
        let applied = known.apply(kind, message.revision, message.as_of, message.lines);
        let told = applied.map_err(|error| error.to_string())?;
        if let Some(path) = &self.settings.remember {
            if let Err(error) = write(path, &lines::write(known.boxes())) {
                tracing::warn!(path = %path.display(), %error, "the list is not remembered");
            }
        }
        drop(known);
        self.tell(told);
        Ok(())
    }

    fn tell(&self, told: Option<Told>) {
        if let Some((kind, lines)) = told {
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
