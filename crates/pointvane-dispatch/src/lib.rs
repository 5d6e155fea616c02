//! Decisions of the node (the one-process form of pointvane), free of I/O, threads, clocks and ambient randomness.
//!
//! Events and the time come in, decisions go out, randomness is seeded; `pointvane-node` is the shell that carries them out.
//! One file holds one rule, with its inputs, reasons and constants:
//!
//! | question | file |
//! | --- | --- |
//! | which service a request goes to | `routes.rs` |
//! | until when it must be answered | `deadline.rs` |
//! | how long it is held at a node that has just started | `first_state.rs` |
//! | which client account a request counts for | `access.rs` |
//! | whether an account's quota admits it | `quota.rs` |
//! | whether an upstream may get work at all | `eligibility.rs`, with `ineligible.rs`, `evacuations.rs`, `notices.rs`, `limits.rs`, `warm_up.rs`, `ejection.rs`, `allowed_regions.rs` |
//! | which upstreams are candidates, and in which order | `ranking.rs`, `subset.rs`, `cost.rs` |
//! | which pipelined requests are forwarded early | `pipeline.rs` |
//! | which candidates are probed, and which is chosen | `search.rs` |
//! | how many of their slots are filled, and what a fuller one costs | `load_curve.rs` |
//! | whether it is sent or refused | `admission.rs` |
//! | whether another attempt is made, and what is answered | `attempts.rs`, `retry.rs`, with `outcome.rs` |
//! | when a second attempt runs beside the first | `hedge.rs` |
//! | when an upstream that fails gets no new work | `ejection.rs` |
//! | how many retries and probes a node may spend | `budget.rs` |
//! | how a node learns what the platform holds, and passes it on | `replica.rs` and its modules |
//! | which requests are not sent since upstreams crash under them | `quarantine.rs` |
//! | which requests count as the same | `fingerprint.rs` |
//! | which nodes a caller is sent to | `directory.rs` |
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod access;
mod admission;
mod allowed_regions;
mod attempts;
mod budget;
mod cost;
mod deadline;
mod directory;
mod ejection;
mod eligibility;
mod evacuations;
mod fingerprint;
mod first_state;
mod hedge;
mod ineligible;
mod latency;
mod limits;
mod load_curve;
mod load_when_sent;
mod notices;
mod outcome;
mod pipeline;
mod pool;
mod quarantine;
mod quota;
mod ranking;
mod ranking_options;
mod records;
mod replica;
mod retry;
mod route_times;
mod routes;
mod search;
mod service_state;
mod subset;
mod upstream;
mod upstream_key;
mod warm_up;

pub use {
    access::{AccountTable, account_of, confirm},
    admission::{AdmissionPolicy, FinishEstimate, RETRY_AFTER_DEFAULT_MS, RefusedBy, retry_after_ms},
    allowed_regions::AllowedRegions,
    attempts::{AttemptEnd, NextStep, RequestAttempts},
    budget::{BudgetLimits, NodeBudgets, PROBE_WINDOW_S, ProbeBudget, RetryBudget, RetryBudgetOptions},
    deadline::answer_by_us,
    directory::{DirectoryMember, directory_addresses},
    ejection::{ProbeOutcome, unresponsive_after_ms},
    evacuations::Evacuations,
    fingerprint::{BodyFingerprint, FINGERPRINT_BODY_BYTES, HeadFingerprint, QueryScope, RequestFingerprint},
    first_state::{first_state_retry_after_ms, first_state_wait_ms},
    hedge::hedge_goal,
    ineligible::Ineligible,
    latency::{LatencyQuantile, LeastLatency},
    limits::{LIMITS_MAX, LimitAnnouncement, LimitMessage},
    load_curve::LoadCurve,
    load_when_sent::LoadWhenSent,
    notices::WithheldService,
    outcome::{AttemptOutcome, Refusal},
    pipeline::{PipelineLimits, starts_early},
    pool::Pool,
    quarantine::{
        CrashId, NEWS_MAX, NewsBudget, Quarantine, QuarantineChange, QuarantineMessage, QuarantineOptions,
        SuspectNews, TrialTurn,
    },
    quota::{
        ACCOUNTS_MAX, AccountShare, AccountUsage, FleetContact, QuotaDecision, QuotaMessage, Quotas, ToldUse,
    },
    ranking::Wanted,
    ranking_options::{Ranking, RankingOptions},
    replica::{
        fan_out::{
            DIRECT_MAX, FAN_OUT, Forwarder, OrderedNode, ReceivedRounds, Segment, broadcast_position,
            fan_out, forwarders,
        },
        query_order::{Broadcaster, QueryCandidate, earlier_peer, query_position},
        read_mark::ReadMark,
        reader::{
            CallFailure, CallReason, PeerQuery, PlatformReader, QueryTarget, ReaderCall, ReaderOptions,
            ReaderQuery, ReaderRole,
        },
        relay::{Relay, RelayDatagram, RelayLog, WireRelay},
        routing_log::RoutingLog,
        state_query::{
            ConfigurationUpdate, KnownState, StateOffer, StateReply, StateRequest, WholeStateLimit,
            is_answer_sent,
        },
    },
    retry::{Verdict, judge, may_pass_on},
    route_times::RouteTimes,
    routes::{RouteTable, RoutedRequest},
    search::{
        Found, PROBE_TIMEOUT_US, Search, SearchGoal, SearchOptions, SearchRequest, SearchStep, search_time_ms,
    },
    upstream::{LoadSample, UpstreamState},
    upstream_key::UpstreamKey,
    warm_up::WarmUpBound,
};
