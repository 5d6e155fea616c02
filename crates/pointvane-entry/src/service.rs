//! One service at this entry VM: its balancer behind a lock, and the attempts of its requests.

use {
    crate::malformed_responses::{MalformedResponse, MalformedResponses},
    pointvane_balance::{
        Arrival, AttemptOutcome, AttemptResult, Decision, Dispatch, ServiceBalancer, UpstreamSummary,
    },
    pointvane_config::{FleetLimits, Service},
    pointvane_core::{Clock, ErrorKind, LimitNotice, LoadReport, Name, US_PER_S},
    pointvane_serve::{FaultHandling, ResponseFault},
    pointvane_telemetry::MonotonicClock,
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
    },
    tokio::sync::oneshot,
};

/// Channel on which a waiting request receives its attempt, or the reason for its refusal.
pub type Waiter = oneshot::Sender<Result<Attempt, ErrorKind>>;

/// One service at this entry VM.
#[derive(Debug)]
pub struct ServiceHandle {
    /// The service's name.
    pub name: Name,
    clock: MonotonicClock,
    /// Number of requests refused for overload.
    overload_refusals: AtomicU64,
    /// Malformed responses that are not in the event log yet.
    pub malformed: MalformedResponses,
    balancer: Mutex<ServiceBalancer<Waiter>>,
}

/// One attempt at an upstream; ends as cancelled if dropped without [`Self::end`].
#[derive(Debug)]
pub struct Attempt {
    service: Arc<ServiceHandle>,
    upstream: usize,
    address: SocketAddr,
    started_us: u64,
    report: Option<LoadReport>,
    ended: bool,
}

impl ServiceHandle {
    /// Creates a service with no known state of its upstreams. `seed` seeds its random choices.
    pub fn new(service: &Service, limits: &FleetLimits, seed: u64, clock: MonotonicClock) -> Self {
        let balancer = ServiceBalancer::new(service, limits, seed, clock.now_us());
        Self {
            name: service.name.clone(),
            clock,
            overload_refusals: AtomicU64::new(0),
            malformed: MalformedResponses::default(),
            balancer: Mutex::new(balancer),
        }
    }

    /// Locks the balancer. Never hold the guard across an await or while an [`Attempt`] is dropped: dropping
    /// it takes the same lock.
    pub fn lock(&self) -> MutexGuard<'_, ServiceBalancer<Waiter>> {
        self.balancer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Time of the service's clock, in microseconds.
    pub fn now_us(&self) -> u64 {
        self.clock.now_us()
    }

    /// Admits a request: it starts at once or waits in the queue.
    ///
    /// # Errors
    /// The reason for which it is refused.
    pub fn arrive(self: &Arc<Self>, arrival: Arrival) -> Result<Admission, ErrorKind> {
        let (waiter, receiver) = oneshot::channel();
        let now_us = self.now_us();
        let decision = self.lock().arrive(arrival, waiter, now_us);
        match decision {
            Decision::Start { upstream, .. } => Ok(Admission::Immediate(self.new_attempt(upstream))),
            Decision::Wait => Ok(Admission::Queued(receiver)),
            Decision::Refuse { kind, .. } => {
                self.overload_refusals.fetch_add(u64::from(kind == ErrorKind::Overloaded), Ordering::Relaxed);
                Err(kind)
            }
        }
    }

    /// Starts waiting requests for which there is capacity, and refuses those that can no longer be served.
    pub fn dispatch_waiting(self: &Arc<Self>) {
        loop {
            let now_us = self.now_us();
            let dispatch = self.lock().dispatch(now_us, oneshot::Sender::is_closed);
            // If the waiter has gone away, sending returns the attempt, which ends as cancelled when dropped.
            match dispatch {
                None => return,
                Some(Dispatch::Start { upstream, waiter }) => {
                    drop(waiter.send(Ok(self.new_attempt(upstream))));
                }
                Some(Dispatch::Refuse { kind, waiter }) => drop(waiter.send(Err(kind))),
            }
        }
    }

    /// Starts an attempt at another upstream after an idempotent request failed at `failed`; `None` if the
    /// retry budget is used up or no upstream is available.
    pub fn retry(self: &Arc<Self>, failed: usize) -> Option<Attempt> {
        let upstream = self.lock().retry(failed, self.now_us())?;
        Some(self.new_attempt(upstream))
    }

    /// Starts an attempt at another upstream after nothing could be sent to `unreachable`, at no cost to the
    /// retry budget; `None` if no upstream is available.
    pub fn redirect(self: &Arc<Self>, unreachable: usize) -> Option<Attempt> {
        let upstream = self.lock().redirect(unreachable, self.now_us())?;
        Some(self.new_attempt(upstream))
    }

    /// Starts a second attempt beside a slow one of an idempotent request; `None` unless there is spare
    /// capacity and no request is waiting.
    pub fn hedge(self: &Arc<Self>, first: usize) -> Option<Attempt> {
        let upstream = self.lock().hedge(first, self.now_us())?;
        Some(self.new_attempt(upstream))
    }

    /// `Retry-After` in seconds for a request that was refused with `kind`.
    pub fn retry_after_s(&self, kind: ErrorKind) -> u64 {
        self.lock().retry_after_s(kind, self.now_us())
    }

    /// Number of requests refused for overload so far.
    pub fn overload_refusals(&self) -> u64 {
        self.overload_refusals.load(Ordering::Relaxed)
    }

    /// Known state of the upstreams.
    pub fn summaries(&self) -> Vec<UpstreamSummary> {
        self.lock().summaries(self.now_us())
    }

    fn new_attempt(self: &Arc<Self>, upstream: usize) -> Attempt {
        let address = self.lock().upstream(upstream).address;
        let started_us = self.now_us();
        Attempt { service: Arc::clone(self), upstream, address, started_us, report: None, ended: false }
    }
}

/// Result of the admission of a request.
#[derive(Debug)]
pub enum Admission {
    /// Starts at once.
    Immediate(Attempt),
    /// Waits in the queue for its attempt or its refusal.
    Queued(oneshot::Receiver<Result<Attempt, ErrorKind>>),
}

impl Attempt {
    /// Address of the upstream.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Index of the upstream.
    pub fn upstream(&self) -> usize {
        self.upstream
    }

    /// Time since the attempt started, in seconds.
    pub fn elapsed_s(&self) -> f64 {
        self.service.now_us().saturating_sub(self.started_us) as f64 / US_PER_S as f64
    }

    /// Whether the upstream has asked for a back-off that is in force now, perhaps after this attempt
    /// started.
    pub fn is_upstream_backing_off(&self) -> bool {
        self.service.lock().is_backing_off(self.upstream, self.service.now_us())
    }

    /// Records that the upstream asks for no requests for `for_us` microseconds.
    pub fn record_back_off(&self, for_us: u64) {
        self.service.lock().record_back_off(self.upstream, for_us, self.service.now_us());
    }

    /// Records the head of a valid response with the upstream's request limit.
    pub fn record_head(&self, notice: LimitNotice) {
        let now_us = self.service.now_us();
        let mut balancer = self.service.lock();
        balancer.record_valid_response(self.upstream);
        balancer.record_limit(self.upstream, notice, Some(self.started_us), now_us);
    }

    /// Records a malformed response to the request `request_id`, and has it reported.
    pub fn record_malformed(&self, request_id: &str, fault: ResponseFault, handling: FaultHandling) {
        if handling == FaultHandling::Refused && fault.is_of_upstream() {
            self.service.lock().record_malformed(self.upstream, self.service.now_us());
        }
        let upstream = self.service.lock().upstream(self.upstream).name.clone();
        self.service.malformed.add(MalformedResponse {
            request: request_id.into(),
            upstream,
            fault,
            handling,
        });
    }

    /// Service of the attempt.
    pub fn service(&self) -> &Arc<ServiceHandle> {
        &self.service
    }

    /// Sets the load report from the head of the response.
    pub fn set_report(&mut self, report: Option<LoadReport>) {
        self.report = report;
    }

    /// Ends the attempt and dispatches waiting requests.
    pub fn end(mut self, end: AttemptOutcome) {
        self.finish(end);
    }

    fn finish(&mut self, end: AttemptOutcome) {
        self.ended = true;
        let now_us = self.service.now_us();
        let latency_us = now_us.saturating_sub(self.started_us);
        let result = AttemptResult { upstream: self.upstream, end, latency_us, report: self.report };
        let waiting = {
            let mut balancer = self.service.lock();
            balancer.finish_attempt(&result, now_us);
            balancer.waiting()
        };
        if waiting > 0 {
            self.service.dispatch_waiting();
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if !self.ended {
            self.finish(AttemptOutcome::Cancelled);
        }
    }
}
