//! Decisions of a node, free of I/O, threads, clocks and ambient randomness: events and the time come in,
//! decisions go out, randomness is seeded.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod admission;
mod budget;
mod directory;
mod fan_out;
mod feed;
mod latency;
mod outcome;
mod pool;
mod relay;
mod routes;
mod spread;
mod state;
mod subset;
mod upstream;

pub use {
    admission::{AdmissionOptions, Outlook},
    budget::{PROBE_WINDOW_S, ProbeBudget, RetryBudget, RetryBudgetOptions},
    directory::{DirectoryMember, directory_addresses},
    fan_out::{
        DIRECT_MAX, Delegate, FAN_OUT, HeardRounds, LineNode, Segment, delegates, fan_out, line_place,
    },
    feed::{CallFailure, Feed, FeedCall, FeedOptions, ReaderRole, Whom},
    latency::LatencyQuantile,
    outcome::{AttemptOutcome, Refusal, Verdict, judge},
    pointvane_balance::TokenBucket,
    pool::{Pool, PoolOptions, Ranking, UpstreamKey, Wanted},
    relay::{Relay, RelayDatagram, RelayLog, WireRelay},
    routes::{RouteTable, RoutedRequest},
    spread::{SpreadPeer, earlier_peer, spread_order},
    state::{HeldState, ReadMark, StateReply, StateRequest},
    upstream::{LoadSample, UpstreamState},
};
