//! Closes of client connections by this node. Each has a reason, which is logged with the requests that are open on the
//! connection.

use super::{ClientId, Command, Core, Decider, Level};

/// Why this node closes a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// There are more connections than the limit, and nothing or half a message has come on this one.
    TooManyConnections,
    /// Clients wait to be accepted, and no place is left.
    NoPlaceLeft,
    /// A message of a kind that clients do not send.
    UnknownMessage,
    /// The bytes cannot be decoded.
    Unreadable,
    /// An invalid request under the id of a known session.
    InvalidUnderKnownId(u64),
    /// A request under the id of another one, which an answer would be taken for.
    IdInUse(u64),
    /// The client has closed its writing side.
    ClosedByClient,
    /// Nothing belongs to it, and no message has come for long.
    Idle,
    /// The process is about to exit.
    Shutdown,
}

impl<D: Decider> Core<D> {
    /// Closes a client's connection, if it is not closed yet. Its open requests are answered as failed and given up.
    pub(super) fn close_client(&mut self, client: ClientId, reason: CloseReason, out: &mut Vec<Command>) {
        if !self.admission.contains(client) {
            return;
        }
        let open_requests = self.admission.open_requests(client);
        log_close(client, reason, &open_requests, out);
        for id in open_requests {
            // The request was accepted, so it is answered before the connection closes.
            self.report_client_gone(id);
            self.fail(id, out);
        }
        out.push(Command::CloseClient(client));
        if let Some(closing_clients) = &mut self.closing_clients {
            closing_clients.insert(client);
        }
        self.client_closed(client, out);
    }
}

/// Logs a close, at info if it ends requests or answers a client's fault.
fn log_close(client: ClientId, reason: CloseReason, open_requests: &[u64], out: &mut Vec<Command>) {
    let is_routine = !matches!(reason, CloseReason::InvalidUnderKnownId(_) | CloseReason::IdInUse(_));
    let level = if is_routine && open_requests.is_empty() { Level::Debug } else { Level::Info };
    let ids: Vec<String> = open_requests.iter().map(|id| format!("{id:016x}")).collect();
    let text = format!("client {}: closed, {reason:x?}, failed requests: [{}]", client.0, ids.join(" "));
    out.push(Command::Log(level, text));
}
