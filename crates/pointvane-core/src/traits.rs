//! Clock and platform interfaces, and the load and limit reports that processes exchange.

use {
    crate::{LimitNotice, Name, PER_1000_S},
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// A monotonic clock.
pub trait Clock {
    /// Current time in microseconds since an arbitrary start.
    fn now_us(&self) -> u64;
}

/// Load report of an upstream, in a response to a request or a health probe.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests in flight, queued or running.
    pub in_flight: u16,
    /// Whether it is draining and gets no new requests.
    pub draining: bool,
    /// Request limit, which applies to all entry VMs together.
    pub limit: LimitNotice,
}

impl LoadReport {
    /// Parses the ORCA text format `TEXT named_metrics.in_flight=3,named_metrics.draining=1`, to which
    /// `,named_metrics.request_limit=2.5` is added if the upstream advertises a limit, in requests per
    /// second. Unknown fields are ignored; `None` if the text is malformed or lacks `in_flight`.
    pub fn parse(text: &str) -> Option<Self> {
        let fields = text.strip_prefix("TEXT ")?;
        let mut report = Self::default();
        let mut has_in_flight = false;
        for field in fields.split(',') {
            let (name, value) = field.trim().split_once('=')?;
            match name {
                "named_metrics.in_flight" => {
                    // `in_flight` is required.
                    report.in_flight = value.parse().ok()?;
                    has_in_flight = true;
                }
                "named_metrics.draining" => report.draining = value == "1",
                "named_metrics.request_limit" => report.limit = LimitNotice::parse([value.as_bytes()]),
                _ => {}
            }
        }
        has_in_flight.then_some(report)
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "TEXT named_metrics.in_flight={}", self.in_flight)?;
        write!(f, ",named_metrics.draining={}", u8::from(self.draining))?;
        match self.limit {
            LimitNotice::Advertised(per_1000_s) => {
                write!(f, ",named_metrics.request_limit={}", f64::from(per_1000_s) / PER_1000_S)
            }
            LimitNotice::Absent | LimitNotice::Malformed => Ok(()),
        }
    }
}

/// An entry VM's view of one upstream of a service, as sent to other entry VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Index of the upstream in the configuration.
    pub position: u16,
    /// Requests in flight at the upstream.
    pub requests: u16,
    /// Whether the upstream is shutting down.
    pub leaving: bool,
    /// Age at the time of sending or receiving, in milliseconds.
    pub age_ms: u16,
}

/// An upstream's advertised limit, as sent to other entry VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObservedLimit {
    /// Index of the upstream in the configuration.
    pub position: u16,
    /// Limit in requests per 1000 seconds; `None` if the upstream no longer advertises one.
    pub per_1000_s: Option<u32>,
    /// Time since the upstream advertised this, in milliseconds.
    pub age_ms: u32,
}

/// A value read from the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformReading {
    /// The platform's modification index of the value.
    pub index: u64,
    /// The value; `None` if nothing is published under the key.
    pub value: Option<Vec<u8>>,
}

/// Errors of reading from the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformError {
    /// No response, or an error response.
    Unavailable,
    /// The response cannot be decoded.
    Malformed,
}

/// Read-only interface to the service that stores what operators publish.
pub trait Platform {
    /// Waits until the index of the value under `key` exceeds `after_index`, or until the platform's own
    /// timeout, and returns the value.
    ///
    /// # Errors
    /// A [`PlatformError`] when no usable response arrived.
    fn watch(&self, key: &Name, after_index: u64) -> Result<PlatformReading, PlatformError>;
}
