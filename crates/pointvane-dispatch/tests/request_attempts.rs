//! The attempts of one request: when another is made, and what the final answer is.

mod common;

use {
    common::route,
    googletest::prelude::*,
    pointvane_core::{ErrorKind, HedgeSchedule, Outcome, RouteKind},
    pointvane_dispatch::{
        AttemptEnd, AttemptOutcome, Ineligible, MinimumLatency, NextStep, NotRunReason, RequestAttempts,
        RetryBudget, RetryBudgetOptions, RouteLatencies, SearchGoal, hedge_goal, may_relay,
    },
};

const SUCCEEDED: AttemptEnd = AttemptEnd::Attempted(AttemptOutcome::Answered { failed: false });
const FAILED: AttemptEnd = AttemptEnd::Attempted(AttemptOutcome::Answered { failed: true });
const BUSY: AttemptEnd = AttemptEnd::Attempted(AttemptOutcome::NotRun(NotRunReason::Busy));
const UNSENT: AttemptEnd = AttemptEnd::Attempted(AttemptOutcome::Unsent);
const BROKEN: AttemptEnd = AttemptEnd::Attempted(AttemptOutcome::Broken);
const EXPIRED: AttemptEnd = AttemptEnd::Attempted(AttemptOutcome::Expired);

/// Returns a retry budget with `tokens` tokens.
fn budget(tokens: usize) -> RetryBudget {
    let options = RetryBudgetOptions { ratio: 1.0, slack: 100.0, ratio_used: 1.0, slack_used: 1.0 };
    let mut budget = RetryBudget::new(options, 1);
    (0..tokens).for_each(|_| budget.deposit());
    budget
}

#[gtest]
fn a_good_answer_is_delivered() {
    let route = route(RouteKind::Unsafe);
    let step = RequestAttempts::started(&route, true).attempt_ended(SUCCEEDED, 1, &mut budget(0));
    expect_that!(step, eq(NextStep::Deliver));
}

#[gtest]
fn a_non_repeatable_request_is_retried_only_if_it_did_not_run() {
    let route = route(RouteKind::Unsafe);
    let step = |end| RequestAttempts::started(&route, true).attempt_ended(end, 1, &mut budget(5));
    expect_that!(step(BUSY), eq(NextStep::Retry));
    expect_that!(step(UNSENT), eq(NextStep::Retry));
    expect_that!(step(FAILED), eq(NextStep::Deliver));
    expect_that!(step(BROKEN), eq(NextStep::GiveUp(ErrorKind::UpstreamBroken)));
    expect_that!(step(EXPIRED), eq(NextStep::GiveUp(ErrorKind::DeadlinePassed)));
}

#[gtest]
fn without_a_token_the_answer_is_the_same_as_without_attempts_left() {
    let (safe, non_repeatable) = (route(RouteKind::Safe), route(RouteKind::Unsafe));
    let step = |route, end| RequestAttempts::started(route, true).attempt_ended(end, 1, &mut budget(0));
    expect_that!(step(&non_repeatable, BUSY), eq(NextStep::GiveUp(ErrorKind::Overloaded)));
    expect_that!(step(&safe, BROKEN), eq(NextStep::GiveUp(ErrorKind::UpstreamBroken)));
    expect_that!(step(&safe, FAILED), eq(NextStep::Deliver), "the upstream's error is better than none");
    expect_that!(step(&safe, UNSENT), eq(NextStep::Retry), "nothing was sent, so it takes no token");
}

#[gtest]
fn a_retry_that_lacks_only_a_token_is_known_as_such() {
    let route = route(RouteKind::Unsafe);
    let mut attempts = RequestAttempts::started(&route, true);
    attempts.attempt_ended(BUSY, 1, &mut budget(0));
    expect_that!(attempts.lacked_token(), eq(true));
    let mut attempts = RequestAttempts::started(&route, true);
    attempts.attempt_ended(BUSY, 2, &mut budget(0));
    expect_that!(attempts.lacked_token(), eq(false), "no attempts left");
}

#[gtest]
fn sent_attempts_are_limited_by_the_route() {
    let route = route(RouteKind::Safe);
    let mut attempts = RequestAttempts::started(&route, true);
    let mut budget = budget(5);
    expect_that!(attempts.attempt_ended(BUSY, 1, &mut budget), eq(NextStep::Retry));
    expect_that!(attempts.attempt_ended(BUSY, 2, &mut budget), eq(NextStep::GiveUp(ErrorKind::Overloaded)));
}

#[gtest]
fn a_request_is_given_up_after_eight_unsent_attempts() {
    let route = route(RouteKind::Safe);
    let mut attempts = RequestAttempts::started(&route, true);
    let mut budget = budget(5);
    let steps: Vec<NextStep> = (0..8).map(|_| attempts.attempt_ended(UNSENT, 0, &mut budget)).collect();
    expect_that!(steps[..7], each(eq(&NextStep::Retry)));
    expect_that!(steps[7], eq(NextStep::GiveUp(ErrorKind::UpstreamUnreachable)));
}

#[gtest]
fn a_streamed_body_is_sent_once() {
    let route = route(RouteKind::Safe);
    let step = RequestAttempts::started(&route, false).attempt_ended(BUSY, 1, &mut budget(5));
    expect_that!(step, eq(NextStep::GiveUp(ErrorKind::Overloaded)));
}

#[gtest]
fn without_an_upstream_or_admission_the_request_is_refused() {
    let route = route(RouteKind::Safe);
    let step = |end| RequestAttempts::started(&route, true).attempt_ended(end, 0, &mut budget(5));
    expect_that!(step(AttemptEnd::NoUpstream(Ineligible::Gone)), eq(NextStep::GiveUp(ErrorKind::NoUpstream)));
    expect_that!(step(AttemptEnd::NotAdmitted), eq(NextStep::GiveUp(ErrorKind::Overloaded)));
}

#[gtest]
fn a_hedge_needs_a_token_a_single_attempt_in_flight_and_an_attempt_left() {
    let route = route(RouteKind::Safe);
    let mut attempts = RequestAttempts::started(&route, true);
    expect_that!(attempts.try_hedge(1, &mut budget(0)), eq(NextStep::Wait));
    expect_that!(attempts.try_hedge(2, &mut budget(5)), eq(NextStep::Wait));
    expect_that!(attempts.try_hedge(1, &mut budget(5)), eq(NextStep::Hedge));
    expect_that!(attempts.try_hedge(1, &mut budget(5)), eq(NextStep::Wait));
}

#[gtest]
fn a_hedged_request_waits_for_its_other_attempt() {
    let route = route(RouteKind::Safe);
    let hedged = || {
        let mut attempts = RequestAttempts::started(&route, true);
        attempts.try_hedge(1, &mut budget(5));
        attempts
    };
    for end in [AttemptEnd::NotAdmitted, AttemptEnd::NoUpstream(Ineligible::Gone), BROKEN] {
        let mut attempts = hedged();
        expect_that!(attempts.attempt_ended(end, 2, &mut budget(5)), eq(NextStep::Wait), "{end:?}");
        expect_that!(attempts.attempt_ended(SUCCEEDED, 2, &mut budget(5)), eq(NextStep::Deliver));
    }
    let mut attempts = hedged();
    expect_that!(
        attempts.attempt_ended(BUSY, 1, &mut budget(5)),
        eq(NextStep::Wait),
        "no third attempt beside the hedge"
    );
}

#[gtest]
fn a_request_that_was_never_sent_is_not_said_to_have_timed_out_at_an_upstream() {
    for kind in [RouteKind::Safe, RouteKind::Unsafe] {
        let route = route(kind);
        let mut attempts = RequestAttempts::started(&route, true);
        expect_that!(attempts.deadline_passed(0), eq(NextStep::GiveUp(ErrorKind::DeadlinePassed)));
        expect_that!(attempts.attempt_ended(UNSENT, 0, &mut budget(0)), eq(NextStep::Retry));
        expect_that!(attempts.deadline_passed(0), eq(NextStep::GiveUp(ErrorKind::DeadlinePassed)));
        expect_that!(attempts.deadline_passed(1), eq(NextStep::GiveUp(ErrorKind::UpstreamTimeout)));
    }
    // After an attempt that may have run, an expired one changes nothing.
    let route = route(RouteKind::Safe);
    let mut attempts = RequestAttempts::started(&route, true);
    expect_that!(attempts.attempt_ended(BROKEN, 1, &mut budget(5)), eq(NextStep::Retry));
    let end = attempts.attempt_ended(EXPIRED, 1, &mut budget(5));
    expect_that!(end, eq(NextStep::GiveUp(ErrorKind::UpstreamTimeout)));
}

#[gtest]
fn at_the_deadline_an_available_answer_is_delivered() {
    let route = route(RouteKind::Safe);
    let mut attempts = RequestAttempts::started(&route, true);
    expect_that!(attempts.deadline_passed(1), eq(NextStep::GiveUp(ErrorKind::UpstreamTimeout)));
    expect_that!(attempts.attempt_ended(FAILED, 1, &mut budget(5)), eq(NextStep::Retry));
    expect_that!(attempts.deadline_passed(1), eq(NextStep::Deliver));
}

#[gtest]
fn not_run_is_never_reported_after_an_attempt_that_may_have_run() {
    let route = route(RouteKind::Safe);
    for second in [BUSY, UNSENT, AttemptEnd::NoUpstream(Ineligible::Gone), AttemptEnd::NotAdmitted] {
        let mut attempts = RequestAttempts::started(&route, true);
        attempts.attempt_ended(BROKEN, 1, &mut budget(5));
        let NextStep::GiveUp(error) = attempts.attempt_ended(second, 2, &mut budget(0)) else { continue };
        expect_that!(error.answer().outcome, not(eq(Outcome::NotRun)), "{second:?}");
    }
}

#[gtest]
fn a_status_implying_not_run_is_not_relayed_for_non_repeatable_requests() {
    for status in [408, 421, 429, 503] {
        expect_that!(may_relay(RouteKind::Unsafe, status), eq(false));
        expect_that!(may_relay(RouteKind::Safe, status), eq(true));
    }
    expect_that!(may_relay(RouteKind::Unsafe, 500), eq(true));
}

#[gtest]
fn a_deadline_below_the_minimum_service_time_ends_the_request_at_once() {
    let route = route(RouteKind::Safe);
    let mut times = RouteLatencies::new(&route);
    expect_that!(times.cannot_finish_within(1.0), eq(false), "no latency was recorded yet");
    (0..100).for_each(|number| _ = times.record_attempt(100.0 + f64::from(number % 7), 1.0));
    expect_that!(times.cannot_finish_within(49.0), eq(true));
    expect_that!(times.cannot_finish_within(60.0), eq(false));
    let mut attempts = RequestAttempts::started(&route, true);
    let end = attempts.attempt_ended(AttemptEnd::DeadlineTooNear, 0, &mut budget(0));
    expect_that!(end, eq(NextStep::GiveUp(ErrorKind::DeadlinePassed)));
    // "Not run" is never reported for a request that may have run.
    let mut attempts = RequestAttempts::started(&route, true);
    expect_that!(attempts.attempt_ended(BROKEN, 1, &mut budget(5)), eq(NextStep::Retry));
    let end = attempts.attempt_ended(AttemptEnd::DeadlineTooNear, 1, &mut budget(5));
    expect_that!(end, eq(NextStep::GiveUp(ErrorKind::UpstreamTimeout)));
}

#[gtest]
fn the_minimum_latency_follows_upstreams_that_become_slower_or_faster() {
    let mut minimum = MinimumLatency::default();
    (0..50).for_each(|_| minimum.record(100.0));
    expect_that!(minimum.get_ms(), some(near(100.0, 2.0)));
    minimum.record(20.0);
    expect_that!(minimum.get_ms(), some(eq(20.0)));
    (0..300).for_each(|_| minimum.record(100.0));
    expect_that!(minimum.get_ms(), some(near(100.0, 2.0)));
}

/// Guards against giving up too early when a third of a service's upstreams crash at once and the platform
/// has not reported it yet.
#[gtest]
fn a_request_is_retried_after_seven_unreachable_upstreams() {
    let route = route(RouteKind::Unsafe);
    let unreachable = AttemptEnd::Attempted(AttemptOutcome::Unreachable);
    let mut attempts = RequestAttempts::started(&route, true);
    for _ in 0..7 {
        expect_that!(
            attempts.attempt_ended(unreachable, 0, &mut budget(0)),
            eq(NextStep::Retry),
            "it takes no token"
        );
    }
    expect_that!(
        attempts.attempt_ended(unreachable, 0, &mut budget(0)),
        eq(NextStep::GiveUp(ErrorKind::UpstreamUnreachable))
    );
}

/// A quarantine may be learned before the search or before the send, and an earlier attempt of the request
/// may have run by then.
#[gtest]
fn a_quarantined_request_is_not_retried_and_not_run_is_reported_only_if_true() {
    const CRASHED: AttemptEnd = AttemptEnd::Attempted(AttemptOutcome::Crashed);
    const BEFORE_SEND: AttemptEnd = AttemptEnd::Attempted(AttemptOutcome::Quarantined);
    for kind in [RouteKind::Safe, RouteKind::Unsafe] {
        let route = route(kind);
        for end in [AttemptEnd::Quarantined, BEFORE_SEND] {
            let step = RequestAttempts::started(&route, true).attempt_ended(end, 0, &mut budget(5));
            expect_that!(step, eq(NextStep::GiveUp(ErrorKind::RequestQuarantined)), "{kind:?} {end:?}");
        }
    }
    let route = route(RouteKind::Safe);
    let mut attempts = RequestAttempts::started(&route, true);
    expect_that!(attempts.attempt_ended(CRASHED, 1, &mut budget(5)), eq(NextStep::Retry));
    let step = attempts.attempt_ended(AttemptEnd::Quarantined, 1, &mut budget(5));
    expect_that!(step, eq(NextStep::GiveUp(ErrorKind::UpstreamBroken)));
    expect_that!(ErrorKind::RequestQuarantined.answer().outcome, eq(Outcome::NotRun));
    expect_that!(ErrorKind::RequestQuarantined.answer().retry_after, eq(false));
}

/// The upstream asked for a back-off while the connection was being opened, so no byte of the body was sent.
#[gtest]
fn an_unsent_streamed_body_is_retried_and_never_hedged() {
    let route = route(RouteKind::Upload);
    let withheld = AttemptEnd::Attempted(AttemptOutcome::Withheld(Ineligible::BackingOff));
    let step = |is_unsent| {
        let mut attempts = RequestAttempts::started(&route, false);
        attempts.set_streamed_body_unsent(is_unsent);
        let hedge = attempts.try_hedge(0, &mut budget(5));
        expect_that!(hedge, eq(NextStep::Wait));
        attempts.attempt_ended(withheld, 0, &mut budget(5))
    };
    expect_that!(step(true), eq(NextStep::Retry));
    expect_that!(step(false), eq(NextStep::GiveUp(ErrorKind::UpstreamsBackingOff)));
}

/// Guards against hedges that spend a token without being sent, so that the next slow request finds none.
#[gtest]
fn an_unsent_hedge_costs_no_token() {
    let route = route(RouteKind::Safe);
    let unsent = [AttemptEnd::NotAdmitted, AttemptEnd::NoUpstream(Ineligible::Gone), UNSENT];
    for end in unsent {
        let mut budget = budget(1);
        let mut attempts = RequestAttempts::started(&route, true);
        expect_that!(attempts.try_hedge(1, &mut budget), eq(NextStep::Hedge));
        expect_that!(attempts.attempt_ended(end, 1, &mut budget), eq(NextStep::Wait));
        expect_that!(attempts.try_hedge(1, &mut budget), eq(NextStep::Hedge), "{end:?}");
    }
    let mut budget = budget(1);
    let mut attempts = RequestAttempts::started(&route, true);
    expect_that!(attempts.try_hedge(1, &mut budget), eq(NextStep::Hedge));
    expect_that!(attempts.attempt_ended(BUSY, 2, &mut budget), eq(NextStep::Wait));
    expect_that!(budget.take(), eq(false), "both were sent");
}

#[gtest]
fn hedging_is_reconsidered_at_doubling_intervals_and_uses_any_upstream_long_after_the_target() {
    let route = route(RouteKind::Safe);
    let mut schedule = HedgeSchedule::new(30.0);
    let times: Vec<f64> = (0..4)
        .map(|_| {
            let at_ms = schedule.next_ms();
            schedule.record_attempt();
            at_ms
        })
        .collect();
    expect_that!(times, elements_are![eq(&30.0), eq(&60.0), eq(&120.0), eq(&240.0)]);
    let mut zero_delay = HedgeSchedule::new(0.0);
    zero_delay.record_attempt();
    expect_that!(
        zero_delay.next_ms(),
        ge(1.0),
        "a delay of 0 for a route without a target latency must not retry without end"
    );
    let target_ms = route.target_latency_ms as f64;
    expect_that!(hedge_goal(&route, target_ms * 1.9, 0), eq(SearchGoal::UncontendedOnly));
    expect_that!(hedge_goal(&route, target_ms * 2.0, 0), matches_pattern!(SearchGoal::Best { .. }));
}
