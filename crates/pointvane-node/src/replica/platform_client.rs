//! The node's client for the platform: one kept connection, one call at a time.
//!
//! Owns the connection. Formats of calls and answers are the adapter's; when to call is decided by
//! [`pointvane_dispatch::PlatformReader`].

use {
    crate::{connections::RelayBody, socket},
    bytes::{Bytes, BytesMut},
    http_body_util::BodyExt,
    hyper::{
        Request, StatusCode,
        body::{Body, Incoming},
        client::conn::http1::{self, SendRequest},
        header::HOST,
    },
    hyper_util::rt::TokioIo,
    pointvane_dispatch::CallFailure,
    std::{net::SocketAddr, time::Duration},
    tokio::{task::spawn_local, time::timeout},
};

/// Longest time for a new connection. Not measured: as long as an answer may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Longest time between two pieces of an answer's body. Not measured: as long as its first byte may take.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(700);
/// Longest time for the body of an answer. Worked out, not measured: a value of a megabyte in base64 takes 1.1 s at 10 Mbit/s; four
/// times that leaves room for other traffic on the link. Peers are queried beside it, and after it everything is read anew.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(4_500);

/// What a call is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Changes, waited for or not.
    Changes,
    /// Everything, of which this is the first page.
    Everything,
    /// A further page of everything.
    Page,
}

impl CallKind {
    /// The value of the label `kind` in metrics and events.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Changes => "changes",
            Self::Everything => "everything",
            Self::Page => "page",
        }
    }
}

/// Why a call gave no answer that can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No connection came up.
    Unreachable,
    /// No head of an answer came in time, or the connection broke before it.
    NoAnswer,
    /// The answer's body broke off, or did not come whole in time.
    BrokenOff,
    /// The answer's body is longer than the caller of the client reads.
    TooLong,
    /// The platform refused the call.
    Refused,
    /// The platform no longer holds the changes since the revision that is known.
    HistoryGone,
    /// The answer is too long, or cannot be understood.
    Malformed,
}

impl CallError {
    /// The value of the label `reason` in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::NoAnswer => "no-answer",
            Self::BrokenOff => "broken-off",
            Self::TooLong => "too-long",
            Self::Refused => "refused",
            Self::HistoryGone => "history-gone",
            Self::Malformed => "malformed",
        }
    }

    /// What the reader is told: it treats all that may pass alike.
    pub const fn failure(self) -> CallFailure {
        match self {
            Self::Unreachable | Self::NoAnswer | Self::Refused => CallFailure::Unavailable,
            Self::BrokenOff => CallFailure::BrokenOff,
            Self::TooLong => CallFailure::LongerThanState,
            Self::HistoryGone => CallFailure::HistoryGone,
            Self::Malformed => CallFailure::Malformed,
        }
    }
}

/// The client; a connection on which a call failed is not used again.
#[derive(Debug, Default)]
pub struct PlatformClient {
    connection: Option<SendRequest<RelayBody>>,
}

/// An answer whose head has come.
#[derive(Debug)]
pub struct PlatformAnswer {
    status: StatusCode,
    body: Incoming,
    connection: SendRequest<RelayBody>,
}

impl PlatformClient {
    /// Calls the platform, and waits for the head of its answer.
    ///
    /// # Errors
    /// A [`CallError`] when none comes within the time-out.
    pub async fn call(
        &mut self,
        address: SocketAddr,
        target: &str,
        call_timeout: Duration,
    ) -> Result<PlatformAnswer, CallError> {
        let mut connection = match self.connection.take() {
            Some(connection) if connection.is_ready() => connection,
            _ => open(address).await?,
        };
        let request = Request::get(target).header(HOST, address.to_string());
        // The target comes from the adapter; one that is no URI is as bad as an answer that cannot be understood.
        let request = request.body(RelayBody::whole(Bytes::new())).map_err(|_| CallError::Malformed)?;
        let answer = timeout(call_timeout, connection.send_request(request)).await;
        let (head, body) = answer.ok().and_then(Result::ok).ok_or(CallError::NoAnswer)?.into_parts();
        Ok(PlatformAnswer { status: head.status, body, connection })
    }

    /// Reads the body of an answer of at most `bytes_max` as long as it goes on coming, within [`TRANSFER_TIMEOUT`].
    ///
    /// # Errors
    /// A [`CallError`] when it is longer, does not come whole, or is no success.
    pub async fn read(&mut self, answer: PlatformAnswer, bytes_max: usize) -> Result<Bytes, CallError> {
        let body = timeout(TRANSFER_TIMEOUT, gather_steadily(answer.body, bytes_max)).await;
        let body = body.map_err(|_| CallError::BrokenOff)??;
        self.connection = Some(answer.connection);
        match answer.status {
            StatusCode::OK => Ok(body),
            StatusCode::GONE => Err(CallError::HistoryGone),
            _ => Err(CallError::Refused),
        }
    }

    /// Closes the connection: an answer may be under way on it, or lost.
    pub fn close(&mut self) {
        self.connection = None;
    }
}

/// Reads a body piece by piece; fails when none comes for [`PROGRESS_TIMEOUT`], and at once when it is announced to be too long.
async fn gather_steadily(mut body: Incoming, bytes_max: usize) -> Result<Bytes, CallError> {
    if body.size_hint().lower() > bytes_max as u64 {
        return Err(CallError::TooLong);
    }
    let mut bytes = BytesMut::new();
    loop {
        let frame = timeout(PROGRESS_TIMEOUT, body.frame()).await.map_err(|_| CallError::BrokenOff)?;
        let Some(frame) = frame else { return Ok(bytes.freeze()) };
        // Trailers are no part of the answer.
        let Ok(piece) = frame.map_err(|_| CallError::BrokenOff)?.into_data() else { continue };
        if bytes.len() + piece.len() > bytes_max {
            return Err(CallError::TooLong);
        }
        bytes.extend_from_slice(&piece);
    }
}

async fn open(address: SocketAddr) -> Result<SendRequest<RelayBody>, CallError> {
    let stream = socket::connect(address, CONNECT_TIMEOUT).await.map_err(|_| CallError::Unreachable)?;
    let opened = http1::handshake(TokioIo::new(stream)).await;
    let (sender, driver) = opened.map_err(|_| CallError::Unreachable)?;
    spawn_local(driver);
    Ok(sender)
}
