//! The state of the process and the answering of one question.

use {
    crate::{
        answer::{EntryAddress, LocateAnswer},
        choose::{ChooseOptions, choose_entries},
    },
    opentelemetry::metrics::Counter,
    pointvane_config::{Configuration, Settings, unpack},
    pointvane_core::{IdempotencyKey, Name},
    pointvane_feed::FeedUser,
    pointvane_mesh::{EntryReport, FeedRole, FeedUpdate, MemberRow, Stamp},
    pointvane_telemetry::{EventKind, EventLog, OperatorState, wall_ms},
    rouille::{Request, Response},
    serde::Serialize,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
};

const STATUS_UNAVAILABLE: u16 = 503;
const RETRY_AFTER_S: &str = "1";
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
        Self {
            settings,
            events,
            questions,
            known: Mutex::default(),
        }
    }

    /// Answers one question.
    pub fn answer(&self, request: &Request) -> Response {
        if request.url() != LOCATE_PATH {
            return Response::empty_404();
        }
        self.questions.add(1, &[]);
        let near = request
            .get_param("data_centre")
            .map(|name| Name::from(name.as_str()));
        let Some(service) = request.get_param("service") else {
            return Response::empty_400();
        };
        match self.locate(&service, near) {
            Ok(answer) => Response::json(&answer),
            Err(refusal) => refusal,
        }
    }

    fn locate(&self, service: &str, near: Option<Name>) -> Result<LocateAnswer, Response> {
        let known = self.lock();
        let Some(configuration) = &known.configuration else {
            return Err(come_back());
        };
        let service = configuration.services.iter().find(|s| s.name.as_str() == service);
        let service = service.ok_or_else(Response::empty_404)?;
        let options = ChooseOptions {
            service: service.name.clone(),
            home_vms: service.home_vms as usize,
            near: near.unwrap_or_else(|| self.settings.vm.data_centre.clone()),
            count_max: usize::from(self.settings.locate.addresses_max),
        };
        let chosen = choose_entries(known.members.iter(), &options, &mut rand::rng());
        let key_life_ms = configuration.limits.key_life_ms;
        let entries: Vec<_> = chosen
            .into_iter()
            .filter_map(|row| address(row, key_life_ms))
            .collect();
        if entries.is_empty() {
            return Err(come_back());
        }
        Ok(LocateAnswer {
            service: service.name.clone(),
            keep_ms: configuration.limits.locate_keep_ms,
            entries,
        })
    }

    fn lock(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take(&self, value: &[u8], stamp: Stamp) {
        let Ok(packed) = unpack(value) else { return };
        let mut known = self.lock();
        if stamp <= known.stamp {
            return;
        }
        known.stamp = stamp;
        known.configuration = Some(packed.configuration);
        drop(known);
        let Stamp { revision, index } = stamp;
        self.events
            .note(EventKind::ConfigurationAccepted { revision, index });
    }
}

fn come_back() -> Response {
    let response = Response::text("not-ready\n").with_status_code(STATUS_UNAVAILABLE);
    response.with_additional_header("Retry-After", RETRY_AFTER_S)
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
        self.events.note(if connected {
            EventKind::FeedBack
        } else {
            EventKind::FeedLost
        });
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
