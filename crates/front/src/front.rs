//! The front as a library: started with its settings, asked for sessions in process, ended in order.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender};
use salttally::controller::Controller;
use salttally::interface::{ListKind, Micros, SessionId};
use salttally_accord::core::stand::Stand;
use salttally_copies::core::Life;
use salttally_copies::edge::{Teller as Copies, Told};
use salttally_members::core::pauses::PauseDetector;
use salttally_members::edge::KnownFront;
use thiserror::Error;

use crate::box_list::ListFollower;
use crate::boxes::BoxConnections;
use crate::clock::Clock;
use crate::common::messages::{CallerMessage, ClientSink, EngineMessage, FrontStatus};
use crate::core::agreed_rules::{AgreedRules, SettingsNames};
use crate::core::session_records::PeerFront;
use crate::core::{Answer, ClientId, Counts, Input, Ledger, Notification, OpenRequest, Reply, Ticket};
use crate::engine::Engine;
use crate::record::lines::FrontStart;
use crate::record::Recorder;
use crate::session_api::connections::Connections;
use crate::session_api::core::deferred::DeferredQueue;
use crate::session_api::core::thread_share::OpenOverhead;
use crate::session_api::outbox;
use crate::session_api::server::{Server, ServerChannels};
use crate::settings::{tenant_id, viewer_id, Settings};

/// Why a front does not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The players' address cannot be bound.
    #[error("cannot listen for players at {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// The record cannot be written.
    #[error("cannot write the record {0}: {1}")]
    Record(String, io::Error),
    /// No thread to be had.
    #[error("no thread to be had: {0}")]
    Thread(io::Error),
}

/// Why a session cannot be asked for as it stands.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum OpenError {
    /// No title of that name.
    #[error("no title `{0}` here")]
    Title(String),
    /// No class of that name.
    #[error("no class `{0}` here")]
    Class(String),
    /// The patience is out of bounds.
    #[error("a patience of {0} ms; it must lie from {1} to {2}")]
    Patience(u64, u64, u64),
    /// The front has ended.
    #[error("the front has ended")]
    Ended,
}

/// A session as a caller asks for it; the fields are those of `session.open`.
#[derive(Clone, Debug, Default)]
pub struct SessionRequest {
    /// Who watches.
    pub viewer: String,
    /// What is watched.
    pub title: String,
    /// Of which class.
    pub class: String,
    /// Highest rung that the viewer can use.
    pub top_rung: usize,
    /// Time before the viewer gives up, ms.
    pub patience_ms: u64,
    /// A guess of how long it is watched, seconds.
    pub length_hint_s: Option<f64>,
    /// Not the viewer's first try.
    pub returned: bool,
    /// The session that this front moved and that is opened anew by this.
    pub moved_from: Option<String>,
}

/// A running front. Dropped, it ends in order.
pub struct Front {
    settings: Arc<Settings>,
    engine: Sender<EngineMessage>,
    clients: Arc<AtomicU64>,
    server: Server,
    thread: Option<thread::JoinHandle<()>>,
    recorder: Option<Recorder>,
    seed: u64,
    life: Life,
}

impl Front {
    /// Starts a front: it listens for players and follows the box list when this returns.
    ///
    /// # Errors
    /// The players' address cannot be bound, the record cannot be written, or there is no thread to be had.
    pub fn start(settings: Settings) -> Result<Front, StartError> {
        Front::start_replicated(settings, None)
    }

    /// The same with its promises copied, where the settings have `copies`.
    ///
    /// # Errors
    /// As [`Front::start`].
    pub fn start_replicated(settings: Settings, copies: Option<Copies>) -> Result<Front, StartError> {
        let clock = Clock::start();
        let started = clock.now();
        let settings = Arc::new(settings);
        // Milliseconds tell two starts apart, and come round after seven weeks, when no session is left of the first.
        let boot = (started / 1_000) as u32;
        let seed = settings.seed.unwrap_or(started);
        let born = FrontStart { at: started, front: settings.name.clone(), boot, seed };
        let recorder = settings.record.as_ref().map(|path| {
            Recorder::create(path, &born).map_err(|e| StartError::Record(path.display().to_string(), e))
        });
        let recorder = recorder.transpose()?;
        let (engine, inbox) = crossbeam_channel::unbounded();
        let (flusher, full) = crossbeam_channel::unbounded();
        outbox::spawn_flusher(full).map_err(StartError::Thread)?;

        let controller = Controller::new(settings.decision.clone(), seed);
        let (module, limits) = (settings.decision.clone(), settings.limits.clone());
        let mut ledger = Ledger::new(controller, module, limits, &settings.name, boot);
        if settings.accord {
            let titles = settings.titles.iter().map(|(name, title)| (title.id, name.clone())).collect();
            let names = SettingsNames { classes: settings.classes.clone(), titles, viewer: Some(viewer_id) };
            ledger = ledger.with_rules(AgreedRules::new(names));
            if copies.is_some() {
                ledger = ledger.with_replication();
            }
        }
        let life = ledger.incarnation();
        if let Some(recorder) = &recorder {
            ledger = ledger.with_tap(Box::new(recorder.observer()));
        }
        let list = ListFollower::new(Arc::clone(&settings), engine.clone(), clock, started);
        let remembered = Input::List(ListKind::Cached, list.load_remembered());
        let boxes = BoxConnections::new(Arc::clone(&settings), engine.clone(), clock);
        let entrance = Arc::new(Connections::new(clock, settings.io.admission));
        let over = Arc::new(AtomicUsize::new(0));
        let running = Engine {
            clock,
            ledger,
            boxes,
            list,
            inbox,
            over: DeferredQueue::default(),
            waiting: Arc::clone(&over),
            aftermath: OpenOverhead::default(),
            entrance: Arc::clone(&entrance),
            clients: BTreeMap::new(),
            out: Vec::new(),
            touched: BTreeSet::new(),
            copies,
            pauses: PauseDetector::new(),
        };
        // The first thing that the module is told, before any player: it answers by following the list.
        let _ = engine.send(EngineMessage::Input(remembered));
        let thread = thread::Builder::new()
            .name("front".into())
            .spawn(move || running.run())
            .map_err(StartError::Thread)?;
        let clients = Arc::new(AtomicU64::new(1));
        let ways = ServerChannels { engine: engine.clone(), deferred: over, flusher };
        let server = Server::start(Arc::clone(&settings), clock, Arc::clone(&clients), entrance, ways)
            .map_err(|error| {
                let _ = engine.send(EngineMessage::Kill);
                StartError::Listen(settings.listen, error)
            })?;
        Ok(Front { settings, engine, clients, server, thread: Some(thread), recorder, seed, life })
    }

    /// Whom to tell what this front stands on, where its settings have `accord`.
    pub fn coordination_sink(&self) -> impl Fn(Stand) + Send + 'static {
        let engine = self.engine.clone();
        move |stand| {
            let _ = engine.send(EngineMessage::Input(Input::Coordination(Box::new(stand))));
        }
    }

    /// What ids of its sessions begin with, from its start on.
    pub fn incarnation(&self) -> Life {
        Life::clone(&self.life)
    }

    /// Whom to tell of copies and of what other fronts promised, where its settings have `copies`.
    pub fn replication_sink(&self) -> impl Fn(Told) + Send + 'static {
        let engine = self.engine.clone();
        move |told| {
            let input = match told {
                Told::Kept(key, kept) => Input::RecordStored(key, kept),
                Told::Adopt(life, epoch, promises) => Input::TakeOver(life, epoch, promises),
                Told::Replaced(life, _) => Input::TakenOver(life),
                Told::Gone(life) => Input::TakeoverSuperseded(life),
            };
            let _ = engine.send(EngineMessage::Input(input));
        }
    }

    /// Whom to tell of other fronts, as membership knows them.
    pub fn peers_sink(&self) -> impl Fn(&[KnownFront]) + Send + 'static {
        let engine = self.engine.clone();
        move |known| {
            let other = |one: &KnownFront| {
                (Arc::clone(&one.name), PeerFront { in_view: one.in_view, client_address: one.serves })
            };
            let _ = engine.send(EngineMessage::Input(Input::Peers(known.iter().map(other).collect())));
        }
    }

    /// Where players connect.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Seed of the module's draws.
    pub fn seed(&self) -> u64 {
        self.seed
    }

    /// How the front stands.
    pub fn status(&self) -> FrontStatus {
        let (to, answer) = crossbeam_channel::bounded(1);
        let _ = self.engine.send(EngineMessage::Status(to));
        answer.recv_timeout(Duration::from_secs(5)).unwrap_or_default()
    }

    /// Asks for a session. It is accepted when this returns, and its one answer comes within the patience.
    ///
    /// # Errors
    /// What is asked for means nothing here; then nothing has been accepted.
    pub fn open(&self, asked: &SessionRequest) -> Result<Session, OpenError> {
        let settings = &self.settings;
        let title = settings.titles.get(&asked.title).ok_or_else(|| OpenError::Title(asked.title.clone()))?;
        let class =
            settings.class_index(&asked.class).ok_or_else(|| OpenError::Class(asked.class.clone()))?;
        let (least, most) = settings.io.patience_ms;
        if !(least..=most).contains(&asked.patience_ms) {
            return Err(OpenError::Patience(asked.patience_ms, least, most));
        }
        let opening = OpenRequest {
            viewer: viewer_id(&asked.viewer),
            tenant: tenant_id(&asked.viewer),
            title: title.id,
            class,
            first_cell: title.first_cell,
            cell_count: title.cells,
            top_rung: asked.top_rung,
            patience: asked.patience_ms * 1000,
            length_hint: asked.length_hint_s.map(|hint| (hint.clamp(0.0, 1e6) * 1e6) as Micros),
            returned: asked.returned,
            moved_from: asked.moved_from.as_deref().map(|id| SessionId(Arc::from(id))),
        };
        let client = ClientId(self.clients.fetch_add(1, Ordering::Relaxed));
        let (to, told) = crossbeam_channel::unbounded();
        let attach = self.engine.send(EngineMessage::Attach(client, ClientSink::Caller(to)));
        let open = self.engine.send(EngineMessage::Input(Input::Open(client, OPEN, opening)));
        if attach.is_err() || open.is_err() {
            return Err(OpenError::Ended);
        }
        Ok(Session { client, engine: self.engine.clone(), told })
    }

    /// Ends in order: accepts nobody any more, answers all that is owed, releases all that plays and tells its
    /// viewers. Returns what the front has done, or nothing if boxes did not take their releases in `within`.
    pub fn shut_down(mut self, within: Duration) -> Option<Counts> {
        let counts = self.end(within);
        self.finish();
        counts
    }

    /// Ends at once with no word to anybody, as a process that is killed: for rehearsals of that.
    pub fn kill(mut self) {
        let _ = self.engine.send(EngineMessage::Kill);
        self.finish();
    }

    fn end(&mut self, within: Duration) -> Option<Counts> {
        let (done, told) = crossbeam_channel::bounded(1);
        let _ = self.engine.send(EngineMessage::ShutDown(done));
        let counts = told.recv_timeout(within).ok();
        let _ = self.engine.send(EngineMessage::Kill);
        counts
    }

    fn finish(&mut self) {
        self.server.stop();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        if let Some(mut recorder) = self.recorder.take() {
            recorder.finish();
        }
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        if self.thread.is_some() {
            self.end(Duration::from_secs(5));
            self.finish();
        }
    }
}

/// The one open call of a caller.
const OPEN: Ticket = Ticket(1);
/// Its other calls.
const OTHER: Ticket = Ticket(2);

/// A session that a caller of the library asked for. Dropped, it is given up or closed: nothing is left
/// unanswered and nothing plays for nobody.
pub struct Session {
    client: ClientId,
    engine: Sender<EngineMessage>,
    told: Receiver<CallerMessage>,
}

impl Session {
    /// What the session's caller is told next: first the answer, then news. Nothing if that takes longer than
    /// `within`, or the front has ended.
    pub fn next(&self, within: Duration) -> Option<CallerMessage> {
        self.told.recv_timeout(within).ok()
    }

    /// Waits for the one answer. Nothing also where the open is not accepted, because the viewer has as many
    /// sessions as it may; [`Session::next`] tells the two apart.
    pub fn answer(&self, within: Duration) -> Option<Answer> {
        match self.next(within)? {
            CallerMessage::Answer(answer) => Some(answer),
            CallerMessage::Notification(_) | CallerMessage::Reply(_) => None,
        }
    }

    /// Waits for news.
    pub fn news(&self, within: Duration) -> Option<Notification> {
        match self.next(within)? {
            CallerMessage::Notification(news) => Some(news),
            CallerMessage::Answer(_) | CallerMessage::Reply(_) => None,
        }
    }

    /// Gives the session up before its answer; the answer is then that it failed, unless it was under way.
    pub fn cancel(&self) {
        let _ = self.engine.send(EngineMessage::Input(Input::Cancel(self.client, OTHER, OPEN)));
    }

    /// Closes a session that plays. Returns whether it did.
    pub fn close(self, session: &SessionId, within: Duration) -> bool {
        let _ = self.engine.send(EngineMessage::Input(Input::Close(self.client, OTHER, session.clone())));
        while let Some(told) = self.next(within) {
            if let CallerMessage::Reply(reply) = told {
                return matches!(reply, Reply::Closed(_));
            }
        }
        false
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        let _ = self.engine.send(EngineMessage::Input(Input::ClientClosed(self.client)));
    }
}
