//! State of the locate process and the handling of lookups.

use {
    crate::{
        answer::{EntryAddress, LocateAnswer},
        choose::{ChooseOptions, choose_entries},
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        Request, Response, StatusCode,
        body::Incoming,
        header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
    },
    opentelemetry::metrics::Counter,
    pointvane_config::{Configuration, Settings, unpack},
    pointvane_core::{IdempotencyKey, Name},
    pointvane_feed::FeedHandler,
    pointvane_mesh::{EntryReport, FeedRole, FeedUpdate, MemberRow, Stamp},
    pointvane_serve::Handler,
    pointvane_telemetry::{EventKind, EventLog, OperatorState, unix_time_ms},
    serde::Serialize,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
};

/// Value of the `Retry-After` header while no configuration or entry VM is known, in seconds.
const RETRY_AFTER_S: &str = "1";
/// Path of lookups; docs/CALLERS.md describes it.
const LOCATE_PATH: &str = "/v1/locate";

/// State of the locate process.
#[derive(Debug)]
pub struct Locate {
    settings: Settings,
    events: Arc<EventLog>,
    lookups: Counter<u64>,
    feed_state: Mutex<FeedState>,
}

#[derive(Debug, Default)]
struct FeedState {
    stamp: Stamp,
    configuration: Option<Configuration>,
    members: Vec<MemberRow>,
}

/// Status of the locate process, served on its operator port as `/status`.
#[derive(Debug, Serialize)]
pub struct LocateStatus {
    /// Stamp of the current configuration.
    pub configuration: Stamp,
    /// Names of the entry VMs that accept callers.
    pub usable: Vec<Name>,
}

impl Locate {
    /// Creates the state of a process that has no configuration and no members yet.
    pub fn new(settings: Settings, events: Arc<EventLog>, lookups: Counter<u64>) -> Self {
        Self { settings, events, lookups, feed_state: Mutex::default() }
    }

    fn find_entries(&self, service: &str, near: Option<Name>) -> Result<LocateAnswer, StatusCode> {
        let feed_state = self.lock();
        let configuration = feed_state.configuration.as_ref().ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
        let service = configuration.services.iter().find(|s| s.name.as_str() == service);
        let service = service.ok_or(StatusCode::NOT_FOUND)?;
        let options = ChooseOptions {
            service: service.name.clone(),
            home_vms: service.home_vms as usize,
            near: near.unwrap_or_else(|| self.settings.vm.data_centre.clone()),
            count_max: usize::from(self.settings.locate.addresses_max),
        };
        let chosen = choose_entries(feed_state.members.iter(), &options, &mut rand::rng());
        let key_life_ms = configuration.limits.key_life_ms;
        let entries: Vec<_> = chosen.into_iter().filter_map(|row| entry_address(row, key_life_ms)).collect();
        if entries.is_empty() {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        Ok(LocateAnswer {
            service: service.name.clone(),
            keep_ms: configuration.limits.locate_keep_ms,
            entries,
        })
    }

    /// Handles one lookup.
    fn answer(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        self.lookups.add(1, &[]);
        if request.uri().path() != LOCATE_PATH {
            return error_response(StatusCode::NOT_FOUND);
        }
        let Some(service) = query_parameter(request, "service") else {
            return error_response(StatusCode::BAD_REQUEST);
        };
        match self.find_entries(service, query_parameter(request, "data_centre").map(Name::from)) {
            Ok(answer) => json_response(&answer),
            Err(status) => error_response(status),
        }
    }

    fn lock(&self) -> MutexGuard<'_, FeedState> {
        self.feed_state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn apply_configuration(&self, value: &[u8], stamp: Stamp) {
        // The control process refuses and logs damaged values; here the previous configuration stays in
        // force.
        let Ok(packed) = unpack(value) else { return };
        let mut feed_state = self.lock();
        if stamp <= feed_state.stamp {
            return;
        }
        feed_state.stamp = stamp;
        feed_state.configuration = Some(packed.configuration);
        drop(feed_state);
        let Stamp { revision, index } = stamp;
        self.events.record(EventKind::ConfigurationAccepted { revision, index });
    }
}

impl Handler for Locate {
    type Body = Full<Bytes>;

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Full<Bytes>> {
        self.answer(&request)
    }
}

fn query_parameter<'r>(request: &'r Request<Incoming>, name: &str) -> Option<&'r str> {
    let pairs = request.uri().query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
}

fn json_response(answer: &LocateAnswer) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(answer).unwrap_or_default();
    let mut response = Response::new(Full::from(body));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn error_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(format!("{status}\n")));
    *response.status_mut() = status;
    if status == StatusCode::SERVICE_UNAVAILABLE {
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_S));
    }
    response
}

fn entry_address(row: &MemberRow, key_life_ms: u64) -> Option<EntryAddress> {
    let incarnation = row.entry?.incarnation;
    // An incarnation is the process's start time on the wall clock. Clock skew between VMs only shortens or
    // lengthens the lifetime of keys by the same amount.
    let since_start_ms = unix_time_ms().saturating_sub(incarnation.0);
    Some(EntryAddress {
        vm: row.identity.name.clone(),
        data_centre: row.identity.data_centre.clone(),
        address: SocketAddr::new(row.identity.address, row.entry_port),
        key_prefix: IdempotencyKey::prefix(&row.identity.name, incarnation, since_start_ms + key_life_ms),
    })
}

impl FeedHandler for Locate {
    const ROLE: FeedRole = FeedRole::Locate;

    fn update(&self, update: FeedUpdate) {
        match update {
            FeedUpdate::Configuration(stamped) => self.apply_configuration(&stamped.value, stamped.stamp),
            FeedUpdate::Members(rows) => self.lock().members = rows,
            FeedUpdate::VmList(_) | FeedUpdate::Beat => {}
        }
    }

    fn connection_changed(&self, connected: bool) {
        self.events.record(if connected { EventKind::FeedBack } else { EventKind::FeedLost });
    }

    fn report(&self) -> Option<EntryReport> {
        None
    }
}

impl OperatorState for Locate {
    type Status = LocateStatus;

    fn status(&self) -> LocateStatus {
        let feed_state = self.lock();
        let usable = feed_state.members.iter().filter(|row| row.accepts_callers());
        LocateStatus {
            configuration: feed_state.stamp,
            usable: usable.map(|row| row.identity.name.clone()).collect(),
        }
    }
}
