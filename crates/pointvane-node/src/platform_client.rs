//! The node's client for the platform: one kept connection, one call at a time.
//!
//! Owns the connection. Formats of calls and answers are the adapter's; when to call is decided by
//! [`pointvane_dispatch::PlatformReader`].

use {
    crate::{body::gather, connections::RelayBody, socket},
    bytes::Bytes,
    hyper::{
        Request, StatusCode,
        body::Incoming,
        client::conn::http1::{self, SendRequest},
        header::HOST,
    },
    hyper_util::rt::TokioIo,
    pointvane_dispatch::CallFailure,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        task::spawn_local,
        time::{Instant, timeout_at},
    },
};

/// Longest time for a new connection. Not measured: as long as an answer may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Largest answer that is read, in bytes. Not measured: it bounds memory.
const ANSWER_MAX_BYTES: usize = 8 << 20;

/// Why a call gave no answer that can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No connection came up.
    Unreachable,
    /// No head of an answer came in time, or the connection broke before it.
    NoAnswer,
    /// The answer's body broke off, or did not come whole in time.
    BrokenOff,
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
            Self::Refused => "refused",
            Self::HistoryGone => "history-gone",
            Self::Malformed => "malformed",
        }
    }

    /// What the reader is told: it treats all that may pass alike.
    pub const fn failure(self) -> CallFailure {
        match self {
            Self::Unreachable | Self::NoAnswer | Self::BrokenOff | Self::Refused => CallFailure::Unavailable,
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
    deadline: Instant,
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
        let deadline = Instant::now() + call_timeout;
        let answer = timeout_at(deadline, connection.send_request(request)).await;
        let (head, body) = answer.ok().and_then(Result::ok).ok_or(CallError::NoAnswer)?.into_parts();
        Ok(PlatformAnswer { status: head.status, body, deadline, connection })
    }

    /// Reads the body of an answer.
    ///
    /// # Errors
    /// A [`CallError`] when it does not come whole within the time-out, or is no success.
    pub async fn read(&mut self, answer: PlatformAnswer) -> Result<Bytes, CallError> {
        let body = timeout_at(answer.deadline, gather(answer.body, ANSWER_MAX_BYTES)).await;
        let body = body.ok().and_then(Result::ok).ok_or(CallError::BrokenOff)?;
        if body.rest.is_some() {
            return Err(CallError::Malformed);
        }
        self.connection = Some(answer.connection);
        match answer.status {
            StatusCode::OK => Ok(body.bytes),
            StatusCode::GONE => Err(CallError::HistoryGone),
            _ => Err(CallError::Refused),
        }
    }

    /// Closes the connection: an answer may be under way on it, or lost.
    pub fn close(&mut self) {
        self.connection = None;
    }
}

async fn open(address: SocketAddr) -> Result<SendRequest<RelayBody>, CallError> {
    let stream = socket::connect(address, CONNECT_TIMEOUT).await.map_err(|_| CallError::Unreachable)?;
    let opened = http1::handshake(TokioIo::new(stream)).await;
    let (sender, driver) = opened.map_err(|_| CallError::Unreachable)?;
    spawn_local(driver);
    Ok(sender)
}
