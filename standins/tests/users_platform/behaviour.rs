//! Behaviour of a stand-in upstream.

use super::{malformed::Malformed, message::Message};

/// How an upstream responds to requests. Health probes are answered in every case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamBehaviour {
    /// A complete response.
    Normal,
    /// A complete response after this many milliseconds.
    Delayed(u64),
    /// Runs the request and closes the connection without a response.
    LoseResponse,
    /// Runs the request and responds with the id of another request.
    WrongRequestId,
    /// Rejects the request with 503 and says that it did not run.
    Reject,
    /// Responds with 503 without saying that the request did not run.
    Unmarked503,
    /// Responds that it is another upstream (421).
    Misdirected,
    /// Announces a length and closes the connection before that many bytes.
    Truncated,
    /// Runs the request and sends a malformed response.
    Malformed(Malformed),
    /// A complete response followed by a second one.
    DuplicateResponse,
    /// Runs the request and never responds.
    Silent,
    /// A complete response; reports that all slots are in use and requests are queued.
    ReportFull,
    /// A complete response without a load report.
    NoLoadReport,
    /// A complete response; health probes are answered only after this many milliseconds.
    SlowProbes(u64),
    /// A complete response; reports to probes that it is cold for another minute.
    Cold,
    /// Rejects requests and asks for a pause of this many milliseconds while reporting itself idle.
    RequestPause(u64),
    /// As [`Self::RequestPause`], but `after_ms` milliseconds after the request arrived, whether or not the
    /// connection is still open by then. Only a pause requested on an open connection is recorded.
    RequestPauseLate { pause_ms: u64, after_ms: u64 },
    /// As [`Self::RequestPauseLate`], shortly after the deadline of the request; the value is the pause in
    /// milliseconds.
    RequestPauseAtDeadline(u64),
    /// A complete response that announces that the upstream is leaving.
    AnnounceLeaving,
    /// A complete response that announces how many requests per 1000 s the upstream accepts from all nodes
    /// together.
    AnnounceLimit { per_1000_s: u32 },
    /// A complete response; resets a connection that was idle when the next bytes arrive.
    ResetIdle,
    /// As [`Self::ResetIdle`], without a load report.
    ResetIdleWithoutLoadReport,
    /// A response with a body of this length after some milliseconds.
    Long { after_ms: u64, length: BodyLength, end: BodyEnd },
    /// A complete response; reads the body of the request only after a pause.
    PauseReading { pause_ms: u64, respond: RespondTime },
}

/// When an upstream that pauses while it reads a request responds to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RespondTime {
    /// Before it reads the body.
    BeforeBody,
    /// Once it has read the body.
    AfterBody,
}

/// Length of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// Announced in the head, in bytes.
    Known(usize),
    /// Sent in chunks, in bytes.
    Chunked(usize),
}

/// How a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// It is complete.
    Complete,
    /// The connection closes before its last bytes.
    BreaksOff,
    /// The last bytes never come, and the connection stays open.
    Hangs,
}

/// Time after the deadline at which a request held until then is rejected, in milliseconds: the sender has
/// given up by then.
const AFTER_DEADLINE_MS: u64 = 10;

impl UpstreamBehaviour {
    /// Resolves the behaviour for one request: replaces a variant that depends on the deadline by one with a
    /// fixed delay.
    pub fn for_request(self, request: &Message) -> Self {
        match self {
            Self::RequestPauseAtDeadline(pause_ms) => {
                let deadline_ms = request.header("pointvane-deadline-ms").and_then(|text| text.parse().ok());
                Self::RequestPauseLate { pause_ms, after_ms: deadline_ms.unwrap_or(0) + AFTER_DEADLINE_MS }
            }
            other => other,
        }
    }
}
