//! Sans-I/O decision logic of a pointvane node, the form of pointvane in which one process accepts requests of
//! callers and dispatches them to upstreams.
//!
//! Nothing here performs I/O, starts threads, reads a clock or draws from an unseeded random generator:
//! callers pass in events and the current time and get decisions back, which `pointvane-node` carries out.
//! Each file implements one rule and documents its inputs, reasons and constants:
//!
//! | question | file |
//! | --- | --- |
//! | which service a request is routed to | `routes.rs` |
//! | the deadline of a request | `deadline.rs` |
//! | how long a node that has just started holds a request | `first_state.rs` |
//! | which client account a request is charged to | `access.rs` |
//! | whether the quota of that account admits the request | `quota.rs` |
//! | which bodies get memory, which wait for it and which are refused | `memory_budget.rs` |
//! | whether an upstream is eligible for new requests | `eligibility.rs`, with `ineligible.rs`, `evacuations.rs`, `notices.rs`, `limits.rs`, `warm_up.rs`, `ejection.rs`, `allowed_regions.rs` |
//! | which upstreams are candidates, and how they are ranked | `ranking.rs`, `subset.rs`, `cost.rs` |
//! | which pipelined requests are forwarded early | `pipeline.rs` |
//! | which data centres are probed, and by how many probes at once | `search_plan.rs`, `probe_rounds.rs`, `locality.rs` |
//! | which candidates are probed, and which one is selected | `search.rs` |
//! | how much room the upstreams of a service have in each data centre | `contention.rs` and its modules |
//! | how many slots of an upstream are occupied, and how latency grows with occupancy | `load_curve.rs` |
//! | whether a request is sent to an upstream or refused | `admission.rs`; while its service is contended `contended_admission.rs`, with `finish_spread.rs` |
//! | which requests leave the last free slots to more urgent ones | `urgent_first.rs` |
//! | how much of its time a caller has spent before | `caller_progress.rs` |
//! | when the caller of a refused request comes back | `admission.rs`; while its service is contended `return_time.rs` |
//! | whether this node has lost the path to a service | `reachability.rs`, with `service_reach.rs` and `check_schedule.rs` |
//! | whether an attempt goes through another node, and which | `attempt_path.rs`, `peers.rs`, `forwarded_request.rs` |
//! | whether a failed attempt is retried, and what the caller is answered | `attempts.rs`, `retry.rs`, with `outcome.rs` |
//! | when a request is hedged with a second concurrent attempt | `hedge.rs` |
//! | when a failing upstream is ejected | `ejection.rs` |
//! | when an upstream that sends malformed responses gets nothing for a while | `malformed.rs` |
//! | how many retries and probes a node may send | `budget.rs` |
//! | which idle connection a request or probe is sent on | `connection_reuse.rs` |
//! | how nodes replicate the state that the platform publishes | `replica.rs` and its modules |
//! | which requests are quarantined because they crash upstreams | `quarantine.rs` |
//! | which requests are considered identical | `fingerprint.rs` |
//! | which node addresses a caller gets | `directory.rs` |
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod access;
mod admission;
mod allowed_regions;
mod attempt_path;
mod attempts;
mod budget;
mod caller_progress;
mod check_schedule;
mod connection_reuse;
mod contended_admission;
mod contention;
mod cost;
mod deadline;
mod directory;
mod ejection;
mod eligibility;
mod evacuations;
mod fingerprint;
mod finish_spread;
mod first_state;
mod forwarded_request;
mod hedge;
mod ineligible;
mod latency;
mod limits;
mod load_curve;
mod load_when_sent;
mod locality;
mod malformed;
mod memory_budget;
mod notices;
mod outcome;
mod peers;
mod pipeline;
mod pool;
mod probe_purpose;
mod probe_rounds;
mod quarantine;
mod quota;
mod ranking;
mod ranking_options;
mod reachability;
mod records;
mod replica;
mod retry;
mod return_time;
mod route_latencies;
mod routes;
mod search;
mod search_plan;
mod service_reach;
mod service_state;
mod subset;
mod upstream;
mod upstream_key;
mod urgent_first;
mod warm_up;

pub use {
    access::{AccountTable, account_of, check_confirmed},
    admission::{AdmissionPolicy, FinishEstimate, RETRY_AFTER_DEFAULT_MS, RefusedBy, retry_after_ms},
    allowed_regions::AllowedRegions,
    attempt_path::{PathInputs, WithoutPeer, lost_retry_after_ms, without_peer},
    attempts::{AttemptEnd, NextStep, RequestAttempts},
    budget::{BudgetLimits, NodeBudgets, PROBE_WINDOW_S, ProbeBudget, RetryBudget, RetryBudgetOptions},
    caller_progress::CallerProgress,
    connection_reuse::{
        ConnectionPurpose, IdleTimes, NON_REPEATABLE_IDLE_MAX_US, OpenReason, OtherConnections, Removal,
        SURPLUS_BYTES_WINDOW_US, choose_idle, idle_max_ms,
    },
    contended_admission::{ContendedRequest, RefusalReason, admission_pressure},
    contention::{
        CONTENTION_ENTRIES_MAX, CONTENTION_PEERS, Contention, ContentionChange, ContentionEntry,
        ContentionMessage, ContentionSample, ContentionTable, PairId,
    },
    deadline::answer_deadline_us,
    directory::{DirectoryMember, directory_addresses},
    ejection::{ProbeOutcome, unresponsive_after_ms},
    evacuations::Evacuations,
    fingerprint::{BodyFingerprint, FINGERPRINT_BODY_BYTES, HeadFingerprint, QueryScope, RequestFingerprint},
    finish_spread::FinishSpread,
    first_state::{first_state_retry_after_ms, first_state_wait_ms},
    forwarded_request::{ForwardedRequest, MalformedForward, attempts_to_hand_over},
    hedge::hedge_goal,
    ineligible::Ineligible,
    latency::{LatencyQuantile, MinimumLatency},
    limits::{LIMITS_MAX, LimitAnnouncement, LimitMessage},
    load_curve::LoadCurve,
    load_when_sent::LoadWhenSent,
    memory_budget::{
        HolderId, MemoryBudget, MemoryLimits, MemoryRefusal, PROGRESS_BYTES_MIN, Reservation, SMALL_BYTES,
        STALLED_US, WAIT_MAX_US,
    },
    notices::WithheldService,
    outcome::{AttemptOutcome, NotRunReason},
    peers::{PeerCandidate, PeerOutcome, PeerTable},
    pipeline::{PipelineLimits, may_forward_early},
    pool::Pool,
    probe_purpose::ProbePurpose,
    quarantine::{
        BroadcastBudget, CrashId, Quarantine, QuarantineChange, QuarantineMessage, QuarantineOptions,
        SUSPECTS_PER_DATAGRAM_MAX, SuspectReport, TrialPosition,
    },
    quota::{
        ACCOUNTS_PER_DATAGRAM_MAX, AccountShare, AccountUsage, FleetUsage, FleetView, QuotaDecision,
        QuotaMessage, Quotas,
    },
    ranking::CandidateCriteria,
    ranking_options::{Ranking, RankingOptions},
    reachability::ReachChange,
    replica::{
        fan_out::{
            DIRECT_SEND_MAX, FAN_OUT, Forwarder, OrderedNode, ReceivedRounds, Segment, broadcast_position,
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
            ConfigurationUpdate, FullStateLimit, KnownState, StateOffer, StateReply, StateRequest,
            fits_reply_limit,
        },
    },
    retry::{RetryDecision, decide_retry, may_relay},
    return_time::ReturnInputs,
    route_latencies::RouteLatencies,
    routes::{RouteTable, RoutedRequest},
    search::{
        Found, PROBE_TIMEOUT_US, Search, SearchGoal, SearchOptions, SearchRequest, SearchStep,
        search_overrun_us, search_time_ms,
    },
    service_reach::{ConnectionKind, Reach},
    upstream::{Departure, LoadSample, UpstreamState},
    upstream_key::UpstreamKey,
    urgent_first::RequestsByPriority,
    warm_up::WarmUpBound,
};
