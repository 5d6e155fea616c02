//! Types, units, the closed list of error kinds and the small traits at pointvane's interfaces.
//!
//! Nothing here does I/O, starts a thread or reads a clock. Times are microseconds of a monotonic clock
//! (`*_us`) unless a name says otherwise.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod deployment;
mod error;
mod identity;
mod key;
mod request;
mod token_bucket;
mod traits;

pub use {
    deployment::{
        CallerLimits, Change, ChangePage, DirectoryQuestion, HeaderNames, MalformedReply, PlatformAdapter,
        RefusedItem, RouteKind, RouteRule, RoutingConfiguration, ServiceRule, UpstreamLoad, UpstreamRecord,
        WeightedService,
    },
    error::{AnswerRow, ErrorKind, Outcome},
    identity::{Incarnation, Name, VmIdentity, VmState},
    key::{IdempotencyKey, KeyError},
    request::{Class, header},
    token_bucket::TokenBucket,
    traits::{Clock, LoadReport, Observation, Platform, PlatformError, PlatformReading},
};

/// Microseconds in a millisecond.
pub const US_PER_MS: u64 = 1_000;
/// Microseconds in a second.
pub const US_PER_S: u64 = 1_000_000;
