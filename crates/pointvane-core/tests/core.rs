//! The table of error kinds, keys and load reports.

use {
    googletest::prelude::*,
    pointvane_core::{ErrorKind, IdempotencyKey, Incarnation, KeyError, LoadReport, Outcome},
};

#[gtest]
fn each_kind_has_its_own_row() {
    for (position, row) in ErrorKind::table().iter().enumerate() {
        expect_that!(row.kind as usize, eq(position));
        expect_that!(row.kind.answer(), eq(row));
    }
}

#[gtest]
fn a_kind_is_never_answered_as_if_an_upstream_had_answered() {
    for row in ErrorKind::table() {
        expect_that!(row.outcome, not(eq(Outcome::Answered)));
        expect_that!(row.status, ge(400));
    }
}

#[gtest]
fn a_key_reads_back_as_it_was_written() {
    let text = format!("{}order-17", IdempotencyKey::prefix(&"entry-1".into(), Incarnation(0xab12), 255));
    let key = IdempotencyKey::parse(&text).unwrap();
    expect_that!(text, eq("entry-1.ab12.ff.order-17"));
    expect_that!(key.incarnation, eq(Incarnation(0xab12)));
    expect_that!(key.expiry_ms, eq(255));
    expect_that!(key.to_string(), eq(&text));
}

#[gtest]
fn a_key_that_names_no_owner_is_refused() {
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
fn a_load_report_reads_back_and_rubbish_does_not() {
    let report = LoadReport { in_flight: 7, draining: true };
    expect_that!(LoadReport::parse(&report.to_string()), some(eq(report)));
    for text in ["", "TEXT", "TEXT cpu_utilization=0.3", "TEXT named_metrics.in_flight=-1", "JSON {}"] {
        expect_that!(LoadReport::parse(text), none());
    }
}
