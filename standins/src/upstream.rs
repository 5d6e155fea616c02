//! Upstream stand-ins with a limited number of slots, a queue, random service times and load reports. On request,
//! an upstream drains, truncates responses, aborts connections or turns requests away. Each counts what it ran.

mod fleet;
mod job;

pub use fleet::Fleet;

use {
    crate::serve::{Handler, StandInResponse, new_response},
    http_body_util::BodyExt,
    hyper::{
        Request,
        body::Incoming,
        header::{HeaderValue, RETRY_AFTER},
    },
    job::{InFlightRequest, Job},
    pointvane_core::{LimitNotice, LoadReport, header},
    rand::{SeedableRng, rngs::StdRng},
    rand_distr::{Distribution, LogNormal},
    serde::{Deserialize, Serialize},
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU32, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::Semaphore,
        time::{sleep, timeout},
    },
};

/// Specification of an upstream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UpstreamSpec {
    /// Name, which also selects the upstream at the control address.
    pub name: String,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Number of requests that it runs concurrently; further ones wait.
    pub slots: u16,
    /// Mean service time, in milliseconds.
    pub service_ms: f64,
    /// Standard deviation of the logarithm of the service time.
    pub sigma: f64,
    /// Time for which a probe occupies a slot, in milliseconds.
    pub probe_ms: f64,
    /// Delay before a new connection is served, in milliseconds.
    pub connect_ms: f64,
}

/// Behaviour of an upstream, which can be changed while it runs.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Behaviour {
    /// Reports that it is draining, but still accepts requests.
    pub draining: bool,
    /// Truncates the bodies of responses.
    #[serde(rename = "cutting")]
    pub truncating: bool,
    /// Runs requests and then aborts the connection without a response.
    #[serde(rename = "dying")]
    pub crashing: bool,
    /// Turns all requests away with status 503 and this `retry-after`, in seconds; 0 turns none away.
    pub pause_s: u32,
    /// Rate limit advertised in load reports, in requests per 1000 seconds; it is not enforced.
    pub limit_per_1000_s: Option<u32>,
    /// Sends the 503 and `retry-after` of `pause_s` in response to probes only, and runs all requests.
    pub pause_on_probes: bool,
    /// Delay before a request is turned away, in milliseconds.
    pub turn_away_after_ms: u64,
    /// Turns requests away shortly after their deadline instead of after `turn_away_after_ms`.
    pub turn_away_at_deadline: bool,
}

/// Counts of what an upstream has done.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Records {
    /// Requests that completed.
    pub ran: u64,
    /// Requests that ended before they completed: their caller went away, or their deadline passed in the queue.
    pub cancelled: u64,
    /// Requests that began to run while it was draining.
    pub begun_draining: u64,
    /// Requests and probes turned away with status 503.
    pub turned_away: u64,
    /// Number of requests that began to run, by idempotency key.
    pub keys: HashMap<String, u32>,
}

/// An upstream stand-in.
#[derive(Debug)]
pub struct Upstream {
    spec: UpstreamSpec,
    slots: Semaphore,
    in_flight: AtomicU32,
    cancelled: AtomicU64,
    behaviour: Mutex<Behaviour>,
    records: Mutex<Records>,
    service_times: Mutex<ServiceTimes>,
}

/// How much longer a sleep takes than requested, on average, in milliseconds.
const SLEEP_OVERSHOOT_MS: f64 = 0.6;
/// Delay after the deadline with [`Behaviour::turn_away_at_deadline`], so that the sender has given the
/// request up by then.
const TURN_AWAY_DELAY: Duration = Duration::from_millis(10);
/// Bytes that a truncated response announces but does not send.
const TRUNCATED_BYTES: u64 = 10_000;

/// Random service times of one upstream.
#[derive(Debug)]
struct ServiceTimes {
    rng: StdRng,
    distribution: LogNormal<f64>,
}

impl Upstream {
    fn new(spec: UpstreamSpec, seed: u64) -> Self {
        // A log-normal's mean is exp(mu + sigma^2 / 2).
        let mu = spec.service_ms.ln() - spec.sigma * spec.sigma / 2.0;
        let distribution = LogNormal::new(mu, spec.sigma).unwrap_or_else(|_| panic!("sigma {}", spec.sigma));
        let service_times = ServiceTimes { rng: StdRng::seed_from_u64(seed), distribution };
        Self {
            slots: Semaphore::new(usize::from(spec.slots)),
            spec,
            in_flight: AtomicU32::new(0),
            cancelled: AtomicU64::new(0),
            behaviour: Mutex::default(),
            records: Mutex::default(),
            service_times: Mutex::new(service_times),
        }
    }

    fn behaviour(&self) -> Behaviour {
        lock(&self.behaviour).clone()
    }

    /// Load report for a response; `finishing` is the number of requests in flight that end with this response.
    fn load_report(&self, behaviour: &Behaviour, finishing: u32) -> LoadReport {
        let in_flight = self.in_flight.load(Ordering::Relaxed).saturating_sub(finishing) as u16;
        LoadReport {
            in_flight,
            draining: behaviour.draining,
            limit: behaviour.limit_per_1000_s.map_or(LimitNotice::Absent, LimitNotice::Advertised),
        }
    }

    /// Service time of one request; `work_ms` overrides the distribution.
    fn sample_service_time(&self, work_ms: Option<f64>) -> Duration {
        let mut service_times = lock(&self.service_times);
        let ServiceTimes { rng, distribution } = &mut *service_times;
        let time_ms = work_ms.unwrap_or_else(|| distribution.sample(rng));
        // A sleep is rounded up to the next millisecond, by 0.5 ms on average, and ends slightly after that.
        Duration::from_secs_f64((time_ms - SLEEP_OVERSHOOT_MS).max(0.0) / 1_000.0)
    }

    async fn probe(&self, behaviour: &Behaviour) -> StandInResponse {
        let probe_time = Duration::from_secs_f64(self.spec.probe_ms / 1_000.0);
        if let Ok(_slot) = self.slots.acquire().await {
            sleep(probe_time).await;
        }
        if behaviour.pause_on_probes {
            return self.turn_away(behaviour);
        }
        self.with_load_report(new_response(200, "ok\n"), behaviour, 0)
    }

    fn with_load_report(
        &self,
        mut response: StandInResponse,
        behaviour: &Behaviour,
        finishing: u32,
    ) -> StandInResponse {
        let load_report = self.load_report(behaviour, finishing).to_string();
        let value = load_report.parse().unwrap_or_else(|_| panic!("header {load_report}"));
        response.headers_mut().insert(header::LOAD, value);
        response
    }

    fn turn_away(&self, behaviour: &Behaviour) -> StandInResponse {
        lock(&self.records).turned_away += 1;
        let mut response = self.with_load_report(new_response(503, "pause\n"), behaviour, 0);
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(behaviour.pause_s));
        response
    }

    async fn run_request(&self, request: Request<Incoming>, behaviour: Behaviour) -> StandInResponse {
        if behaviour.pause_s > 0 && !behaviour.pause_on_probes {
            sleep(match behaviour.turn_away_at_deadline {
                true => Job::from_request(&request).deadline + TURN_AWAY_DELAY,
                false => Duration::from_millis(behaviour.turn_away_after_ms),
            })
            .await;
            return self.turn_away(&behaviour);
        }
        let in_flight_request = InFlightRequest::new(self);
        let job = Job::from_request(&request);
        let body = request.into_body().collect().await;
        let Ok(body) = body else {
            return new_response(400, "cut\n");
        };
        let length = body.to_bytes().len();
        if job.work_ms == Some(0.0) {
            return self.finish(in_flight_request, &job, length);
        }
        let Ok(Ok(_slot)) = timeout(job.deadline, self.slots.acquire()).await else {
            return self.with_load_report(new_response(504, "expired\n"), &behaviour, 1);
        };
        self.begin(&job, &behaviour);
        sleep(self.sample_service_time(job.work_ms)).await;
        self.finish(in_flight_request, &job, length)
    }

    fn begin(&self, job: &Job, behaviour: &Behaviour) {
        let mut records = lock(&self.records);
        records.begun_draining += u64::from(behaviour.draining);
        if let Some(key) = &job.key {
            *records.keys.entry(key.clone()).or_default() += 1;
        }
    }

    fn finish(&self, in_flight_request: InFlightRequest<'_>, job: &Job, length: usize) -> StandInResponse {
        lock(&self.records).ran += 1;
        in_flight_request.complete();
        let behaviour = self.behaviour();
        let filler = "x".repeat(job.filler_bytes);
        let text = format!("{}\n{length}\n{filler}\nend {}\n", job.id, job.id);
        let mut response = new_response(200, text);
        if behaviour.truncating {
            response.body_mut().abort_after_body(TRUNCATED_BYTES);
        }
        self.with_load_report(response, &behaviour, 1)
    }
}

impl Handler for Upstream {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Option<StandInResponse> {
        let behaviour = self.behaviour();
        if request.uri().path() == "/load" {
            return Some(self.probe(&behaviour).await);
        }
        let crashing = behaviour.crashing;
        let response = self.run_request(request, behaviour).await;
        (!crashing).then_some(response)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
