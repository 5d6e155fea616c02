//! The state of the process, and the answer to one lookup.

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
    pointvane_feed::FeedUser,
    pointvane_mesh::{EntryReport, FeedRole, FeedUpdate, MemberRow, Stamp},
    pointvane_serve::Handler,
    pointvane_telemetry::{EventKind, EventLog, OperatorState, wall_ms},
    serde::Serialize,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
};

/// When callers should ask again while nothing is known, in seconds. Not measured.
const RETRY_AFTER_S: &str = "1";
/// Path of the lookup; docs/CALLERS.md describes it.
const LOCATE_PATH: &str = "/v1/locate";

/// The state of one locate process.
#[derive(Debug)]
pub struct Locate {
    settings: Settings,
    events: Arc<EventLog>,
    questions: Counter<u64>,
    known: Mutex<Known>,
}

#[derive(Debug, Default)]
struct Known {
    stamp: Stamp,
    configuration: Option<Configuration>,
    members: Vec<MemberRow>,
}

/// What the operator port shows.
#[derive(Debug, Serialize)]
pub struct LocateStatus {
    /// The configuration in force.
    pub configuration: Stamp,
    /// Entry VMs that callers are sent to.
    pub usable: Vec<Name>,
}

impl Locate {
    /// A locate that knows nothing yet.
    pub fn new(settings: Settings, events: Arc<EventLog>, questions: Counter<u64>) -> Self {
        Self { settings, events, questions, known: Mutex::default() }
    }

    fn locate(&self, service: &str, near: Option<Name>) -> Result<LocateAnswer, StatusCode> {
        let known = self.lock();
        let configuration = known.configuration.as_ref().ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
        let service = configuration.services.iter().find(|s| s.name.as_str() == service);
        let service = service.ok_or(StatusCode::NOT_FOUND)?;
        let options = ChooseOptions {
            service: service.name.clone(),
            home_vms: service.home_vms as usize,
            near: near.unwrap_or_else(|| self.settings.vm.data_centre.clone()),
            count_max: usize::from(self.settings.locate.addresses_max),
        };
        let chosen = choose_entries(known.members.iter(), &options, &mut rand::rng());
        let key_life_ms = configuration.limits.key_life_ms;
        let entries: Vec<_> = chosen.into_iter().filter_map(|row| address(row, key_life_ms)).collect();
        if entries.is_empty() {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        Ok(LocateAnswer {
            service: service.name.clone(),
            keep_ms: configuration.limits.locate_keep_ms,
            entries,
        })
    }

    /// Answers one lookup.
    fn answer(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        self.questions.add(1, &[]);
        if request.uri().path() != LOCATE_PATH {
            return refuse(StatusCode::NOT_FOUND);
        }
        let Some(service) = parameter(request, "service") else {
            return refuse(StatusCode::BAD_REQUEST);
        };
        match self.locate(service, parameter(request, "data_centre").map(Name::from)) {
            Ok(answer) => json(&answer),
            Err(status) => refuse(status),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take(&self, value: &[u8], stamp: Stamp) {
        // The control refuses damaged values and notes them on its time line; here the one before stays in force.
        let Ok(packed) = unpack(value) else { return };
        let mut known = self.lock();
        if stamp <= known.stamp {
            return;
        }
        known.stamp = stamp;
        known.configuration = Some(packed.configuration);
        drop(known);
        let Stamp { revision, index } = stamp;
        self.events.note(EventKind::ConfigurationAccepted { revision, index });
    }
}

impl Handler for Locate {
    type Body = Full<Bytes>;

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<Full<Bytes>> {
        self.answer(&request)
    }
}

fn parameter<'r>(request: &'r Request<Incoming>, name: &str) -> Option<&'r str> {
    let pairs = request.uri().query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
}

fn json(answer: &LocateAnswer) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(answer).unwrap_or_default();
    let mut response = Response::new(Full::from(body));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn refuse(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::from(format!("{status}\n")));
    *response.status_mut() = status;
    if status == StatusCode::SERVICE_UNAVAILABLE {
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_S));
    }
    response
}

fn address(row: &MemberRow, key_life_ms: u64) -> Option<EntryAddress> {
    let incarnation = row.entry?.incarnation;
    // An incarnation is its start on the wall clock, so this is the time since that start; a difference
    // between the VMs' clocks only shortens or lengthens the key's life by as much.
    let since_start_ms = wall_ms().saturating_sub(incarnation.0);
    Some(EntryAddress {
        vm: row.identity.name.clone(),
        data_centre: row.identity.data_centre.clone(),
        address: SocketAddr::new(row.identity.address, row.entry_port),
        key_prefix: IdempotencyKey::prefix(&row.identity.name, incarnation, since_start_ms + key_life_ms),
    })
}

impl FeedUser for Locate {
    const ROLE: FeedRole = FeedRole::Locate;

    fn update(&self, update: FeedUpdate) {
        match update {
            FeedUpdate::Configuration(stored) => self.take(&stored.value, stored.stamp),
            FeedUpdate::Members(rows) => self.lock().members = rows,
            FeedUpdate::VmList(_) | FeedUpdate::Beat => {}
        }
    }

    fn connected(&self, connected: bool) {
        self.events.note(if connected { EventKind::FeedBack } else { EventKind::FeedLost });
    }

    fn report(&self) -> Option<EntryReport> {
        None
    }
}

impl OperatorState for Locate {
    type Status = LocateStatus;

    fn status(&self) -> LocateStatus {
        let known = self.lock();
        let usable = known.members.iter().filter(|row| row.takes_callers());
        LocateStatus {
            configuration: known.stamp,
            usable: usable.map(|row| row.identity.name.clone()).collect(),
        }
    }
}
