//! Reasons why an upstream may get no request now. `eligibility.rs` decides which of them applies.

use pointvane_core::ErrorKind;

/// Why an upstream may get no request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ineligible {
    /// It is no longer known.
    Gone,
    /// It is draining.
    Draining,
    /// It announced in a response that it is leaving.
    Leaving,
    /// Its data centre is being evacuated by operators.
    Evacuated,
    /// It asked this node to send no requests for some time, or that time is over and a single trial request
    /// is in flight.
    BackingOff,
    /// It advertises a request limit, and this node's share of it is used up or zero.
    Limited,
    /// It is warming up, and this node's share of the requests that it can take meanwhile is used up.
    Cold,
    /// It is outside the regions that may serve the request.
    OutsideRegions,
    /// It was ejected after failures. It still gets requests if the service has no other upstream.
    Ejected,
}

impl Ineligible {
    /// Whether the reason applies even if the service has no other upstream.
    pub const fn is_binding(self) -> bool {
        !matches!(self, Self::Ejected)
    }

    /// The name of the reason in log lines, metrics and the status report.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Gone => "gone",
            Self::Draining => "draining",
            Self::Leaving => "leaving",
            Self::Evacuated => "evacuated",
            Self::BackingOff => "backing-off",
            Self::Limited => "limited",
            Self::Cold => "cold",
            Self::OutsideRegions => "outside-regions",
            Self::Ejected => "ejected",
        }
    }

    /// The error returned for a request that found no upstream for this reason.
    pub const fn error(self) -> ErrorKind {
        match self {
            Self::Evacuated => ErrorKind::Evacuated,
            // Temporary: this node draws again for the upstream in the next interval.
            Self::Cold => ErrorKind::Overloaded,
            Self::BackingOff => ErrorKind::UpstreamsBackingOff,
            Self::Limited => ErrorKind::UpstreamsLimited,
            Self::Gone | Self::Draining | Self::Leaving | Self::OutsideRegions | Self::Ejected => {
                ErrorKind::NoUpstream
            }
        }
    }
}
