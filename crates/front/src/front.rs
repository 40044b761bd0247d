//! The front as a library: start it with settings, open sessions in process, shut it down in order.

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
use salttally_accord::core::coordination::CoordinationState;
use salttally_copies::core::Incarnation;
use salttally_copies::edge::{Event as CopiesEvent, Handle as Copies};
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

/// Why a front cannot start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The address for players cannot be bound.
    #[error("cannot listen for players at {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// The decision record cannot be written.
    #[error("cannot write the record {0}: {1}")]
    Record(String, io::Error),
    /// A thread cannot be started.
    #[error("cannot start a thread: {0}")]
    Thread(io::Error),
}

/// Why a session request is invalid.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum OpenError {
    /// Unknown title.
    #[error("no title `{0}` here")]
    Title(String),
    /// Unknown class.
    #[error("no class `{0}` here")]
    Class(String),
    /// The patience, ms, is outside the range from the second to the third value.
    #[error("patience of {0} ms must be between {1} and {2} ms")]
    Patience(u64, u64, u64),
    /// The front has ended.
    #[error("the front has ended")]
    Ended,
}

/// A session request of a library caller, with the fields of `session.open`.
#[derive(Clone, Debug, Default)]
pub struct SessionRequest {
    /// The viewer.
    pub viewer: String,
    /// The requested title.
    pub title: String,
    /// The class of the session.
    pub class: String,
    /// Highest rung that the viewer can use.
    pub top_rung: usize,
    /// How long the viewer waits for an answer before giving up, ms.
    pub patience_ms: u64,
    /// Expected viewing time, seconds.
    pub length_hint_s: Option<f64>,
    /// Whether the viewer has tried before.
    pub returned: bool,
    /// The session that this front moved away and that this request reopens.
    pub moved_from: Option<String>,
}

/// A running front. Dropping it shuts it down in order.
pub struct Front {
    settings: Arc<Settings>,
    engine: Sender<EngineMessage>,
    clients: Arc<AtomicU64>,
    server: Server,
    thread: Option<thread::JoinHandle<()>>,
    recorder: Option<Recorder>,
    seed: u64,
    incarnation: Incarnation,
}

impl Front {
    /// Starts a front. When this returns, it accepts players and follows the box list.
    ///
    /// # Errors
    /// The address for players cannot be bound, the decision record cannot be written, or a thread cannot be
    /// started.
    pub fn start(settings: Settings) -> Result<Front, StartError> {
        Front::start_replicated(settings, None)
    }

    /// Starts a front that replicates its session records through `copies`. The settings must have `copies`.
    ///
    /// # Errors
    /// As [`Front::start`].
    pub fn start_replicated(settings: Settings, copies: Option<Copies>) -> Result<Front, StartError> {
        let clock = Clock::start();
        let started = clock.now();
        let settings = Arc::new(settings);
        // The milliseconds differ between two starts. They wrap around after seven weeks, when no session of
        // the first start is left.
        let boot = (started / 1_000) as u32;
        let seed = settings.seed.unwrap_or(started);
        let recording_start = FrontStart { at: started, front: settings.name.clone(), boot, seed };
        let recorder = settings.record.as_ref().map(|path| {
            Recorder::create(path, &recording_start)
                .map_err(|e| StartError::Record(path.display().to_string(), e))
        });
        let recorder = recorder.transpose()?;
        let (engine, inbox) = crossbeam_channel::unbounded();
        let (flusher, full) = crossbeam_channel::unbounded();
        outbox::spawn_flusher(full).map_err(StartError::Thread)?;

        let controller = Controller::new(settings.decision.clone(), seed);
        let (decision_settings, limits) = (settings.decision.clone(), settings.limits.clone());
        let mut ledger = Ledger::new(controller, decision_settings, limits, &settings.name, boot);
        if settings.accord {
            let titles = settings.titles.iter().map(|(name, title)| (title.id, name.clone())).collect();
            let names = SettingsNames { classes: settings.classes.clone(), titles, viewer: Some(viewer_id) };
            ledger = ledger.with_rules(AgreedRules::new(names));
            if copies.is_some() {
                ledger = ledger.with_replication();
            }
        }
        let incarnation = ledger.incarnation();
        if let Some(recorder) = &recorder {
            ledger = ledger.with_tap(Box::new(recorder.observer()));
        }
        let list = ListFollower::new(Arc::clone(&settings), engine.clone(), clock, started);
        let remembered = Input::List(ListKind::Cached, list.load_remembered());
        let boxes = BoxConnections::new(Arc::clone(&settings), engine.clone(), clock);
        let connections = Arc::new(Connections::new(clock, settings.io.admission));
        let deferred_count = Arc::new(AtomicUsize::new(0));
        let engine_state = Engine {
            clock,
            ledger,
            boxes,
            box_list: list,
            inbox,
            deferred: DeferredQueue::default(),
            deferred_count: Arc::clone(&deferred_count),
            open_overhead: OpenOverhead::default(),
            connections: Arc::clone(&connections),
            clients: BTreeMap::new(),
            outputs: Vec::new(),
            touched_clients: BTreeSet::new(),
            copies,
            pauses: PauseDetector::new(),
        };
        // The first event for the decision module, before any player: it responds by following the list.
        let _ = engine.send(EngineMessage::Input(remembered));
        let thread = thread::Builder::new()
            .name("front".into())
            .spawn(move || engine_state.run())
            .map_err(StartError::Thread)?;
        let clients = Arc::new(AtomicU64::new(1));
        let channels = ServerChannels { engine: engine.clone(), deferred: deferred_count, flusher };
        let server = Server::start(Arc::clone(&settings), clock, Arc::clone(&clients), connections, channels)
            .map_err(|error| {
                let _ = engine.send(EngineMessage::Kill);
                StartError::Listen(settings.listen, error)
            })?;
        Ok(Front { settings, engine, clients, server, thread: Some(thread), recorder, seed, incarnation })
    }

    /// Returns the sink for changes of the agreed rules, the lease and takeovers; for settings with `accord`.
    pub fn coordination_sink(&self) -> impl Fn(CoordinationState) + Send + 'static {
        let engine = self.engine.clone();
        move |state| {
            let _ = engine.send(EngineMessage::Input(Input::Coordination(Box::new(state))));
        }
    }

    /// The incarnation of the front at its start: the prefix of its session ids.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation::clone(&self.incarnation)
    }

    /// Returns the sink for replication results and takeovers; for settings with `copies`.
    pub fn replication_sink(&self) -> impl Fn(CopiesEvent) + Send + 'static {
        let engine = self.engine.clone();
        move |event| {
            let input = match event {
                CopiesEvent::RecordStored(key, stored) => Input::RecordStored(key, stored),
                CopiesEvent::TakeOver(incarnation, epoch, records) => {
                    Input::TakeOver(incarnation, epoch, records)
                }
                CopiesEvent::TakenOver(incarnation, _) => Input::TakenOver(incarnation),
                CopiesEvent::TakeoverSuperseded(incarnation) => Input::TakeoverSuperseded(incarnation),
            };
            let _ = engine.send(EngineMessage::Input(input));
        }
    }

    /// Returns the sink for changes of the membership view.
    pub fn peers_sink(&self) -> impl Fn(&[KnownFront]) + Send + 'static {
        let engine = self.engine.clone();
        move |known| {
            let peer = |known: &KnownFront| {
                (Arc::clone(&known.name), PeerFront { in_view: known.in_view, client_address: known.serves })
            };
            let _ = engine.send(EngineMessage::Input(Input::Peers(known.iter().map(peer).collect())));
        }
    }

    /// Address on which the front accepts players.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Seed of the decision module's random numbers.
    pub fn seed(&self) -> u64 {
        self.seed
    }

    /// Status of the front.
    pub fn status(&self) -> FrontStatus {
        let (sender, reply) = crossbeam_channel::bounded(1);
        let _ = self.engine.send(EngineMessage::Status(sender));
        reply.recv_timeout(Duration::from_secs(5)).unwrap_or_default()
    }

    /// Opens a session. The request is accepted when this returns, and is answered within the patience.
    ///
    /// # Errors
    /// The request is invalid; nothing has been accepted.
    pub fn open(&self, request: &SessionRequest) -> Result<Session, OpenError> {
        let settings = &self.settings;
        let title =
            settings.titles.get(&request.title).ok_or_else(|| OpenError::Title(request.title.clone()))?;
        let class =
            settings.class_index(&request.class).ok_or_else(|| OpenError::Class(request.class.clone()))?;
        let (min, max) = settings.io.patience_ms;
        if !(min..=max).contains(&request.patience_ms) {
            return Err(OpenError::Patience(request.patience_ms, min, max));
        }
        let open_request = OpenRequest {
            viewer: viewer_id(&request.viewer),
            tenant: tenant_id(&request.viewer),
            title: title.id,
            class,
            first_cell: title.first_cell,
            cell_count: title.cells,
            top_rung: request.top_rung,
            patience: request.patience_ms * 1000,
            length_hint: request.length_hint_s.map(|hint| (hint.clamp(0.0, 1e6) * 1e6) as Micros),
            returned: request.returned,
            moved_from: request.moved_from.as_deref().map(|id| SessionId(Arc::from(id))),
        };
        let client = ClientId(self.clients.fetch_add(1, Ordering::Relaxed));
        let (sender, messages) = crossbeam_channel::unbounded();
        let attach = self.engine.send(EngineMessage::Attach(client, ClientSink::Caller(sender)));
        let open = self.engine.send(EngineMessage::Input(Input::Open(client, OPEN_TICKET, open_request)));
        if attach.is_err() || open.is_err() {
            return Err(OpenError::Ended);
        }
        Ok(Session { client, engine: self.engine.clone(), messages })
    }

    /// Shuts down in order: accepts no further requests, answers pending ones, releases playing sessions and
    /// notifies their viewers. Returns the counters, or `None` if boxes did not confirm their releases within
    /// this time.
    pub fn shut_down(mut self, within: Duration) -> Option<Counts> {
        let counts = self.end(within);
        self.join_threads();
        counts
    }

    /// Ends at once without notifying anybody, as if the process were killed; for tests of crashes.
    pub fn kill(mut self) {
        let _ = self.engine.send(EngineMessage::Kill);
        self.join_threads();
    }

    fn end(&mut self, within: Duration) -> Option<Counts> {
        let (done, reply) = crossbeam_channel::bounded(1);
        let _ = self.engine.send(EngineMessage::ShutDown(done));
        let counts = reply.recv_timeout(within).ok();
        let _ = self.engine.send(EngineMessage::Kill);
        counts
    }

    fn join_threads(&mut self) {
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
            self.join_threads();
        }
    }
}

/// Ticket of the open call of a library caller.
const OPEN_TICKET: Ticket = Ticket(1);
/// Ticket of its other calls.
const OTHER_TICKET: Ticket = Ticket(2);

/// A session opened by a library caller. Dropping it cancels or closes the session, so that it is neither
/// left unanswered nor plays on with no viewer.
pub struct Session {
    client: ClientId,
    engine: Sender<EngineMessage>,
    messages: Receiver<CallerMessage>,
}

impl Session {
    /// The next message to the caller: first the answer, then notifications. `None` after this time, or once
    /// the front has ended.
    pub fn next(&self, within: Duration) -> Option<CallerMessage> {
        self.messages.recv_timeout(within).ok()
    }

    /// Waits for the answer. Also `None` if the request is not accepted because the viewer has too many
    /// sessions; [`Session::next`] distinguishes the two.
    pub fn answer(&self, within: Duration) -> Option<Answer> {
        match self.next(within)? {
            CallerMessage::Answer(answer) => Some(answer),
            CallerMessage::Notification(_) | CallerMessage::Reply(_) => None,
        }
    }

    /// Waits for a notification.
    pub fn notification(&self, within: Duration) -> Option<Notification> {
        match self.next(within)? {
            CallerMessage::Notification(notification) => Some(notification),
            CallerMessage::Answer(_) | CallerMessage::Reply(_) => None,
        }
    }

    /// Cancels the request before its answer, which is then a failure unless it is already in transit.
    pub fn cancel(&self) {
        let _ = self.engine.send(EngineMessage::Input(Input::Cancel(self.client, OTHER_TICKET, OPEN_TICKET)));
    }

    /// Closes a playing session. Returns whether it was closed.
    pub fn close(self, session: &SessionId, within: Duration) -> bool {
        let _ =
            self.engine.send(EngineMessage::Input(Input::Close(self.client, OTHER_TICKET, session.clone())));
        while let Some(message) = self.next(within) {
            if let CallerMessage::Reply(reply) = message {
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
