//! Forwards a routed request: runs the attempts that [`RequestAttempts`] decides on, up to the final
//! response.

use {
    crate::{
        admission::contended_retry_after_ms,
        answer::Refused,
        attempt::{AttemptReport, AttemptRole, attempt},
        connections::RelayBody,
        node::Node,
        path::AttemptPath,
        peer_attempt::peer_attempt,
        request::CallerRequest,
    },
    hyper::Response,
    pointvane_core::{ErrorKind, HedgeSchedule, PlatformAdapter, US_PER_MS},
    pointvane_dispatch::{
        AttemptEnd, NextStep, RefusalReason, RefusedBy, RequestAttempts, RetryBudget, SearchGoal,
        WithheldService, hedge_goal, may_relay, search_time_ms,
    },
    std::{cell::RefMut, rc::Rc, time::Duration},
    tokio::{
        task::JoinSet,
        time::{Instant, sleep_until},
    },
};

/// Milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;

/// An upstream's response, ready for the caller, or the error that the node responds with.
pub type FinalAnswer = Result<Response<RelayBody>, Refused>;

/// The running attempts of one request, and the latest response so far.
struct Forward<A> {
    node: Rc<Node<A>>,
    request: Rc<CallerRequest>,
    running_attempts: JoinSet<AttemptReport>,
    answer: Option<Response<RelayBody>>,
    /// Retry time of another node that refused the request, in milliseconds.
    peer_retry_after_ms: Option<u32>,
}

/// Forwards a request and returns its final response.
pub async fn forward<A: PlatformAdapter + 'static>(
    node: Rc<Node<A>>,
    request: Rc<CallerRequest>,
) -> FinalAnswer {
    let started_at_us = node.now_us();
    let mut forward = Forward {
        node,
        request: Rc::clone(&request),
        running_attempts: JoinSet::new(),
        answer: None,
        peer_retry_after_ms: None,
    };
    let answer = forward.run(started_at_us).await;
    if answer.as_ref().is_ok_and(|response| response.status().is_success()) {
        let time_ms = forward.node.now_us().saturating_sub(started_at_us) as f64 / US_PER_MS as f64;
        forward.node.dispatcher.route_latencies(&request.routed.route).record_answer(time_ms);
    }
    answer
}

impl<A: PlatformAdapter + 'static> Forward<A> {
    async fn run(&mut self, started_at_us: u64) -> FinalAnswer {
        let request = Rc::clone(&self.request);
        let mut attempts = RequestAttempts::started(&request.routed.route, request.body.is_some());
        // The node that forwarded a request has deposited for it.
        if !request.is_forwarded() {
            self.retry_budget().deposit();
        }
        let deadline = self.deadline(started_at_us);
        let started_at = Instant::now();
        let mut hedges = self.hedge_schedule();
        self.start_best();
        loop {
            let hedge_at =
                hedges.map(|hedges| started_at + Duration::from_secs_f64(hedges.next_ms() / MS_PER_S));
            let hedge_at = hedge_at.filter(|at| *at < deadline);
            let step = tokio::select! {
                ended = self.running_attempts.join_next() => {
                    // After a panic in an attempt it is unknown whether its upstream ran the request.
                    let Some(Ok(result)) = ended else { return Err(ErrorKind::UpstreamBroken.into()) };
                    self.attempt_ended(result, &mut attempts)
                }
                () = sleep_until(hedge_at.unwrap_or(deadline)), if hedge_at.is_some() => {
                    hedges.iter_mut().for_each(HedgeSchedule::record_attempt);
                    attempts.try_hedge(request.sends.get(), &mut self.retry_budget())
                }
                () = sleep_until(deadline) => attempts.deadline_passed(request.sends.get()),
            };
            if attempts.lacked_token() && matches!(step, NextStep::GiveUp(_)) {
                self.node.report.not_admitted(RefusalReason::NoRetryToken);
            }
            if let Some(answer) = self.execute(step) {
                return answer;
            }
        }
    }

    /// Keeps what an attempt has brought, and decides the next step.
    fn attempt_ended(&mut self, result: AttemptReport, attempts: &mut RequestAttempts<'_>) -> NextStep {
        let AttemptReport { end, answer, retry_after_ms } = result;
        self.answer = answer.or(self.answer.take());
        self.peer_retry_after_ms = retry_after_ms.or(self.peer_retry_after_ms);
        attempts.set_streamed_body_unsent(self.request.stream.borrow().is_some());
        let end = self.node.divert(&self.request, end);
        attempts.attempt_ended(end, self.request.sends.get(), &mut self.retry_budget())
    }

    /// Executes the next step; returns the final response if the step ends the request.
    fn execute(&mut self, step: NextStep) -> Option<FinalAnswer> {
        match step {
            NextStep::Wait => {}
            NextStep::Retry => {
                self.node.report.retried_or_hedged(false);
                self.start_best();
            }
            NextStep::Hedge => {
                self.node.report.retried_or_hedged(true);
                let now_us = self.node.now_us();
                let elapsed_ms = self.request.elapsed_ms(now_us);
                let goal = hedge_goal(&self.request.routed.route, elapsed_ms, now_us);
                self.start(goal, AttemptRole::Hedge);
            }
            NextStep::Deliver => return Some(self.deliver()),
            NextStep::GiveUp(error) => return Some(Err(self.refuse(error))),
        }
        None
    }

    fn start(&mut self, goal: SearchGoal, role: AttemptRole) {
        let (node, request) = (Rc::clone(&self.node), Rc::clone(&self.request));
        match self.node.path(&self.request) {
            AttemptPath::Upstream => {
                self.running_attempts.spawn_local(attempt(node, request, goal, role));
            }
            AttemptPath::Peer(peer) => {
                self.running_attempts.spawn_local(peer_attempt(node, request, peer, role));
            }
            AttemptPath::Refuse => {
                self.running_attempts.spawn_local(async { AttemptEnd::ServiceLost.into() });
            }
        }
    }

    /// Starts an attempt at the best upstream, after a bounded search for an uncontended one.
    fn start_best(&mut self) {
        let search_ms = search_time_ms(&self.request.routed.route);
        let until_us = self.node.now_us() + (search_ms * US_PER_MS as f64) as u64;
        self.start(SearchGoal::Best { until_us }, AttemptRole::Primary);
    }

    fn deadline(&self, now_us: u64) -> Instant {
        Instant::now() + Duration::from_micros(self.request.answer_deadline_us.saturating_sub(now_us))
    }

    /// When hedges are considered; none if hedging is disabled or the route has no hedge time.
    fn hedge_schedule(&self) -> Option<HedgeSchedule> {
        let route = &self.request.routed.route;
        let after_ms = self.node.dispatcher.route_latencies(route).hedge_after_ms(route)?;
        self.node.dispatcher.hedges.then(|| HedgeSchedule::new(after_ms))
    }

    fn retry_budget(&self) -> RefMut<'_, RetryBudget> {
        let limits = self.node.settings().limits.budgets();
        self.node.dispatcher.retry_budget(&self.request.routed.service, &limits)
    }

    fn deliver(&mut self) -> FinalAnswer {
        let kind = self.request.routed.route.kind;
        let answer = self.answer.take().filter(|answer| may_relay(kind, answer.status().as_u16()));
        answer.ok_or_else(|| ErrorKind::UpstreamBroken.into())
    }

    /// Builds the error for the caller, with its retry time and the state of the service's upstreams.
    fn refuse(&self, error: ErrorKind) -> Refused {
        let route = &self.request.routed.route;
        let by = if self.request.sends.get() > 0 { RefusedBy::Upstream } else { RefusedBy::Node };
        let withheld = self.withheld(error);
        let back_in_ms = withheld.and_then(|withheld| withheld.back_in_ms);
        let retry_after_ms = self
            .peer_retry_after_ms
            .or_else(|| self.node.lost_retry_after_ms(&self.request, error))
            .or_else(|| {
                back_in_ms.is_none().then(|| contended_retry_after_ms(&self.node, &self.request, error))?
            })
            .or_else(|| self.node.dispatcher.retry_after_ms(route, error, by, back_in_ms));
        Refused { retry_after_ms, withheld, ..error.into() }
    }

    /// Why the upstreams of the request's service accept no requests, for errors that this may have caused.
    fn withheld(&self, error: ErrorKind) -> Option<WithheldService> {
        let may_be_withheld = matches!(
            error,
            ErrorKind::Overloaded
                | ErrorKind::UpstreamsBackingOff
                | ErrorKind::UpstreamsLimited
                | ErrorKind::NoUpstream
        );
        let now_us = self.node.now_us();
        may_be_withheld
            .then(|| {
                self.node.dispatcher.pool().withheld(
                    &self.request.routed.service,
                    self.request.routed.route.priority,
                    now_us,
                )
            })
            .flatten()
    }
}
