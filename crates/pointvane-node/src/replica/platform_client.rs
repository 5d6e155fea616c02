//! HTTP client for the platform: one persistent connection, one call at a time.
//!
//! Owns the connection. The adapter defines the formats of calls and responses;
//! [`pointvane_dispatch::PlatformReader`] decides when to call.

use {
    crate::{connections::RelayBody, socket},
    bytes::{Bytes, BytesMut},
    http_body_util::BodyExt,
    hyper::{Request, StatusCode, body::Body, client::conn::http1, header::HOST},
    pointvane_dispatch::CallFailure,
    pointvane_serve::{CheckedBody, FramedHead, RequestSender, SendError},
    std::{net::SocketAddr, time::Duration},
    tokio::{task::spawn_local, time::timeout},
};

/// Maximum time to open a connection: as long as a response may take to begin.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum time between two chunks of a response body: as long as its first byte may take.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(700);
/// Maximum time to read a response body. A value of 1 MB in base64 takes 1.1 s at 10 Mbit/s; four times that
/// leaves room for other traffic on the link. Peers are queried in the meantime, and after a time-out
/// everything is read again.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(4_500);

/// The purpose of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Reads changes, with or without a long poll.
    Changes,
    /// Reads the first page of a snapshot.
    Everything,
    /// Reads a further page of a snapshot.
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

/// The reason why a call returned no usable response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The connection could not be opened.
    Unreachable,
    /// No response head arrived in time, or the connection failed before it.
    NoAnswer,
    /// The response body was truncated or did not complete in time.
    Truncated,
    /// The response body exceeds the caller's size limit.
    TooLong,
    /// The platform responded with an error status.
    Refused,
    /// The platform no longer holds the changes since the requested revision.
    HistoryGone,
    /// The response, or the call's target, cannot be parsed.
    Malformed,
}

impl CallError {
    /// The value of the label `reason` in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::NoAnswer => "no-answer",
            Self::Truncated => "broken-off",
            Self::TooLong => "too-long",
            Self::Refused => "refused",
            Self::HistoryGone => "history-gone",
            Self::Malformed => "malformed",
        }
    }

    /// The failure to report to the reader, which treats all transient failures alike.
    pub const fn failure(self) -> CallFailure {
        match self {
            Self::Unreachable | Self::NoAnswer | Self::Refused => CallFailure::Unavailable,
            Self::Truncated => CallFailure::Truncated,
            Self::TooLong => CallFailure::ExceedsSnapshotSize,
            Self::HistoryGone => CallFailure::HistoryGone,
            Self::Malformed => CallFailure::Malformed,
        }
    }
}

/// The client. A connection on which a call failed is not reused.
#[derive(Debug, Default)]
pub struct PlatformClient {
    connection: Option<RequestSender<RelayBody>>,
}

/// A response whose head has been received.
#[derive(Debug)]
pub struct PlatformAnswer {
    status: StatusCode,
    body: CheckedBody,
    framed: FramedHead,
    connection: RequestSender<RelayBody>,
}

impl PlatformClient {
    /// Calls the platform and waits for the head of its response.
    ///
    /// # Errors
    /// Returns a [`CallError`] if the connection cannot be opened or no head arrives within `call_timeout`.
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
        // The target comes from the adapter; an invalid URI is treated like a malformed response.
        let request = request.body(RelayBody::whole(Bytes::new())).map_err(|_| CallError::Malformed)?;
        let answer = timeout(call_timeout, connection.send(request)).await;
        let answer = answer.map_err(|_| CallError::NoAnswer)?.map_err(|error| match error {
            SendError::Unsent(_) | SendError::Broken => CallError::NoAnswer,
            SendError::Malformed(_) => CallError::Malformed,
        })?;
        let (head, body) = answer.response.into_parts();
        Ok(PlatformAnswer { status: head.status, body, framed: answer.framed, connection })
    }

    /// Reads a response body of at most `bytes_max` bytes within [`TRANSFER_TIMEOUT`], while it makes
    /// progress.
    ///
    /// # Errors
    /// Returns a [`CallError`] if the body is too long or incomplete, or the status is not 200.
    pub async fn read(&mut self, answer: PlatformAnswer, bytes_max: usize) -> Result<Bytes, CallError> {
        let body = timeout(TRANSFER_TIMEOUT, read_body(answer.body, bytes_max)).await;
        let body = body.map_err(|_| CallError::Truncated)??;
        self.connection = Some(answer.connection).filter(|_| answer.framed.is_connection_reusable());
        match answer.status {
            StatusCode::OK => Ok(body),
            StatusCode::GONE => Err(CallError::HistoryGone),
            _ => Err(CallError::Refused),
        }
    }

    /// Closes the connection, on which a response may still be outstanding.
    pub fn close(&mut self) {
        self.connection = None;
    }
}

/// Reads a body in chunks. Fails if no chunk arrives for [`PROGRESS_TIMEOUT`], and immediately if the
/// declared length is too long.
async fn read_body(mut body: CheckedBody, bytes_max: usize) -> Result<Bytes, CallError> {
    if body.size_hint().lower() > bytes_max as u64 {
        return Err(CallError::TooLong);
    }
    let mut bytes = BytesMut::new();
    loop {
        let frame = timeout(PROGRESS_TIMEOUT, body.frame()).await.map_err(|_| CallError::Truncated)?;
        let Some(frame) = frame else { return Ok(bytes.freeze()) };
        // Trailers are ignored.
        let Ok(chunk) = frame.map_err(|_| CallError::Truncated)?.into_data() else { continue };
        if bytes.len() + chunk.len() > bytes_max {
            return Err(CallError::TooLong);
        }
        bytes.extend_from_slice(&chunk);
    }
}

async fn open(address: SocketAddr) -> Result<RequestSender<RelayBody>, CallError> {
    let stream = socket::connect(address, CONNECT_TIMEOUT).await.map_err(|_| CallError::Unreachable)?;
    let opened = RequestSender::start(&http1::Builder::new(), stream).await;
    let (sender, driver) = opened.map_err(|_| CallError::Unreachable)?;
    spawn_local(driver);
    Ok(sender)
}
