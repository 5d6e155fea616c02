//! Events round-trip through JSON, and the ring buffer and log lines are bounded.

use {
    googletest::prelude::*,
    pointvane_core::{Name, VmState},
    pointvane_telemetry::{
        BuildInfo, Event, EventKind, EventLog, LineDecision, LineLayout, LogRateLimiter, LogRateLimits,
        Program,
    },
};

fn every_kind() -> Vec<EventKind> {
    let (service, upstream) = (Name::from("dispatch"), Name::from("dispatch-1"));
    vec![
        EventKind::started(&BuildInfo { version: "0.1.0", commit: "0123abcd", machine: "x86_64" }),
        EventKind::Stopping { in_flight: 3 },
        EventKind::Stopped { cut: 0 },
        EventKind::ConfigurationAccepted { revision: 4, index: 9 },
        EventKind::ConfigurationRefused { revision: 3, index: 9, reason: "older".into() },
        EventKind::MemberChanged { member: "entry-2".into(), state: VmState::Suspect },
        EventKind::ReaderBegan,
        EventKind::ReaderEnded,
        EventKind::PlatformLost,
        EventKind::PlatformBack,
        EventKind::PlatformWentBack { from: 9, to: 2 },
        EventKind::UpstreamLeaving { service: service.clone(), upstream: upstream.clone() },
        EventKind::UpstreamStaying { service: service.clone(), upstream: upstream.clone() },
        EventKind::UpstreamEjected { service: service.clone(), upstream: upstream.clone() },
        EventKind::UpstreamReturned { service: service.clone(), upstream },
        EventKind::OverloadBegan { service: service.clone() },
        EventKind::OverloadEnded { service },
        EventKind::FeedLost,
        EventKind::FeedBack,
        EventKind::PlatformRead { revision: 7, version: 3, upstreams: 36 },
        EventKind::StateTold { peer: "10.0.0.1:7660".parse().unwrap(), revision: 7, age_ms: 12 },
    ]
}

#[gtest]
fn every_kind_round_trips() {
    for (sequence, kind) in every_kind().into_iter().enumerate() {
        let event = Event {
            sequence: sequence as u64,
            at_ms: 7,
            vm: "entry-1".into(),
            program: Program::Control,
            kind,
        };
        let text = serde_json::to_string(&event).unwrap();
        expect_that!(serde_json::from_str::<Event>(&text).unwrap(), eq(&event), "{text}");
    }
}

#[gtest]
fn the_ring_is_bounded_and_counts_dropped_events() {
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let events = EventLog::new("entry-1".into(), Program::Entry, log);
    for _ in 0..5_000 {
        events.record(EventKind::FeedLost);
    }
    let page = events.page(0);
    expect_that!(page.events.len() as u64 + page.dropped, eq(5_000));
    expect_that!(page.events.len(), eq(4_096));
    expect_that!(events.page(4_999).events.len(), eq(1));
}

#[gtest]
fn state_change_and_failure_lines_are_limited_separately_and_suppressed_lines_counted() {
    let options = LogRateLimits { changes_per_s: 3, failures_per_s: 2, ..LogRateLimits::default() };
    let mut limiter = LogRateLimiter::new(options);
    let changes = (0..10).filter(|_| limiter.change(1_500_000).written).count();
    let failures = (0..10).filter(|_| limiter.failure(1_600_000).written).count();
    expect_that!(changes, eq(3));
    expect_that!(failures, eq(2));
    expect_that!(limiter.change(2_000_000), eq(LineDecision { written: true, suppressed: Some(15) }));
    expect_that!(limiter.change(2_000_001), eq(LineDecision { written: true, suppressed: None }));
}

#[gtest]
fn a_custom_ring_capacity_bounds_events_without_log_lines() {
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let events = EventLog::new("node-1".into(), Program::Node, log)
        .with_line_layout(LineLayout::Fields)
        .with_capacity(10);
    (0..12).for_each(|_| events.record_in_ring(EventKind::PlatformLost));
    expect_that!(events.page(0).events.len(), eq(10));
    expect_that!(events.page(0).dropped, eq(2));
}
