//! Tests of the error table, idempotency keys, load reports and header names.

use {
    googletest::prelude::*,
    pointvane_core::{
        AnswerRow, Class, ErrorKind, IdempotencyKey, Incarnation, KeyError, LoadReport, Outcome, header,
    },
};

#[gtest]
fn rows_are_in_the_order_of_the_kinds() {
    for (position, row) in ErrorKind::table().iter().enumerate() {
        expect_that!(row.kind as usize, eq(position));
        expect_that!(row.kind.answer(), eq(row));
    }
}

#[gtest]
fn error_responses_never_look_like_responses_of_upstreams() {
    for row in ErrorKind::table() {
        expect_that!(row.outcome, not(eq(Outcome::Answered)));
        expect_that!(row.status, ge(400));
    }
}

#[gtest]
fn keys_round_trip() {
    let text = format!("{}order-17", IdempotencyKey::prefix(&"entry-1".into(), Incarnation(0xab12), 255));
    let key = IdempotencyKey::parse(&text).unwrap();
    expect_that!(text, eq("entry-1.ab12.ff.order-17"));
    expect_that!(key.incarnation, eq(Incarnation(0xab12)));
    expect_that!(key.expiry_ms, eq(255));
    expect_that!(key.to_string(), eq(&text));
}

#[gtest]
fn malformed_keys_are_rejected() {
    expect_that!(IdempotencyKey::parse("order-17"), err(eq(&KeyError::Shape)));
    expect_that!(IdempotencyKey::parse(".ab.ff.x"), err(eq(&KeyError::Shape)));
    expect_that!(IdempotencyKey::parse("vm.xyz.ff.x"), err(eq(&KeyError::Number)));
    expect_that!(IdempotencyKey::parse("vm.ab.ff."), err(eq(&KeyError::CallerPart)));
    expect_that!(IdempotencyKey::parse("vm.ab.ff.a b"), err(eq(&KeyError::CallerPart)));
    expect_that!(
        IdempotencyKey::parse(&format!("vm.ab.ff.{}", "x".repeat(65))),
        err(eq(&KeyError::CallerPart))
    );
}

#[gtest]
fn load_reports_round_trip_and_malformed_ones_are_rejected() {
    let report = LoadReport { in_flight: 7, draining: true, ..LoadReport::default() };
    expect_that!(LoadReport::parse(&report.to_string()), some(eq(report)));
    for text in ["", "TEXT", "TEXT cpu_utilization=0.3", "TEXT named_metrics.in_flight=-1", "JSON {}"] {
        expect_that!(LoadReport::parse(text), none());
    }
}

#[gtest]
fn the_error_table_is_stable() {
    let row = |row: &AnswerRow| {
        let retry = if row.retry_after { " retry-after" } else { "" };
        format!("{} {} {}{retry}", row.name, row.status, row.outcome.as_str())
    };
    let rows: Vec<String> = ErrorKind::table().iter().map(row).collect();
    let expected = [
        "bad-request 400 not-run",
        "no-such-service 404 not-run",
        "key-missing 428 not-run",
        "key-invalid 400 not-run",
        "key-expired 410 unknown",
        "key-owner-gone 409 unknown",
        "keys-full 503 unknown retry-after",
        "answer-not-kept 409 unknown",
        "overloaded 503 not-run retry-after",
        "deadline-passed 504 not-run",
        "no-upstream 503 not-run retry-after",
        "upstream-unreachable 503 not-run retry-after",
        "upstream-broken 502 unknown",
        "upstream-timeout 504 unknown",
        "stopping 503 not-run retry-after",
        "not-ready 503 not-run retry-after",
        "evacuated 503 not-run retry-after",
        "request-quarantined 503 not-run",
        "upstreams-backing-off 503 not-run retry-after",
        "unauthorized 401 not-run",
        "quota-exceeded 429 not-run retry-after",
        "accounts-unconfirmed 503 not-run retry-after",
        "upstreams-limited 503 not-run retry-after",
        "memory-exhausted 503 not-run retry-after",
        "unsupported-coding 501 not-run",
    ];
    expect_that!(rows, eq(&expected.map(String::from).to_vec()));
}

#[gtest]
fn header_names_are_stable() {
    let names = [
        header::CLASS,
        header::DEADLINE_MS,
        header::KEY,
        header::FORWARDED_BY,
        header::OUTCOME,
        header::ERROR,
        header::LOAD,
    ];
    let expected = [
        "pointvane-class",
        "pointvane-deadline-ms",
        "idempotency-key",
        "pointvane-forwarded-by",
        "pointvane-outcome",
        "pointvane-error",
        "endpoint-load-metrics",
    ];
    expect_that!(names, eq(expected));
    let report = LoadReport { in_flight: 7, draining: true, ..LoadReport::default() };
    expect_that!(report.to_string(), eq("TEXT named_metrics.in_flight=7,named_metrics.draining=1"));
    expect_that!([Class::Urgent, Class::Routine].map(Class::as_str), eq(["urgent", "routine"]));
}
