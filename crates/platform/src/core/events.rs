//! What passes between the core and its edge: events, commands and timers.

use std::net::SocketAddr;

use salttally::interface::{ServerId, ViewerId};

use super::{ClientId, ConnId, DialError, Level};
use crate::wire::frames::Frame;
use crate::wire::Message;

/// An event that the edge passes to the core.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeEvent {
    /// A client's connection was accepted.
    ClientConnected(ClientId),
    /// A message arrived on a client's connection.
    ClientMessage(ClientId, Message),
    /// A part of a message arrived on a client's connection, and not all of it.
    ClientPartial(ClientId),
    /// Clients wait for their connections to be accepted, and no place is left.
    ClientsWaiting,
    /// The bytes on a client's connection cannot be decoded any further.
    ClientUnreadable(ClientId),
    /// A client's connection broke or was reset: nothing that is written reaches the client any more.
    ClientClosed(ClientId),
    /// The client closed its writing side; it may still be reading.
    ClientHalfClosed(ClientId),
    /// Bytes arrived on a client's connection after this node had closed it, or may arrive unseen: they crossed the
    /// close, and are not read.
    ClientWroteAfterClose(ClientId),
    /// A connection that this node has closed is gone: its client has closed it too, or is not waited for any longer.
    ClosedClientGone(ClientId),
    /// A connection attempt to a media server finished.
    ConnectEnded(ConnId, Result<(), DialError>),
    /// A message from a media server.
    ServerMessage(ConnId, Message),
    /// Several messages from a media server that came in one read, in order.
    ServerMessages(ConnId, Vec<Message>),
    /// A media server closed its writing side of a connection that this node is finishing. One of the next
    /// three events tells whether the server has read everything that was written.
    ServerHalfClosed(ConnId),
    /// A media server has not closed a connection that this node is finishing, for as long as the edge waits.
    FinishOverdue(ConnId),
    /// A media server closed its connection, and everything that it wrote has been passed in.
    ServerClosed(ConnId),
    /// A media server reset its connection: it may not have read what was written last.
    ServerReset(ConnId),
    /// A connection to a media server is gone without a close by the server: the server may still read what
    /// was written.
    ServerLost(ConnId),
    /// The bytes on a media server's connection cannot be decoded any further.
    ServerUnreadable(ConnId),
    /// A media server's connection accepts no more bytes: the set-up of the given session was partly written,
    /// and of the given messages not a byte was.
    ServerBlocked(ConnId, Option<u64>, Vec<Message>),
    /// A blocked media server connection accepts bytes again.
    ServerWritable(ConnId),
    /// A connection to the coordinator is established.
    ListConnected(u64),
    /// Bytes arrived on a coordinator connection, and do not complete a frame yet.
    ListBytes(u64),
    /// A frame arrived on a coordinator connection.
    ListFrame(u64, Frame),
    /// A coordinator connection broke, could not be established, or could not be decoded.
    ListClosed(u64),
    /// The coordinator is at another address from now on.
    CoordinatorMoved(SocketAddr),
    /// The process was asked to shut down.
    Shutdown,
    /// Timers up to the given time are to fire. The sockets were polled at that time, and everything that lay
    /// in them then has been passed in.
    Tick,
}

/// What the edge has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Write a message to a client.
    SendToClient(ClientId, Message),
    /// Close a client's connection once everything is written.
    CloseClient(ClientId),
    /// Connect to a media server.
    Connect(ConnId, SocketAddr),
    /// Write a message to a media server.
    SendToServer(ConnId, Message),
    /// Close a connection to a media server: write what the socket accepts at once, and wait for nothing.
    CloseServer(ConnId),
    /// Shut down the writing side of a media server's connection, pass in what the server still sends until
    /// it closes too or a time limit passes, and then report the close.
    FinishServer(ConnId),
    /// Connect to the coordinator, and send it this event number.
    ConnectList(u64, SocketAddr, u64),
    /// Close a coordinator connection.
    CloseList(u64),
    /// Write a line to the log.
    Log(Level, String),
    /// Every open request has been answered, nothing is owed any more, and the process may exit.
    Exit,
}

/// A timer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// An attempt times out.
    AttemptTimeout(u64, u32),
    /// The decider asked to be woken with this tag.
    Wake(u64),
    /// The answer to a request is overdue.
    AnswerDeadline(u64),
    /// A moved client is no longer expected back.
    MovedClientExpiry(ViewerId),
    /// Check whether a release was lost with its connection.
    ReleaseCheck(u64, ServerId),
    /// A moved session has not ended at its media server.
    MoveTimeout(u64),
    /// A connection was not established in time.
    ConnectTimeout(ConnId),
    /// Check whether a connection to a media server has been idle for too long.
    IdleTimeout(ConnId),
    /// Check whether a connection to a media server has been blocked for too long.
    WriteTimeout(ConnId),
    /// A probe times out.
    ProbeTimeout(u64),
    /// A media server that ends its connections at once may be dialled again.
    DialBackoff(ServerId),
    /// Check a media server that holds sessions.
    HealthCheck(ServerId),
    /// Check a media server that may owe ends of sessions.
    OwedEnds(ServerId),
    /// Check whether a media server has sent something on its sessions since its last connection was reset.
    RestartProof(ServerId),
    /// Check whether a media server has sent a note since sessions there were handed over.
    HandOverCheck(ServerId),
    /// Check whether a media server has closed the connections that were finished.
    StalledFinish(ServerId),
    /// Check whether a client has acknowledged what it was told about this session.
    ClientNotice(u64),
    /// Check whether a client's connection has been silent for too long.
    ClientIdle(ClientId),
    /// What is kept of a request for its second copy is of no more use.
    RetentionEnd(u64),
    /// Check for silence of the coordinator, or connect to it again.
    ListWatch,
    /// The next step of the shutdown is due.
    Shutdown,
}
