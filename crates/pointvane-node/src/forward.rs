//! From a routed request to its final answer: attempts, repeats, second attempts of slow work, giving up.

use {
    crate::{
        answer::{self, Refused},
        attempt::{AttemptEnd, UpstreamAnswer, attempt},
        body::RelayBody,
        node::Node,
        probe::Choice,
        request::CallerRequest,
    },
    hyper::{Response, StatusCode},
    pointvane_core::{ErrorKind, PlatformAdapter, US_PER_MS},
    pointvane_dispatch::{AttemptOutcome, Verdict, judge},
    rand::Rng,
    std::{rc::Rc, time::Duration},
    tokio::{
        task::JoinSet,
        time::{Instant, sleep_until},
    },
};

/// Least and most share of the target time after which a second attempt is considered.
const HEDGE_SHARES: (f64, f64) = (0.1, 0.55);
/// Attempts that could not be sent, beyond which a request is given up.
const UNSENT_MAX: u32 = 4;

/// The attempts of one request.
struct Attempts<A> {
    node: Rc<Node<A>>,
    request: Rc<CallerRequest>,
    running: JoinSet<AttemptEnd>,
    may_have_run: bool,
    unsent: u32,
    /// The best answer so far, kept in case no better one comes.
    held: Option<UpstreamAnswer>,
}

/// Forwards a request and gives its final answer.
pub async fn forward<A: PlatformAdapter + 'static>(
    node: Rc<Node<A>>,
    request: Rc<CallerRequest>,
) -> Result<Response<RelayBody>, Refused> {
    let started_at_us = node.now_us();
    node.earn_retry(&request.routed.service);
    let (hedge_at, give_up_at) = times(&node, &request, started_at_us);
    let mut hedge_at = hedge_at;
    let mut attempts = Attempts {
        node: Rc::clone(&node),
        request: Rc::clone(&request),
        running: JoinSet::new(),
        may_have_run: false,
        unsent: 0,
        held: None,
    };
    attempts.start(attempts.best());
    loop {
        tokio::select! {
            ended = attempts.running.join_next() => {
                let Some(Ok(end)) = ended else {
                    return Err(ErrorKind::UpstreamBroken.into());
                };
                if let Some(finished) = attempts.ended(end) {
                    note_time(&node, &request, started_at_us, &finished);
                    return finished;
                }
            }
            () = sleep_until(hedge_at.unwrap_or(give_up_at)), if hedge_at.is_some() => {
                hedge_at = None;
                attempts.hedge();
            }
            () = sleep_until(give_up_at) => return attempts.give_up(ErrorKind::UpstreamTimeout),
        }
    }
}

/// When a second attempt is considered, if ever, and when the request is given up.
fn times<A: PlatformAdapter>(
    node: &Node<A>,
    request: &CallerRequest,
    now_us: u64,
) -> (Option<Instant>, Instant) {
    let now = Instant::now();
    let route = &request.routed.route;
    let give_up_at = now + Duration::from_micros(request.times.give_up_at_us.saturating_sub(now_us));
    let target_ms = route.target_latency_ms as f64;
    let answer_ms = node.route_times(route, |times| times.answer.get_ms());
    let hedge_after_ms = answer_ms.clamp(target_ms * HEDGE_SHARES.0, target_ms * HEDGE_SHARES.1);
    let hedge_at = now + Duration::from_secs_f64(hedge_after_ms / 1e3);
    let hedges = node.options.repeats.hedge && route.kind.repeatable();
    (hedges.then_some(hedge_at).filter(|at| *at < give_up_at), give_up_at)
}

fn note_time<A: PlatformAdapter>(
    node: &Node<A>,
    request: &CallerRequest,
    started_at_us: u64,
    finished: &Result<Response<RelayBody>, Refused>,
) {
    if finished.as_ref().is_ok_and(|response| response.status().is_success()) {
        let route = &request.routed.route;
        let time_ms = node.now_us().saturating_sub(started_at_us) as f64 / US_PER_MS as f64;
        node.route_times(route, |times| times.answer.note(time_ms));
    }
}

impl<A: PlatformAdapter + 'static> Attempts<A> {
    fn start(&mut self, choice: Choice) {
        self.running.spawn_local(attempt(Rc::clone(&self.node), Rc::clone(&self.request), choice));
    }

    /// The best upstream, after a short search for a good one.
    fn best(&self) -> Choice {
        let (request, admission, now_us) = (&self.request, self.node.admission(), self.node.now_us());
        let spent_us = now_us.saturating_sub(request.times.arrived_at_us);
        let look_ms = match request.arrivals.get() {
            0 => admission.look_ms(&request.routed.route, spent_us as f64 / US_PER_MS as f64),
            _ => admission.look_again_ms(&request.routed.route),
        };
        Choice::Best { look_until_us: now_us + (look_ms * US_PER_MS as f64) as u64 }
    }

    fn attempts_left(&self) -> bool {
        let sent = self.request.arrivals.get();
        sent < self.request.routed.route.attempts_max
            && self.unsent < UNSENT_MAX
            && self.request.body.is_some()
    }

    /// Starts a second attempt of slow work, if the route and the fleet's budget allow.
    fn hedge(&mut self) {
        if self.running.len() == 1
            && self.attempts_left()
            && self.node.take_retry(&self.request.routed.service)
        {
            self.node.report.repeated(true);
            self.start(Choice::GoodOnly);
        }
    }

    /// Takes an attempt's end; gives the final answer if this is it.
    fn ended(&mut self, end: AttemptEnd) -> Option<Result<Response<RelayBody>, Refused>> {
        let kind = self.request.routed.route.kind;
        self.may_have_run |= matches!(
            end.outcome,
            AttemptOutcome::Answered { .. } | AttemptOutcome::Broken | AttemptOutcome::TimedOut
        );
        if end.outcome == AttemptOutcome::Unsent {
            self.unsent += 1;
            if end.upstream.is_none() {
                return self.last_of(if end.refused { ErrorKind::Overloaded } else { ErrorKind::NoUpstream });
            }
        }
        if end.answer.is_some() {
            self.held = end.answer;
        }
        match judge(kind, end.outcome, self.may_have_run, self.attempts_left()) {
            Verdict::Deliver => Some(self.deliver()),
            Verdict::Again { counted } => {
                if !self.running.is_empty() {
                    return None;
                }
                if counted && !self.node.take_retry(&self.request.routed.service) {
                    return Some(self.give_up(self.kind_for(end.outcome)));
                }
                self.node.report.repeated(false);
                self.start(self.best());
                None
            }
            Verdict::GiveUp(error) => self.last_of(error),
        }
    }

    fn kind_for(&self, outcome: AttemptOutcome) -> ErrorKind {
        match judge(self.request.routed.route.kind, outcome, self.may_have_run, false) {
            Verdict::GiveUp(error) => error,
            Verdict::Deliver | Verdict::Again { .. } => ErrorKind::UpstreamBroken,
        }
    }

    /// Gives up unless another attempt still runs.
    fn last_of(&mut self, error: ErrorKind) -> Option<Result<Response<RelayBody>, Refused>> {
        self.running.is_empty().then(|| self.give_up(error))
    }

    fn give_up(&mut self, error: ErrorKind) -> Result<Response<RelayBody>, Refused> {
        if self.held.is_some() {
            return self.deliver();
        }
        let error =
            if self.may_have_run && error.answer().status == 503 { ErrorKind::UpstreamBroken } else { error };
        Err(Refused { come_back_ms: self.come_back_ms(error), ..error.into() })
    }

    /// When a caller that is refused for overload is to come back.
    fn come_back_ms(&self, error: ErrorKind) -> Option<u32> {
        let draw = self.node.rng.borrow_mut().random::<f64>();
        let after_ms = self.node.admission().come_back_ms(&self.request.routed.route, draw);
        (error == ErrorKind::Overloaded).then_some(after_ms as u32)
    }

    fn deliver(&mut self) -> Result<Response<RelayBody>, Refused> {
        let Some(answer) = self.held.take() else {
            return Err(ErrorKind::UpstreamBroken.into());
        };
        let promises = matches!(
            answer.response.status(),
            StatusCode::SERVICE_UNAVAILABLE
                | StatusCode::TOO_MANY_REQUESTS
                | StatusCode::REQUEST_TIMEOUT
                | StatusCode::MISDIRECTED_REQUEST
        );
        if promises && !self.request.routed.route.kind.repeatable() {
            // Such a status would promise that the request has not run; the upstream did not say so.
            return Err(ErrorKind::UpstreamBroken.into());
        }
        Ok(answer.response)
    }
}

/// Answers in an upstream's place.
pub fn refuse<A: PlatformAdapter>(
    node: &Node<A>,
    refused: Refused,
    id: Option<&hyper::header::HeaderValue>,
) -> Response<RelayBody> {
    let mut response = answer::refusal(refused);
    if let Some(id) = id {
        response.headers_mut().insert(node.headers.request_id.clone(), id.clone());
    }
    response
}
