//! Events that the peers of the front nodes observed in a trial, with the times at which they observed them.

/// Microseconds since the start of the trial.
pub type Micros = u64;

/// How often a set-up of a class may take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It may be repeated.
    Safe,
    /// At most once.
    Once,
}

/// Terms of a class that the judge checks.
#[derive(Clone, Copy, Debug)]
pub struct ClassTerms {
    /// How often a set-up may take effect.
    pub effect: Effect,
    /// The lowest rung.
    pub floor: u64,
    /// The highest rung.
    pub top: u64,
}

/// Terms on servers that have just started.
#[derive(Clone, Copy, Debug)]
pub struct ColdTerms {
    /// Places of a server.
    pub places: u32,
    /// Time from the start of a server until it is warm.
    pub warm_up: Micros,
    /// Share of its pace that a server takes right after its start.
    pub cold_from: f64,
    /// Multiple of its pace at which a server falls.
    pub fall_multiple: f64,
    /// Time for which that pace must last.
    pub window: Micros,
}

/// A front node's attempts beyond each request's first, in any window of this length.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Length of the window.
    pub window: Micros,
    /// Attempts that are always allowed.
    pub free: f64,
    /// Further ones for each request in the window.
    pub share: f64,
}

/// Terms of the settings that the judge checks.
#[derive(Clone, Debug)]
pub struct Terms {
    /// The classes.
    pub classes: Vec<ClassTerms>,
    /// Maximum number of attempts of a request.
    pub max_attempts: usize,
    /// Time after the announcement that a server leaves from which it gets no new session.
    pub drain_grace: Micros,
    /// Set-ups that a server handles after its start.
    pub cold: ColdTerms,
    /// Limit of repeated attempts.
    pub budget: Option<RetryBudget>,
    /// Maximum number of descriptors of a front node.
    pub sockets: usize,
    /// Maximum resident memory of a front node, MB.
    pub memory_mb: u64,
    /// Time from SIGTERM to the earliest kill.
    pub kill_after: Micros,
}

/// The answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The session plays; the description from the answer.
    Served(Vec<u8>),
    /// Refused: a retry is harmless.
    Refused,
    /// Failed.
    Failed,
}

/// How an attempt ended at its server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The session plays; the description from the answer.
    SetUp(Vec<u8>),
    /// Refused; it never ran.
    NeverRan,
    /// Failed or reset; it may have run.
    Failed,
    /// Given up by the front node, or its connection has ended.
    GivenUp,
}

/// An observed event.
#[derive(Clone, Debug)]
pub enum Event {
    /// A client wrote the last byte of a request.
    RequestSent {
        /// Session id.
        id: u64,
        /// The front node.
        node: usize,
        /// Number of the client's connection.
        conn: u64,
        /// Index of the class.
        class: usize,
        /// Patience of the client.
        patience: Micros,
    },
    /// A client gave a request up, or closed its connection.
    GaveUp {
        /// Session id.
        id: u64,
    },
    /// A client read a complete answer.
    Answered {
        /// Session id.
        id: u64,
        /// The answer.
        answer: Answer,
    },
    /// A client read bytes that cannot be decoded.
    Unreadable {
        /// Number of the client's connection.
        conn: u64,
    },
    /// A client's connection was closed by the front node or by the end of its process.
    ClosedByNode {
        /// Number of the connection.
        conn: u64,
    },
    /// A client's connection was closed by the client or reset by a network fault. The front node sends the ends of
    /// its sessions on another open connection.
    ClosedByClient {
        /// Number of the connection.
        conn: u64,
    },
    /// A request that crossed the end of its connection was sent once more, under the same id.
    RequestResent {
        /// Session id.
        id: u64,
        /// Number of the client's new connection; `None` if the process that it was sent to accepts none any more.
        conn: Option<u64>,
    },
    /// A session stands at a server that had no fault, although its client was told long ago that it is over.
    SessionStands {
        /// Session id.
        id: u64,
    },
    /// A server has reset a new connection that was not made for a set-up.
    ConnectionReset {
        /// The server.
        server: u32,
        /// The front node that made it.
        node: usize,
    },
    /// A client was told that its session is over or is to be opened again.
    Released {
        /// Session id.
        id: u64,
    },
    /// A playing session was handed over to the next process of its front node.
    HandedOver {
        /// Session id.
        id: u64,
        /// Number of the connection that was used.
        conn: u64,
    },
    /// A client ended its session.
    EndedByClient {
        /// Session id.
        id: u64,
    },
    /// A server that reads without delay read the first byte of a set-up.
    SetUpBegan {
        /// Session id.
        id: u64,
        /// The server.
        server: u32,
        /// The front node.
        node: usize,
    },
    /// A server read a complete set-up.
    SetUpReceived {
        /// Number of the attempt, unique in the trial.
        attempt: u64,
        /// Session id.
        id: u64,
        /// The server.
        server: u32,
        /// The front node.
        node: usize,
        /// Requested rung.
        rung: u64,
        /// Start of the server's process, if it started during the trial.
        started: Option<Micros>,
    },
    /// From this time on, the start of a server's process counts as announced to this front node.
    StartAnnounced {
        /// The server.
        server: u32,
        /// The front node.
        node: usize,
        /// The start.
        started: Micros,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Number of the attempt.
        attempt: u64,
        /// How it ended.
        end: AttemptEnd,
    },
    /// A session ended at its server.
    SessionEnded {
        /// Session id.
        id: u64,
        /// Whether a healthy server wrote the end to the front node on an open connection.
        notified: bool,
    },
    /// The process of a server was replaced at once before it could write the end of a session on any connection, and the
    /// front node had none to it: nothing but the list can tell it.
    EndForgotten {
        /// Session id.
        id: u64,
    },
    /// A front node released a session at its server.
    SessionReleased {
        /// Session id.
        id: u64,
    },
    /// A server does not read until then, so ends of attempts there are not observed.
    ServerUnresponsive {
        /// The server.
        server: u32,
        /// End of the period.
        until: Micros,
    },
    /// A process is suspended until then.
    ProcessSuspended {
        /// The front node.
        node: usize,
        /// End of the suspension.
        until: Micros,
    },
    /// From this time on, a server counts as announced to this front node as leaving.
    AnnouncedLeaving {
        /// The server.
        server: u32,
        /// The front node.
        node: usize,
    },
    /// A server counts as announced to this front node as ready.
    AnnouncedReady {
        /// The server.
        server: u32,
        /// The front node.
        node: usize,
    },
    /// A front node was told to shut down.
    ShutdownRequested {
        /// The front node.
        node: usize,
    },
    /// A front node was killed, by a fault or at the earliest time that the protocol allows.
    Killed {
        /// The front node.
        node: usize,
    },
    /// The process of a front node exited by itself.
    Exited {
        /// The front node.
        node: usize,
        /// Its exit code; `None` after a signal.
        code: Option<i32>,
    },
    /// Resources that a front node holds.
    ResourceSample {
        /// The front node.
        node: usize,
        /// Number of descriptors.
        sockets: usize,
        /// Resident memory, MB.
        memory_mb: u64,
    },
    /// A session still plays at a healthy server one second after its front node has shut down in order.
    SessionOrphaned {
        /// Session id.
        id: u64,
    },
    /// The test rig itself was late, so the times of events around this one are inaccurate.
    RigLate {
        /// Delay.
        delay: Micros,
    },
}

/// All events of a trial, in the order in which they were recorded.
#[derive(Clone, Debug)]
pub struct Record {
    /// Terms that the judge checks.
    pub terms: Terms,
    /// Events with their times.
    pub events: Vec<(Micros, Event)>,
    /// End of the trial.
    pub ended_at: Micros,
}
