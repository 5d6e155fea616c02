//! Why probes are sent, for metrics.

/// Why a probe is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbePurpose {
    /// The first round of a search.
    FirstRound,
    /// No upstream of the first round was uncontended.
    LaterRound,
    /// No upstream of an earlier pass was uncontended.
    RepeatedPass,
    /// To find out whether a lost service responds again.
    Reachability,
}

impl ProbePurpose {
    /// Its name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::FirstRound => "first-round",
            Self::LaterRound => "later-round",
            Self::RepeatedPass => "repeated-pass",
            Self::Reachability => "reachability",
        }
    }
}
