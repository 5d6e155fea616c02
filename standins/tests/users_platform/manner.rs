//! How a stand-in for an upstream behaves.

use super::message::Message;

/// How an upstream answers requests; it always answers questions about its health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// A whole answer.
    Well,
    /// A whole answer after this many milliseconds.
    After(u64),
    /// It runs the request and closes with no answer.
    LoseAnswer,
    /// It runs the request and answers with another request's id.
    OtherId,
    /// It says that it is full and did not run the request.
    Shed,
    /// It says 503 but not that it did not run the request.
    Bare503,
    /// It says that it is another upstream.
    Misdirected,
    /// It tells a length and closes before that.
    CutShort,
    /// A whole answer, and another one behind it.
    Surplus,
    /// It runs the request and never answers.
    Silent,
    /// It answers well and tells nothing of its load.
    TellsNothing,
    /// It answers requests well, and questions about its health only after so many milliseconds.
    LateHealth(u64),
    /// It answers well, and says that it is cold for another minute.
    Cold,
    /// It turns requests away and asks for a pause of so many milliseconds; it reports itself idle all the while.
    AskForPause(u64),
    /// The same, so many milliseconds after the request came, whether or not anybody waits for the answer by then. Only a pause that is asked for on a
    /// connection that still stands is kept in its record.
    AskForPauseLate { pause_ms: u64, after_ms: u64 },
    /// The same, when the time that the request was given is over.
    AskForPauseAtDeadline(u64),
    /// It answers well, and says in each answer that it is leaving.
    SayLeaving,
    /// It answers well, and names in each answer how many requests it takes from all nodes in a thousand seconds.
    NameLimit { per_1000_s: u32 },
    /// It answers well, but resets a connection that has rested when the next bytes come.
    ForgetIdle,
    /// The same, and it tells nothing of its load.
    ForgetIdleSilently,
}

/// Time after the deadline at which work is turned away that was held until then, in milliseconds: after whoever sent it has given it up.
const LATE_MS: u64 = 10;

impl Manner {
    /// The manner in which one request is answered: what rests on the time that it was given is resolved.
    pub fn for_request(self, request: &Message) -> Self {
        match self {
            Self::AskForPauseAtDeadline(pause_ms) => {
                let given_ms = request.header("pointvane-deadline-ms").and_then(|text| text.parse().ok());
                Self::AskForPauseLate { pause_ms, after_ms: given_ms.unwrap_or(0) + LATE_MS }
            }
            other => other,
        }
    }
}
