//! A single call: its request, its attempts and the check of its response.

use {
    super::{
        class_of,
        route::{Callers, EntryAddress, SendFailure},
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{Method, Request, Response, body::Incoming},
    pointvane_core::header,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Kind of a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CallKind {
    /// A read of the routine class.
    Lookup,
    /// A read of the urgent class.
    Urgent,
    /// A non-idempotent request with an idempotency key; retried with the same key if its outcome is unknown.
    Booking,
    /// An upload of this many bytes, with an idempotency key.
    Upload(usize),
    /// A read with zero service time at the upstream.
    Echo,
    /// The same read sent directly to one of these upstreams, without pointvane.
    Direct(Vec<SocketAddr>),
}

impl CallKind {
    /// Name of the kind in reports.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Lookup => "lookup",
            Self::Urgent => "urgent",
            Self::Booking => "booking",
            Self::Upload(_) => "upload",
            Self::Echo => "echo",
            Self::Direct(_) => "direct",
        }
    }

    /// Whether latency counts from the sending of the request instead of its scheduled arrival. This is so for the
    /// two kinds that are compared with each other.
    pub fn timed_from_send(&self) -> bool {
        matches!(self, Self::Echo | Self::Direct(_))
    }

    fn has_key(&self) -> bool {
        matches!(self, Self::Booking | Self::Upload(_))
    }
}

/// A call.
#[derive(Clone, Debug)]
pub struct Call {
    /// Kind of the call.
    pub kind: CallKind,
    /// Unique id, which the response must contain.
    pub id: String,
    /// Deadline sent with the request, in milliseconds.
    pub deadline_ms: u64,
    /// Index of the caller.
    pub caller: usize,
}

/// Outcome of a call as seen by its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The complete response of this call.
    Complete,
    /// Part of a response, or a lost connection.
    Truncated,
    /// A response that belongs to another call.
    Mismatched,
    /// An error response that says that the request has not run, with its error kind.
    NotRun(String),
    /// An error response with an unknown outcome, or a keyed call whose connection was lost, with the reason.
    Unknown(String),
    /// An error response of the upstream, with its status.
    ErrorResponse(u16),
    /// No entry VM was available.
    NoEntry,
}

/// Largest number of attempts of a call. Another attempt follows if the entry VM could not be reached, or if a call
/// with a key has no known outcome.
const ATTEMPTS_MAX: usize = 3;

impl Call {
    /// Runs the call. `latency` is set to the latency of the last attempt whose response arrived completely, from
    /// sending the request to the end of the response.
    pub async fn run(&self, callers: &Callers, latency: &mut Duration) -> CallOutcome {
        if let CallKind::Direct(upstreams) = &self.kind {
            let number = self.id.bytes().map(usize::from).sum::<usize>() % upstreams.len();
            return self
                .attempt(callers, upstreams[number], "", latency)
                .await
                .unwrap_or(CallOutcome::Truncated);
        }
        let entries = callers.entries(self.caller).await;
        let Some(key_owner) = entries.first() else {
            return CallOutcome::NoEntry;
        };
        let mut last_outcome = CallOutcome::NoEntry;
        for number in 0..ATTEMPTS_MAX {
            // The key keeps the prefix of the first entry VM; any other entry VM forwards the call to that one.
            let entry: &EntryAddress = &entries[number % entries.len()];
            match self.attempt(callers, entry.address, &key_owner.key_prefix, latency).await {
                Ok(CallOutcome::Unknown(why)) if self.kind.has_key() => {
                    last_outcome = CallOutcome::Unknown(why)
                }
                Ok(CallOutcome::Truncated) if self.kind.has_key() => last_outcome = CallOutcome::Truncated,
                Ok(outcome) => return outcome,
                Err(SendFailure::NotSent) => callers.invalidate(self.caller),
                Err(SendFailure::ConnectionLost) if self.kind.has_key() => {
                    last_outcome = CallOutcome::Unknown("broken".into())
                }
                Err(SendFailure::ConnectionLost) => return CallOutcome::Truncated,
            }
        }
        last_outcome
    }

    /// Sends the request once and classifies the response.
    async fn attempt(
        &self,
        callers: &Callers,
        address: SocketAddr,
        key_prefix: &str,
        latency: &mut Duration,
    ) -> Result<CallOutcome, SendFailure> {
        let request = self.request(callers, key_prefix);
        let sent_at = Instant::now();
        let (response, sender) = callers.send(address, request).await?;
        let (status, headers) = (response.status().as_u16(), response.headers().clone());
        let Ok(body) = response_body(response).await else {
            return Ok(CallOutcome::Truncated);
        };
        callers.return_connection(address, sender);
        *latency = sent_at.elapsed();
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default();
        let error = text(header::ERROR).to_owned();
        Ok(match text(header::OUTCOME) {
            "not-run" => CallOutcome::NotRun(error),
            "unknown" => CallOutcome::Unknown(error),
            _ if status != 200 => CallOutcome::ErrorResponse(status),
            _ => self.check_body(&body),
        })
    }

    fn request(&self, callers: &Callers, key_prefix: &str) -> Request<Full<Bytes>> {
        let service = &callers.service;
        let (method, query, body) = match &self.kind {
            CallKind::Lookup | CallKind::Urgent => (Method::GET, "", Bytes::new()),
            CallKind::Booking => (Method::POST, "", Bytes::from_static(b"booking")),
            CallKind::Upload(size) => (Method::PUT, "", Bytes::from(vec![b'u'; *size])),
            CallKind::Echo | CallKind::Direct(_) => (Method::GET, "?work_ms=0", Bytes::new()),
        };
        let mut request = Request::builder()
            .method(method)
            .uri(format!("/{service}/call{query}"))
            .header("host", format!("{service}.example"))
            .header("x-request-id", &self.id)
            .header(header::DEADLINE_MS, self.deadline_ms)
            .header(header::CLASS, class_of(&self.kind).as_str());
        if self.kind.has_key() {
            request = request.header(header::KEY, format!("{key_prefix}{}", self.id));
        }
        request.body(Full::new(body)).unwrap_or_else(|error| panic!("request: {error}"))
    }

    /// Checks that the body starts and ends with the call's id and states the length of the uploaded body.
    fn check_body(&self, body: &[u8]) -> CallOutcome {
        let text = String::from_utf8_lossy(body);
        let body_bytes = match &self.kind {
            CallKind::Booking => 7,
            CallKind::Upload(size) => *size,
            _ => 0,
        };
        let id_matches = text.starts_with(&format!("{}\n{body_bytes}\n", self.id));
        let complete = text.ends_with(&format!("\nend {}\n", self.id));
        match (id_matches, complete) {
            (true, true) => CallOutcome::Complete,
            (true, false) => CallOutcome::Truncated,
            (false, _) => CallOutcome::Mismatched,
        }
    }
}

async fn response_body(response: Response<Incoming>) -> Result<Bytes, hyper::Error> {
    Ok(response.into_body().collect().await?.to_bytes())
}
