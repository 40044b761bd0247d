//! The one thread of copies: it hands what comes to [`Copies`], writes to the store, and sends what follows by accord's
//! connections. It waits for nobody and holds no rule.
#![allow(clippy::disallowed_types, clippy::disallowed_methods)]

use std::fs::File;
use std::io::{self, Write as _};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use salttally_accord::core::heirs::Heir;
use salttally_accord::core::stand::Stand;
use salttally_accord::edge::{drawn, now, Teller as Accord};
use salttally_accord::store::StoreError;
use salttally_members::edge::KnownFront;
use serde_json::json;
use thiserror::Error;

use crate::core::{Body, Bytes, Copies, Input, Key, Life, Name, Output, Own, Peer};
use crate::lines;
use crate::settings::Settings;
use crate::store::{Found, Store};

/// Stack of the thread.
const STACK: usize = 512 * 1024;
/// What is shown to operators is made anew this often, us.
const SHOWN: u64 = 500_000;
/// Words taken before changes go out.
const AT_ONCE: usize = 512;

/// Why copies do not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The store cannot be used.
    #[error("copies: store: {0}")]
    Store(#[from] StoreError),
    /// The history cannot be written.
    #[error("copies: history: {0}")]
    History(io::Error),
    /// No thread to be had.
    #[error("copies: no thread: {0}")]
    Thread(io::Error),
}

/// What the front is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    /// A promise counts, or does not.
    Kept(Key, bool),
    /// It goes on with these, by this epoch.
    Adopt(Life, u64, Vec<(Key, Bytes)>),
    /// Its own life is another's.
    Replaced(Life, Heir),
    /// A life that it went on with is another's.
    Gone(Life),
}

/// What wants to hear that.
pub type Listener = Box<dyn Fn(Told) + Send>;

enum Word {
    Core(Input),
    Passed(Name, Vec<u8>),
    Known(Vec<KnownFront>),
    End,
}

/// A way to tell the thread something from elsewhere; before it starts, too.
#[derive(Clone, Debug)]
pub struct Teller {
    words: Sender<Word>,
    shown: Arc<Mutex<String>>,
}

impl std::fmt::Debug for Word {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Word")
    }
}

impl Teller {
    fn tell(&self, word: Word) {
        let _ = self.words.send(word);
    }

    /// A promise; whether somebody waits until it counts.
    pub fn keep(&self, key: Key, body: Vec<u8>, waits: bool) {
        self.tell(Word::Core(Input::Keep(key, Bytes::from(body), waits)));
    }

    /// It is no more.
    pub fn end(&self, key: Key) {
        self.tell(Word::Core(Input::End(key)));
    }

    /// Boxes hold something of an earlier life of the front that nobody has taken over.
    pub fn found(&self, life: Life) {
        self.tell(Word::Core(Input::Found(life)));
    }

    /// The front lives anew.
    pub fn lives(&self, life: Life) {
        self.tell(Word::Core(Input::Lives(life)));
    }

    /// Who is known, as membership tells.
    pub fn known(&self, known: Vec<KnownFront>) {
        self.tell(Word::Known(known));
    }

    /// What this front stands on, as accord tells.
    pub fn stands(&self, stand: &Stand) {
        self.tell(Word::Core(Input::Heirs(Arc::clone(&stand.heirs), stand.begun)));
    }

    /// What came by accord's connections.
    pub fn passed(&self, from: Name, bytes: Vec<u8>) {
        self.tell(Word::Passed(from, bytes));
    }

    /// How things stood a moment ago, as JSON.
    pub fn shown(&self) -> String {
        self.shown.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Where words wait until the thread starts.
pub struct Line {
    teller: Teller,
    words: Receiver<Word>,
}

impl Default for Line {
    fn default() -> Line {
        let (sender, words) = crossbeam_channel::unbounded();
        Line { teller: Teller { words: sender, shown: Arc::default() }, words }
    }
}

impl Line {
    /// A way to tell it.
    pub fn teller(&self) -> Teller {
        self.teller.clone()
    }

    /// Starts the thread, for a front that lives `life`.
    ///
    /// # Errors
    /// The store cannot be used, the history cannot be written, or no thread is to be had.
    pub fn start(
        self,
        settings: &Settings,
        life: Life,
        accord: Accord,
        listener: Listener,
    ) -> Result<Running, StartError> {
        let (store, image, found) = Store::open(&settings.store, settings.flush, drawn())?;
        match &found {
            Found::New => tracing::info!("copies: a new store"),
            Found::Whole => {}
            Found::SetAside(at, why) => {
                tracing::error!(%why, at = %at.display(), "copies: a damaged store was set aside; this is a new disk now");
            }
            Found::Copied => {
                tracing::warn!(
                    "copies: the store is not where it was first written: it counts as a new disk"
                );
            }
        }
        let open = |path: &std::path::PathBuf| File::options().create(true).append(true).open(path);
        let history = settings.history.as_ref().map(open).transpose().map_err(StartError::History)?;
        let own = Own {
            name: Name::clone(&settings.name),
            life,
            zone: settings.zone,
            serves: settings.serves,
            disk: store.disk,
            copies: settings.copies,
            enough: settings.enough,
            too_few: settings.too_few,
            within: settings.within,
            most: settings.most,
        };
        let work = Work {
            copies: Copies::new(own, image, now()),
            name: Name::clone(&settings.name),
            store: Some(store),
            history,
            accord,
            listener,
            words: self.words,
            shown: Arc::clone(&self.teller.shown),
            show_at: 0,
        };
        let thread = thread::Builder::new().name("copies".into()).stack_size(STACK);
        let thread = thread.spawn(move || work.run()).map_err(StartError::Thread)?;
        Ok(Running { teller: self.teller, thread: Some(thread) })
    }
}

/// Running copies.
pub struct Running {
    teller: Teller,
    thread: Option<thread::JoinHandle<()>>,
}

impl Running {
    /// Ends in order: with nothing promised, holders may forget this front's life.
    pub fn leave(mut self) {
        self.teller.tell(Word::Core(Input::Leave));
        self.teller.tell(Word::End);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct Work {
    copies: Copies,
    name: Name,
    /// Nothing, after it could not be written: then this front acknowledges nothing of others, who choose another holder.
    store: Option<Store>,
    history: Option<File>,
    accord: Accord,
    listener: Listener,
    words: Receiver<Word>,
    shown: Arc<Mutex<String>>,
    show_at: u64,
}

impl Work {
    fn run(mut self) {
        loop {
            let wait = self.copies.next_due().saturating_sub(now()).clamp(500, 200_000);
            let mut word = match self.words.recv_timeout(Duration::from_micros(wait)) {
                Ok(word) => Some(word),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            // What has come together goes to the disk, and out, together.
            let (mut out, mut taken, mut ends) = (Vec::new(), 0, false);
            while let Some(one) = word.take() {
                ends |= self.word(one, &mut out);
                taken += 1;
                if taken < AT_ONCE && !ends {
                    word = self.words.try_recv().ok();
                }
            }
            self.copies.handle(now(), Input::Tick, &mut out);
            self.carry_out(out);
            if ends {
                return;
            }
            self.show();
        }
    }

    fn word(&mut self, word: Word, out: &mut Vec<Output>) -> bool {
        match word {
            Word::Core(input) => self.copies.handle(now(), input, out),
            Word::Passed(from, bytes) => match postcard::from_bytes::<Body>(&bytes) {
                Ok(body) => self.copies.handle(now(), Input::Heard(from, Box::new(body)), out),
                Err(error) => tracing::warn!(%from, %error, "copies: a message is not used"),
            },
            Word::Known(known) => {
                let (peers, boot) = peers(known, &self.name);
                self.copies.handle(now(), Input::View(peers, boot), out);
            }
            Word::End => return true,
        }
        false
    }

    fn carry_out(&mut self, out: Vec<Output>) {
        let mut writes = Vec::new();
        for output in &out {
            if let Output::Write(part) = output {
                writes.extend(part.iter().cloned());
            }
        }
        if let Some(store) = self.store.as_ref().filter(|_| !writes.is_empty()) {
            if let Err(error) = store.write(&writes) {
                tracing::error!(%error, "copies: nothing can be kept here for others until this front is started again");
                self.store = None;
            }
        }
        for output in out {
            if let Some(line) = lines::line(unix(), &self.name, &output) {
                if let Some(file) = &mut self.history {
                    let _ = file.write_all(format!("{line}\n").as_bytes());
                }
            }
            match output {
                Output::Write(_) => {}
                // Danger: what is on no disk here is taken for a copy.
                Output::Send(_, Body::Ack(..)) if self.store.is_none() => {}
                Output::Send(to, body) => match postcard::to_allocvec(&body) {
                    Ok(bytes) => self.accord.pass(to, bytes),
                    Err(error) => tracing::error!(%error, "copies: a message is not sent"),
                },
                Output::Succeed(changes) => self.accord.succeed(changes),
                Output::Kept(key, kept) => (self.listener)(Told::Kept(key, kept)),
                Output::Adopt(life, epoch, promises) => {
                    tracing::warn!(%life, epoch, sessions = promises.len(), "copies: this front goes on with another's sessions");
                    (self.listener)(Told::Adopt(life, epoch, promises));
                }
                Output::Replaced(life, heir) => {
                    tracing::error!(%life, by = %heir.name, "copies: another front goes on with this one's sessions");
                    (self.listener)(Told::Replaced(life, heir));
                }
                Output::Gone(life) => (self.listener)(Told::Gone(life)),
                Output::Over(life) => tracing::debug!(%life, "copies: nothing is left of it"),
                Output::Group(names) => tracing::info!(?names, "copies: held there"),
            }
        }
    }

    /// Told now and then to whoever asks.
    fn show(&mut self) {
        if self.show_at > now() {
            return;
        }
        self.show_at = now() + SHOWN;
        let owner = self.copies.owner();
        let holder = |(name, holder): (&Name, &crate::core::owner::Holder)| json!({"front": &**name, "has": holder.acked, "filled": holder.filled});
        let shelf = |(life, shelf): (&Life, &crate::core::shelf::Shelf)| {
            json!({"life": &**life, "owner": &*shelf.head.owner, "promises": shelf.stands(), "has": shelf.head.have,
                "whole": shelf.head.whole, "epoch": shelf.head.epoch, "digest": digest(&shelf.digests())})
        };
        let taken = |(life, epoch, settled): (&Life, u64, bool)| json!({"life": &**life, "epoch": epoch, "settled": settled});
        let shown = json!({"front": &*self.name, "life": &**self.copies.life(), "promises": owner.stands(),
            "changes": owner.number(), "waits": owner.waits(), "digest": digest(&owner.digests()), "disk": self.store.is_some(),
            "holders": owner.holders.iter().map(holder).collect::<Vec<_>>(),
            "holds": self.copies.shelves().map(shelf).collect::<Vec<_>>(),
            "taken_over": self.copies.taken().map(taken).collect::<Vec<_>>()});
        *self.shown.lock().unwrap_or_else(PoisonError::into_inner) = shown.to_string();
    }
}

/// One word for all parts.
fn digest(parts: &[u64]) -> String {
    let all = parts.iter().fold(0u64, |all, part| all.rotate_left(7) ^ part);
    format!("{all:016x}")
}

fn unix() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64)
}

fn peers(known: Vec<KnownFront>, own: &Name) -> (Vec<Peer>, Option<u64>) {
    let boot = known.iter().find(|one| one.in_view && one.name == *own).map(|one| one.boot);
    let here = known.into_iter().filter(|one| one.in_view && one.name != *own);
    (here.map(|one| Peer { name: one.name, zone: one.zone, boot: one.boot }).collect(), boot)
}
