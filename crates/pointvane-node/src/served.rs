//! Connections whose HTTP server has ended: why it did, and how they are closed.

use {
    crate::{lifecycle::OpenConnection, node::Node, serve::idle_time},
    pointvane_core::PlatformAdapter,
    pointvane_serve::{CloseLimits, CloseResult, Closed, io_source, reset},
    std::io,
    tokio::net::TcpStream,
};

/// Why the server of a connection ended before its caller closed it.
#[derive(Debug)]
pub enum ServeError {
    /// The connection, or the body of a response, failed.
    Http(hyper::Error),
    /// A response was not complete at the deadline of its request.
    Overdue,
}

impl ServeError {
    /// The I/O error of the connection that caused this, if one did.
    fn io_error(&self) -> Option<&io::Error> {
        match self {
            // The body of a response broke off, which says nothing of the connection that it is sent on.
            Self::Http(error) if error.is_user() => None,
            Self::Http(error) => io_source(error),
            Self::Overdue => None,
        }
    }
}

/// Why a response whose first bytes were sent is incomplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IncompleteReason {
    /// The upstream broke it off.
    BrokeOff,
    /// It was not complete at the deadline of its request.
    Overdue,
}

impl IncompleteReason {
    /// Name in metrics and log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BrokeOff => "broke-off",
            Self::Overdue => "overdue",
        }
    }
}

/// A connection whose server has ended, and which must be closed.
pub struct Served<'n, A: PlatformAdapter> {
    node: &'n Node<A>,
    stream: Option<TcpStream>,
    error: Option<ServeError>,
    _open: OpenConnection,
}

impl<'n, A: PlatformAdapter> Served<'n, A> {
    /// A connection of `node` that counts as open until it is closed; `stream` is that of the server.
    pub fn new(
        node: &'n Node<A>,
        stream: Option<TcpStream>,
        error: Option<ServeError>,
        open: OpenConnection,
    ) -> Self {
        Self { node, stream, error, _open: open }
    }

    /// Why a response is incomplete, if the server ended for that.
    pub fn incomplete_response(&self) -> Option<IncompleteReason> {
        match &self.error {
            Some(ServeError::Overdue) => Some(IncompleteReason::Overdue),
            Some(ServeError::Http(error)) if error.is_user() => Some(IncompleteReason::BrokeOff),
            _ => None,
        }
    }

    /// Closes the connection, and returns how it ended.
    pub async fn close(mut self) -> Closed {
        let limits = CloseLimits {
            idle_time: idle_time(self.node),
            bytes_max: self.node.dispatcher.routes().limits().body_bytes_max,
        };
        let closed = match (self.error.as_ref().and_then(ServeError::io_error), self.stream.take()) {
            (None, Some(stream)) => self.node.closing_connections.close(stream, limits).await,
            (error, _) => {
                let result = error.map_or(CloseResult::Reset, CloseResult::of_error);
                Closed { result, dropped_bytes: 0 }
            }
        };
        self.node.report.connection_closed(closed.result);
        closed
    }

    /// Resets the connection.
    pub fn reset(mut self) -> Option<Closed> {
        let closed = self.stream.take().map(reset);
        closed.iter().for_each(|closed| self.node.report.connection_closed(closed.result));
        closed
    }
}
