//! Types, units, the closed list of error kinds and the small traits at pointvane's interfaces.
//!
//! Of both forms: `backoff`, `error`, `identity`, `late_answer`, `request_limit`, `retry_after`, `token_bucket`. Of the three programs: `key`, `request`, `traits`. Of the node: `account`, `adapter`, `evacuation`,
//! `published`, `routing`, `routing_delta`.
//!
//! Nothing here does I/O, starts a thread or reads a clock. Times are microseconds of a monotonic clock
//! (`*_us`) unless a name says otherwise.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod account;
mod adapter;
mod backoff;
mod error;
mod evacuation;
mod hedge_schedule;
mod identity;
mod key;
mod late_answer;
mod published;
mod request;
mod request_limit;
mod retry_after;
mod routing;
mod routing_delta;
mod token_bucket;
mod traits;

pub use {
    account::{AccountRule, KeyDigest, Quota},
    adapter::{DirectoryQuestion, HeaderNames, PlatformAdapter, ReadFreshness},
    backoff::{Backoff, return_spread_us},
    error::{AnswerRow, ErrorKind, Outcome},
    evacuation::Evacuation,
    hedge_schedule::HedgeSchedule,
    identity::{Incarnation, Name, VmIdentity, VmState},
    key::{IdempotencyKey, KeyError},
    late_answer::SentRequest,
    published::{
        Change, ChangePage, EntryAge, EntryKey, ItemFault, MalformedReply, RefusedItem, UpstreamLoad,
        UpstreamRecord,
    },
    request::{Class, header},
    request_limit::{LimitChange, LimitNotice, LimitPlace, LimitReport, PER_1000_S, RequestLimit},
    retry_after::retry_after_us,
    routing::{CallerLimits, RouteKind, RouteRule, RoutingConfiguration, ServiceRule, WeightedService},
    routing_delta::{AccountsDelta, DeltaMismatch, RoutingDelta},
    token_bucket::TokenBucket,
    traits::{Clock, LoadReport, Observation, ObservedLimit, Platform, PlatformError, PlatformReading},
};

/// Microseconds in a millisecond.
pub const US_PER_MS: u64 = 1_000;
/// Microseconds in a second.
pub const US_PER_S: u64 = 1_000_000;
