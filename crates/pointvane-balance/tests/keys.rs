//! Idempotency keys of non-repeatable requests run at most once, and never after they were reported as not
//! run.

use {
    googletest::prelude::*,
    pointvane_balance::{KeyDecision, KeyOutcome, KeyTable, KeyTableOptions, ResponseSize},
    pointvane_core::{ErrorKind, IdempotencyKey, Incarnation, Outcome},
    proptest::{collection::vec, prelude::*, test_runner::RngSeed},
    std::{collections::HashSet, sync::Arc},
};

const INCARNATION: Incarnation = Incarnation(7);
const LIFETIME_MAX_MS: u64 = 1_000;

#[derive(Debug)]
struct Response(usize);

impl ResponseSize for Response {
    fn size_bytes(&self) -> usize {
        self.0
    }
}

type ResponseTable = KeyTable<Response, u32>;

fn table(keys_max: usize) -> ResponseTable {
    let options = KeyTableOptions { keys_max, lifetime_max_ms: LIFETIME_MAX_MS, stored_bytes_max: 100 };
    KeyTable::new(options, "entry-1".into(), INCARNATION)
}

fn key(id: u8, expiry_ms: u64) -> IdempotencyKey {
    let caller_part = format!("k{id}").into();
    IdempotencyKey { vm: "entry-1".into(), incarnation: INCARNATION, expiry_ms, caller_part }
}

#[gtest]
fn repeated_request_joins_the_run_or_gets_the_stored_response() {
    let mut table = table(10);
    expect_that!(table.begin(&key(1, 500), 1, 0), matches_pattern!(KeyDecision::Run(eq(&1))));
    expect_that!(table.begin(&key(1, 500), 2, 1), matches_pattern!(KeyDecision::Joined));
    expect_that!(table.finish(&key(1, 500), KeyOutcome::Ran(Some(Arc::new(Response(10))))), eq(&vec![2]));
    expect_that!(table.begin(&key(1, 500), 3, 2), matches_pattern!(KeyDecision::Replay(_)));
}

#[gtest]
fn key_reported_as_not_run_is_never_run() {
    let mut table = table(10);
    table.begin(&key(1, 500), 1, 0);
    table.finish(&key(1, 500), KeyOutcome::NotRun(ErrorKind::DeadlinePassed));
    let again = table.begin(&key(1, 500), 2, 1);
    expect_that!(again, matches_pattern!(KeyDecision::Refuse(eq(&ErrorKind::DeadlinePassed))));
}

#[gtest]
fn refusal_before_the_run_holds_for_earlier_and_later_copies() {
    let mut table = table(10);
    expect_that!(table.refuse(&key(1, 500), 1, ErrorKind::NotReady, 0), eq(ErrorKind::NotReady));
    expect_that!(
        table.begin(&key(1, 500), 2, 1),
        matches_pattern!(KeyDecision::Refuse(eq(&ErrorKind::NotReady)))
    );
    table.begin(&key(2, 500), 3, 1);
    expect_that!(
        table.refuse(&key(2, 500), 4, ErrorKind::BadRequest, 2).answer().outcome,
        eq(Outcome::Unknown)
    );
    let other_owner = IdempotencyKey { vm: "entry-2".into(), ..key(3, 500) };
    expect_that!(
        table.refuse(&other_owner, 5, ErrorKind::NotReady, 2).answer().outcome,
        eq(Outcome::Unknown)
    );
}

#[gtest]
fn keys_of_other_incarnations_or_with_invalid_expiry_are_refused() {
    let mut table = table(10);
    let other_incarnation = IdempotencyKey { incarnation: Incarnation(6), ..key(1, 500) };
    expect_that!(
        table.begin(&other_incarnation, 1, 0),
        matches_pattern!(KeyDecision::Refuse(eq(&ErrorKind::KeyOwnerGone)))
    );
    expect_that!(
        table.begin(&key(1, 500), 1, 500),
        matches_pattern!(KeyDecision::Refuse(eq(&ErrorKind::KeyExpired)))
    );
    expect_that!(
        table.begin(&key(1, 1_001), 1, 0),
        matches_pattern!(KeyDecision::Refuse(eq(&ErrorKind::KeyExpired)))
    );
}

#[gtest]
fn number_of_keys_and_stored_bytes_are_bounded_and_released() {
    let mut table = table(2);
    for id in 0..2 {
        table.begin(&key(id, 500), 0, 0);
        table.finish(&key(id, 500), KeyOutcome::Ran(Some(Arc::new(Response(80)))));
    }
    // The second response did not fit beside the first, so only the fact that it ran is recorded.
    expect_that!(
        table.begin(&key(1, 500), 0, 1),
        matches_pattern!(KeyDecision::Refuse(eq(&ErrorKind::AnswerNotKept)))
    );
    expect_that!(
        table.begin(&key(2, 500), 0, 1),
        matches_pattern!(KeyDecision::Refuse(eq(&ErrorKind::KeysFull)))
    );
    expect_that!(table.begin(&key(3, 900), 0, 500), matches_pattern!(KeyDecision::Run(_)));
    expect_that!(table.len(), eq(1));
}

/// One step of a generated sequence.
#[derive(Clone, Debug)]
enum Step {
    Begin(u8),
    Refuse(u8),
    FinishRan(u8),
    FinishNotRun(u8),
    AdvanceMs(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..4_u8).prop_map(Step::Begin),
        (0..4_u8).prop_map(Step::Refuse),
        (0..4_u8).prop_map(Step::FinishRan),
        (0..4_u8).prop_map(Step::FinishNotRun),
        (1..400_u64).prop_map(Step::AdvanceMs),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1_000, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn no_sequence_runs_a_key_twice_or_after_reporting_it_not_run(steps in vec(step(), 1..60)) {
        let mut table = table(3);
        let (mut now_ms, mut running) = (0, HashSet::new());
        let (mut ran, mut reported_not_run) = (HashSet::new(), HashSet::new());
        for step in steps {
            match step {
                Step::Begin(id) => match table.begin(&key(id, 700), 0, now_ms) {
                    KeyDecision::Run(_) => {
                        prop_assert!(ran.insert(id), "key {} ran twice", id);
                        prop_assert!(!reported_not_run.contains(&id), "key {} ran after it was reported as not run", id);
                        running.insert(id);
                    }
                    KeyDecision::Refuse(kind) if kind.answer().outcome == Outcome::NotRun => {
                        prop_assert!(!ran.contains(&id), "key {} ran but is reported as not run", id);
                        reported_not_run.insert(id);
                    }
                    _ => {}
                },
                Step::Refuse(id) => {
                    let kind = table.refuse(&key(id, 700), 0, ErrorKind::NotReady, now_ms);
                    if kind.answer().outcome == Outcome::NotRun {
                        prop_assert!(!ran.contains(&id), "key {} ran but is reported as not run", id);
                        reported_not_run.insert(id);
                    }
                }
                Step::FinishRan(id) if running.remove(&id) => {
                    table.finish(&key(id, 700), KeyOutcome::Ran(Some(Arc::new(Response(30)))));
                }
                Step::FinishNotRun(id) if running.remove(&id) => {
                    ran.remove(&id);
                    table.finish(&key(id, 700), KeyOutcome::NotRun(ErrorKind::Overloaded));
                    reported_not_run.insert(id);
                }
                Step::AdvanceMs(time_ms) => now_ms += time_ms,
                Step::FinishRan(_) | Step::FinishNotRun(_) => {}
            }
        }
    }
}
