//! Shared types, units, error kinds and interface traits of pointvane.
//!
//! Modules by the form of pointvane that uses them:
//!
//! - both forms of pointvane: `backoff`, `error`, `hedge_schedule`, `identity`, `late_answer`,
//!   `request_limit`, `retry_after`, `token_bucket`
//! - the separate entry, control and locate programs: `key`, `request`, `traits`
//! - the node, which combines the roles in one program: `account`, `adapter`, `evacuation`, `published`,
//!   `routing`, `routing_delta`
//!
//! This crate does no I/O, starts no threads and reads no clock. Times are microseconds of a monotonic clock
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
mod malformed_streak;
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
    adapter::{DirectoryQuery, HeaderNames, PlatformAdapter, ReadFreshness},
    backoff::{Backoff, resume_delay_max_us},
    error::{AnswerRow, ErrorKind, Outcome},
    evacuation::Evacuation,
    hedge_schedule::HedgeSchedule,
    identity::{Incarnation, Name, VmIdentity, VmState},
    key::{IdempotencyKey, KeyError},
    late_answer::SentRequest,
    malformed_streak::MalformedStreak,
    published::{
        Change, ChangePage, EntryKey, EntryVersion, ItemFault, MalformedReply, RefusedItem, UpstreamLoad,
        UpstreamRecord,
    },
    request::{Class, header},
    request_limit::{LimitChange, LimitNotice, LimitRank, LimitReport, PER_1000_S, RequestLimit},
    retry_after::retry_after_us,
    routing::{CallerLimits, RouteKind, RouteRule, RoutingConfiguration, ServiceRule, WeightedService},
    routing_delta::{AccountsDelta, DeltaMismatch, RoutingDelta},
    token_bucket::TokenBucket,
    traits::{Clock, LoadReport, Observation, ObservedLimit, Platform, PlatformError, PlatformReading},
};

/// Microseconds per millisecond.
pub const US_PER_MS: u64 = 1_000;
/// Microseconds per second.
pub const US_PER_S: u64 = 1_000_000;
