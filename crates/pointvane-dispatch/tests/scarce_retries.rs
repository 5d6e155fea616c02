//! Who gets retry tokens when upstreams reject more requests than the budget allows to retry.

mod common;

use {
    common::route,
    googletest::prelude::*,
    pointvane_core::{ErrorKind, RouteKind},
    pointvane_dispatch::{
        AttemptEnd, AttemptOutcome, NextStep, NotRunReason, RequestAttempts, RetryBudget, RetryBudgetOptions,
        TokenUse,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
};

const OPTIONS: RetryBudgetOptions =
    RetryBudgetOptions { ratio: 0.2, slack: 184.0, ratio_used: 0.9, slack_used: 0.9 };
const NODES: usize = 46;
/// Share of the sends that upstreams reject.
const REJECTED_SHARE: f64 = 0.55;

/// Outcome of requests of which a quarter have come back already.
#[derive(Debug, Default)]
struct Served {
    retries: usize,
    last_tries: usize,
    last_tries_served: usize,
}

fn play(keeps_tokens: bool) -> Served {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut budget = RetryBudget::new(OPTIONS, NODES);
    let mut served = Served::default();
    let mut returning = 0;
    for _ in 0..20_000 {
        let is_last_try = returning > 0 && rng.random_bool(0.5);
        returning -= usize::from(is_last_try);
        budget.deposit();
        let token = if is_last_try || !keeps_tokens { TokenUse::LastTry } else { TokenUse::Deferrable };
        let mut is_served = !rng.random_bool(REJECTED_SHARE);
        if !is_served && budget.take_for(token) {
            served.retries += 1;
            is_served = !rng.random_bool(REJECTED_SHARE);
        }
        returning += usize::from(!is_served && !is_last_try);
        served.last_tries += usize::from(is_last_try);
        served.last_tries_served += usize::from(is_last_try && is_served);
    }
    served
}

#[gtest]
fn scarce_tokens_go_to_last_tries() {
    let (first_come, kept) = (play(false), play(true));
    println!("first come: {first_come:?}; kept for last tries: {kept:?}");
    let share = |served: &Served| served.last_tries_served as f64 / served.last_tries as f64;
    expect_that!(share(&kept), gt(share(&first_come) + 0.05));
    let budget = 20_000.0 * OPTIONS.ratio + OPTIONS.slack / NODES as f64;
    expect_that!(kept.retries as f64, le(budget));
    expect_that!(kept.retries as f64, ge(first_come.retries as f64 * 0.95), "tokens are not left unused");
}

#[gtest]
fn a_full_budget_serves_everybody() {
    let mut budget = RetryBudget::new(OPTIONS, NODES);
    (0..100).for_each(|_| budget.deposit());
    expect_that!(budget.take_for(TokenUse::Deferrable), eq(true));
}

#[gtest]
fn a_budget_of_one_token_is_shared_as_before() {
    let mut budget = RetryBudget::new(RetryBudgetOptions::default(), 100);
    (0..100).for_each(|_| budget.deposit());
    expect_that!(budget.take_for(TokenUse::Deferrable), eq(true));
}

#[gtest]
fn a_rejected_first_try_without_a_token_is_refused_for_its_caller_to_come_back() {
    let route = route(RouteKind::Unsafe);
    let busy = AttemptEnd::Attempted(AttemptOutcome::NotRun(NotRunReason::Busy));
    // One and a half tokens: less than is kept for last tries and one more.
    let budget = || {
        let options = RetryBudgetOptions { ratio: 1.5, ratio_used: 1.0, ..OPTIONS };
        let mut budget = RetryBudget::new(options, NODES);
        budget.deposit();
        budget
    };
    let step = |can_return| {
        let mut attempts = RequestAttempts::started(&route, true);
        attempts.set_can_return(can_return);
        attempts.attempt_ended(busy, 1, &mut budget())
    };
    expect_that!(step(true), eq(NextStep::GiveUp(ErrorKind::Overloaded)));
    expect_that!(step(false), eq(NextStep::Retry));
}
