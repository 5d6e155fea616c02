//! Guards the names and fields of all events, which `/events` and log lines expose to tools outside.

use {
    googletest::prelude::*,
    pointvane_core::{Name, VmState},
    pointvane_telemetry::{BuildInfo, Event, EventKind, EventPage, Program},
};

/// Expected JSON, one event per line.
const GOLDEN: &str = include_str!("golden/events.txt");
/// The start of a program that does not name its build.
const OLD_STARTED: &str = r#"{"sequence":0,"at_ms":7,"vm":"vm-1","program":"node","kind":"started"}"#;
/// Old format of `/events`, in which `entry_sequence` was also named `sequence`.
const OLD_UPSTREAM_TOLD: &str = r#"{"sequence":1,"at_ms":7,"vm":"vm-1","program":"node","kind":"upstream-told","service":"board","upstream":"i-7","draining":false,"sequence":5}"#;

const BUILD: BuildInfo = BuildInfo { version: "0.1.0", commit: "0123abcd", machine: "x86_64" };

fn state_changes() -> Vec<EventKind> {
    let (service, upstream) = (Name::from("board"), Name::from("i-7"));
    vec![
        EventKind::started(&BUILD),
        EventKind::Stopping { in_flight: 3 },
        EventKind::Stopped { cut: 1 },
        EventKind::ConfigurationAccepted { revision: 4, index: 9 },
        EventKind::ConfigurationRefused { revision: 3, index: 9, reason: "older".into() },
        EventKind::MemberChanged { member: "node-2".into(), state: VmState::Live },
        EventKind::MemberChanged { member: "node-2".into(), state: VmState::Suspect },
        EventKind::MemberChanged { member: "node-2".into(), state: VmState::Leaving },
        EventKind::MemberChanged { member: "node-2".into(), state: VmState::Dead },
        EventKind::ReaderBegan,
        EventKind::ReaderEnded,
        EventKind::PlatformLost,
        EventKind::PlatformBack,
        EventKind::PlatformWentBack { from: 9, to: 2 },
        EventKind::UpstreamLeaving { service: service.clone(), upstream: upstream.clone() },
        EventKind::UpstreamStaying { service: service.clone(), upstream: upstream.clone() },
        EventKind::UpstreamEjected { service: service.clone(), upstream: upstream.clone() },
        EventKind::UpstreamReturned { service: service.clone(), upstream: upstream.clone() },
        EventKind::OverloadBegan { service: service.clone() },
        EventKind::OverloadEnded { service: service.clone() },
        EventKind::FeedLost,
        EventKind::FeedBack,
        EventKind::UpstreamTold { service, upstream: upstream.clone(), draining: true, entry_sequence: 5 },
        EventKind::UpstreamGone { upstream },
        EventKind::PlatformRead { revision: 7, version: 3, upstreams: 36 },
        EventKind::StateTold { peer: "10.0.0.1:7660".parse().unwrap(), revision: 7, age_ms: 12 },
        EventKind::ItemRefused { key: "servers/x".into(), problem: "no address".into() },
        EventKind::WatchRenewed { revision: 7 },
        EventKind::Reloaded { changed: true },
        EventKind::ReloadRefused { problem: "no file".into() },
        EventKind::LinesLeftOut { count: 8 },
    ]
}

/// Kinds added later; they come last so that the sequence numbers in the golden file stay the same.
fn later_events() -> Vec<EventKind> {
    vec![
        EventKind::PlatformCalled { call: "changes".into(), reason: "lease-over".into() },
        upstream_backing_off(None),
        attempt_rejected_busy(),
        request_refused_all_backing_off(),
        limit_changed(Some(2_500)),
        limit_changed(None),
        EventKind::ServiceLost { service: "board".into(), upstreams_tried: 3, silent_ms: Some(152) },
        EventKind::ServiceLost { service: "board".into(), upstreams_tried: 1, silent_ms: None },
        EventKind::ServiceRegained { service: "board".into(), lost_ms: 11_900 },
        EventKind::PeerConnectionRefused { from: "10.0.0.9".parse().unwrap() },
        request_forwarded(),
        EventKind::MemoryPressureBegan { held_kb: 44_900, limit_kb: 60_000, waiting: 3 },
        EventKind::MemoryPressureEnded { held_kb: 30_100, refused: 41 },
        contention_changed(),
        EventKind::LostServicesChecked { services: 2, checks: 75, unanswered: 74 },
        EventKind::TimersLate { late_ms: 180 },
        EventKind::ResponseIncomplete { request: "r-1".into(), reason: "overdue".into() },
        EventKind::ConnectionGivenUp {
            caller: [10, 0, 0, 9].into(),
            request: "r-1".into(),
            reason: "idle-too-long".into(),
            dropped_bytes: 18_204,
        },
        EventKind::ResponseMalformed {
            request: "r-1".into(),
            service: "board".into(),
            upstream: "i-7".into(),
            reason: "two-lengths".into(),
            refused: false,
        },
        upstream_backing_off(Some("malformed-responses".into())),
    ]
}

fn request_forwarded() -> EventKind {
    EventKind::RequestForwarded {
        request: "r-1".into(),
        service: "board".into(),
        peer: "10.0.0.2:7665".parse().unwrap(),
        outcome: "answered".into(),
        hedge: false,
        took_ms: 42,
    }
}

fn upstream_backing_off(reason: Option<Name>) -> EventKind {
    EventKind::UpstreamBackingOff {
        service: "board".into(),
        upstream: "i-7".into(),
        back_off_ms: 3_000,
        reason,
    }
}

fn limit_changed(per_1000_s: Option<u32>) -> EventKind {
    EventKind::UpstreamLimitChanged { service: "board".into(), upstream: "i-7".into(), per_1000_s }
}

fn contention_changed() -> EventKind {
    EventKind::ContentionChanged {
        service: "board".into(),
        data_centre: "ub-1".into(),
        contended: true,
        uncontended_per_mille: Some(50),
        occupancy_per_mille: None,
    }
}

fn attempt_rejected_busy() -> EventKind {
    EventKind::AttemptEnded {
        request: "r-1".into(),
        fingerprint: None,
        caller: None,
        service: "board".into(),
        upstream: "i-7".into(),
        outcome: "not-run-busy".into(),
        retry_after: Some("3".into()),
        hedge: false,
        cost_percent: 100,
        running: 0,
        waiting: 0,
        pace_percent: 100,
        load_age_ms: 0,
        choose_ms: 1,
        took_ms: 1,
    }
}

fn request_refused_all_backing_off() -> EventKind {
    EventKind::RequestRefused {
        request: "r-1".into(),
        route: Some("read".into()),
        version: 3,
        error: "upstreams-backing-off".into(),
        outcome: "not-run".into(),
        attempts: 1,
        spent_ms: 3,
        come_back_ms: Some(1_900),
        upstreams: Some(6),
        backing_off: Some(6),
        limited: None,
        back_in_ms: Some(1_840),
        fingerprint: None,
    }
}

fn request_events() -> Vec<EventKind> {
    let upstream = Name::from("i-7");
    vec![
        EventKind::AttemptEnded {
            request: "r-1".into(),
            fingerprint: None,
            caller: None,
            service: "board".into(),
            upstream: upstream.clone(),
            outcome: "answered".into(),
            retry_after: None,
            hedge: true,
            cost_percent: 130,
            running: 4,
            waiting: 1,
            pace_percent: 110,
            load_age_ms: 14,
            choose_ms: 3,
            took_ms: 40,
        },
        EventKind::RequestWouldBeLate {
            request: "r-1".into(),
            upstream: upstream.clone(),
            cost_percent: 700,
            running: 4,
            waiting: 9,
            pace_percent: 300,
            load_age_ms: 14,
            expected_ms: 900,
            spent_ms: 5,
            reason: None,
            spent_before_ms: None,
        },
        EventKind::AttemptGivenUp { request: "r-1".into(), upstream, after_ms: 700 },
        EventKind::RequestAnswered {
            request: "r-1".into(),
            route: "read".into(),
            version: 3,
            status: 200,
            attempts: 2,
            spent_ms: 41,
        },
        EventKind::RequestRefused {
            request: "r-1".into(),
            route: Some("read".into()),
            version: 3,
            error: "overloaded".into(),
            outcome: "not-run".into(),
            attempts: 0,
            spent_ms: 30,
            come_back_ms: Some(200),
            upstreams: None,
            backing_off: None,
            limited: None,
            back_in_ms: None,
            fingerprint: None,
        },
        EventKind::RequestRefused {
            request: "r-1".into(),
            route: None,
            version: 0,
            error: "not-ready".into(),
            outcome: "not-run".into(),
            attempts: 0,
            spent_ms: 0,
            come_back_ms: None,
            upstreams: None,
            backing_off: None,
            limited: None,
            back_in_ms: None,
            fingerprint: None,
        },
    ]
}

#[gtest]
fn every_event_matches_the_golden_file_and_round_trips() {
    let mut lines = String::new();
    let kinds = state_changes().into_iter().chain(request_events()).chain(later_events());
    for (sequence, kind) in kinds.enumerate() {
        let event =
            Event { sequence: sequence as u64, at_ms: 7, vm: "vm-1".into(), program: Program::Node, kind };
        let text = serde_json::to_string(&event).unwrap();
        expect_that!(serde_json::from_str::<Event>(&text).unwrap(), eq(&event), "{text}");
        lines += &format!("{text}\n");
    }
    expect_that!(lines, eq(GOLDEN));
}

fn upstream_told() -> Event {
    let kind = EventKind::UpstreamTold {
        service: "board".into(),
        upstream: "i-7".into(),
        draining: false,
        entry_sequence: 5,
    };
    Event { sequence: 1, at_ms: 7, vm: "vm-1".into(), program: Program::Node, kind }
}

#[gtest]
fn an_upstream_told_event_round_trips() {
    let event = upstream_told();
    let text = serde_json::to_string(&event).unwrap();
    expect_that!(serde_json::from_str::<Event>(&text), ok(eq(&event)), "{text}");
}

#[gtest]
fn a_start_without_a_build_is_read() {
    let kind = EventKind::Started { version: String::new(), commit: String::new(), machine: String::new() };
    let event = Event { sequence: 0, at_ms: 7, vm: "vm-1".into(), program: Program::Node, kind };
    expect_that!(serde_json::from_str::<Event>(OLD_STARTED), ok(eq(&event)));
}

#[gtest]
fn an_upstream_told_event_in_the_old_format_is_read() {
    expect_that!(serde_json::from_str::<Event>(OLD_UPSTREAM_TOLD), ok(eq(&upstream_told())));
    let page = format!(r#"{{"clock_ms":1,"dropped":2,"events":[{OLD_UPSTREAM_TOLD}]}}"#);
    expect_that!(serde_json::from_str::<EventPage>(&page).unwrap().events, eq(&vec![upstream_told()]));
}

#[gtest]
fn an_event_with_duplicate_fields_is_read() {
    let text = r#"{"sequence":1,"at_ms":7,"vm":"vm-0","program":"node","kind":"watch-renewed","revision":6,"revision":7,"sequence":9,"vm":"vm-1"}"#;
    let kind = EventKind::WatchRenewed { revision: 7 };
    let event = Event { sequence: 1, at_ms: 7, vm: "vm-1".into(), program: Program::Node, kind };
    expect_that!(serde_json::from_str::<Event>(text), ok(eq(&event)));
    expect_that!(serde_json::from_str::<Event>(r#"{"sequence":1,"kind":"started"}"#), err(anything()));
}

#[gtest]
fn program_names_and_event_page_fields_are_unchanged() {
    let programs = [Program::Entry, Program::Control, Program::Locate, Program::Node];
    expect_that!(programs.map(Program::as_str), eq(["entry", "control", "locate", "node"]));
    let page = EventPage { clock_ms: 1, dropped: 2, events: Vec::new() };
    expect_that!(serde_json::to_string(&page).unwrap(), eq(r#"{"clock_ms":1,"dropped":2,"events":[]}"#));
}

#[gtest]
fn request_events_are_classified_as_not_kept() {
    expect_that!(request_events().iter().all(EventKind::is_request_event), eq(true));
    let kept = state_changes().into_iter().filter(|kind| !kind.is_request_event());
    expect_that!(kept.count(), eq(state_changes().len() - 1));
}
