//! Typed events, written to the log and served as a timeline on the operator port.

use {
    crate::build_info::BuildInfo,
    pointvane_core::{Name, VmState},
    serde::{
        Deserialize, Deserializer, Serialize, Serializer,
        de::{self, MapAccess, Visitor},
    },
    serde_json::{Map, Value},
    std::{
        fmt,
        net::{IpAddr, SocketAddr},
    },
};

/// Field with an event's sequence number. Older versions also wrote [`EventKind::UpstreamTold`]'s
/// `entry_sequence` under this name.
const SEQUENCE: &str = "sequence";
/// Field with the sequence number of an upstream's registry entry.
const ENTRY_SEQUENCE: &str = "entry_sequence";

/// The pointvane program that emitted an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Program {
    /// Proxies requests to upstreams.
    Entry,
    /// Maintains membership and distributes configuration.
    Control,
    /// Tells callers which entry VMs to connect to.
    Locate,
    /// Combines all of these in one process; its upstreams come from a platform's registry.
    Node,
}

impl Program {
    /// The program's name in logs and timelines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Control => "control",
            Self::Locate => "locate",
            Self::Node => "node",
        }
    }
}

/// What happened, with its details. Serialized by name, with the variant under `kind`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
#[allow(missing_docs)]
pub enum EventKind {
    /// The process has started; the fields are those of [`BuildInfo`], empty in events of older versions.
    Started {
        #[serde(default)]
        version: String,
        #[serde(default)]
        commit: String,
        #[serde(default)]
        machine: String,
    },
    /// The process was asked to stop and accepts no new requests.
    Stopping { in_flight: u64 },
    /// All requests finished, or the stop timeout passed and the `cut` remaining ones were aborted.
    Stopped { cut: u64 },
    /// A configuration was applied.
    ConfigurationAccepted { revision: u64, index: u64 },
    /// A published configuration was rejected.
    ConfigurationRefused { revision: u64, index: u64, reason: String },
    /// The membership state of a VM changed.
    MemberChanged { member: Name, state: VmState },
    /// This VM started to read the platform on behalf of the others.
    ReaderBegan,
    /// This VM stopped reading the platform.
    ReaderEnded,
    /// The platform stopped responding.
    PlatformLost,
    /// The platform responds again.
    PlatformBack,
    /// The platform's write counter decreased, as after a restore from an older copy.
    PlatformWentBack { from: u64, to: u64 },
    /// An upstream is leaving and gets no new requests.
    UpstreamLeaving { service: Name, upstream: Name },
    /// An upstream gets no requests from this process for `back_off_ms`. It asked for that, unless there is another
    /// `reason`.
    UpstreamBackingOff {
        service: Name,
        upstream: Name,
        back_off_ms: u64,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        reason: Option<Name>,
    },
    /// An upstream advertised a new request limit, shared by all processes, in requests per 1000 s; `None` if
    /// it no longer advertises one.
    UpstreamLimitChanged { service: Name, upstream: Name, per_1000_s: Option<u32> },
    /// The upstreams of a service in a data centre became contended, or no longer are: the share of recent
    /// load reports by which they were uncontended, and their mean occupancy, in thousandths (`None` without
    /// recent reports).
    ContentionChanged {
        service: Name,
        data_centre: Name,
        contended: bool,
        uncontended_per_mille: Option<u32>,
        occupancy_per_mille: Option<u32>,
    },
    /// An upstream that was leaving no longer is.
    UpstreamStaying { service: Name, upstream: Name },
    /// A failing upstream was ejected from selection.
    UpstreamEjected { service: Name, upstream: Name },
    /// An upstream is back in selection after an ejection, or ran a request again after backing off.
    UpstreamReturned { service: Name, upstream: Name },
    /// No upstream of a service responds to this process any more; `upstreams_tried` were tried since the last
    /// response, `silent_ms` ago (`None` if there was none).
    ServiceLost { service: Name, upstreams_tried: u64, silent_ms: Option<u64> },
    /// An upstream of a lost service responds again.
    ServiceRegained { service: Name, lost_ms: u64 },
    /// Services are still lost: `checks` of their upstreams ended since the last such line, `unanswered` of them
    /// without a response.
    LostServicesChecked { services: u64, checks: u64, unanswered: u64 },
    /// The timers of this process began to fire late: it has too little processor time, or was suspended.
    TimersLate { late_ms: u64 },
    /// A connection for forwarded requests was refused because its address belongs to no process of the fleet.
    PeerConnectionRefused { from: IpAddr },
    /// Bodies of requests began to wait for memory; `held_kb` of `limit_kb` is in use.
    MemoryPressureBegan { held_kb: u64, limit_kb: u64, waiting: u64 },
    /// Bodies no longer wait for memory; `refused` requests were refused meanwhile.
    MemoryPressureEnded { held_kb: u64, refused: u64 },
    /// A service started to reject requests because of overload.
    OverloadBegan { service: Name },
    /// A service stopped rejecting requests.
    OverloadEnded { service: Name },
    /// The connection to the update feed of this VM's control was lost.
    FeedLost,
    /// The update feed of this VM's control is connected, for the first time or again.
    FeedBack,
    /// An upstream's registry entry was read from the platform; `entry_sequence` counts the updates of that
    /// entry.
    UpstreamTold { service: Name, upstream: Name, draining: bool, entry_sequence: u64 },
    /// An upstream's registry entry was removed.
    UpstreamGone { upstream: Name },
    /// Evacuation of a data centre started or ended; while it is active its upstreams get no new requests.
    /// `revision` is the platform's.
    EvacuationChanged { data_centre: Name, active: bool, revision: u64 },
    /// A complete snapshot was read from the platform.
    PlatformRead { revision: u64, version: u64, upstreams: u64 },
    /// A node that does not watch the platform called it, or a call was repeated because the one before
    /// returned no state.
    PlatformCalled { call: Name, reason: Name },
    /// Another node sent its copy of the platform's state, last confirmed by the platform `age_ms` ago.
    StateTold { peer: SocketAddr, revision: u64, age_ms: u64 },
    /// An item of the platform could not be decoded.
    ItemRefused { key: String, problem: String },
    /// A watch was cancelled and restarted, because peers have seen a later revision or to recover from a
    /// hung watch.
    WatchRenewed { revision: u64 },
    /// The settings were reloaded.
    Reloaded { changed: bool },
    /// The settings could not be reloaded; the previous ones stay in effect.
    ReloadRefused { problem: String },
    /// An attempt of a request ended. The load fields are those known when the upstream was chosen,
    /// `load_age_ms` old.
    AttemptEnded {
        request: String,
        /// Digest that identifies the same request when a caller resends it; `None` for a successful attempt.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        fingerprint: Option<String>,
        /// Address of the caller; `None` for a successful attempt.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        caller: Option<IpAddr>,
        service: Name,
        upstream: Name,
        outcome: Name,
        /// `Retry-After` header of a rejection, as sent by the upstream, truncated to 40 bytes.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        retry_after: Option<String>,
        hedge: bool,
        cost_percent: u32,
        running: u32,
        waiting: u32,
        pace_percent: u32,
        load_age_ms: u64,
        choose_ms: u64,
        took_ms: u64,
    },
    /// The best upstream for a request has no capacity or would finish it too late; the caller gets an error
    /// and a time to retry.
    RequestWouldBeLate {
        request: String,
        upstream: Name,
        cost_percent: u32,
        running: u32,
        waiting: u32,
        pace_percent: u32,
        load_age_ms: u64,
        expected_ms: u64,
        spent_ms: u64,
        /// Why it is not sent there.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        reason: Option<Name>,
        /// Time that the caller had spent on earlier tries; `None` if it is new.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        spent_before_ms: Option<u64>,
    },
    /// An attempt was abandoned after `after_ms` without a response, which counts against the upstream.
    AttemptGivenUp { request: String, upstream: Name, after_ms: u64 },
    /// A request was forwarded to another process, since no upstream of its service responds to this one.
    RequestForwarded {
        request: String,
        service: Name,
        peer: SocketAddr,
        outcome: Name,
        hedge: bool,
        took_ms: u64,
    },
    /// A request was answered by an upstream.
    RequestAnswered { request: String, route: Name, version: u64, status: u16, attempts: u32, spent_ms: u64 },
    /// A request was answered with an error by this process; `version` is that of the configuration it was
    /// checked against, 0 if there was none.
    RequestRefused {
        request: String,
        route: Option<Name>,
        version: u64,
        error: Name,
        outcome: Name,
        attempts: u32,
        spent_ms: u64,
        come_back_ms: Option<u32>,
        /// Number of upstreams of the service, if none of them is available.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        upstreams: Option<u64>,
        /// How many of these are backing off.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        backing_off: Option<u64>,
        /// How many of these have reached their request limit; `None` if there are none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        limited: Option<u64>,
        /// Time until the first of the upstreams that back off or are limited is available.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        back_in_ms: Option<u64>,
        /// Digest that identifies the same request when a caller resends it; set for quarantined requests.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        fingerprint: Option<String>,
    },
    /// A request is sent to no upstream for `hold_ms`, since upstreams crashed while running it `crashes`
    /// times in a row.
    RequestQuarantined { fingerprint: String, crashes: u64, hold_ms: u64 },
    /// A quarantined request ran successfully.
    QuarantineLifted { fingerprint: String },
    /// A response whose first bytes were sent is incomplete, so its connection was closed.
    ResponseIncomplete { request: String, reason: Name },
    /// An upstream's response to a request was malformed: it was `refused` (nothing of it reaches the caller), or
    /// its head was corrected and the body relayed whole.
    ResponseMalformed { request: String, service: Name, upstream: Name, reason: Name, refused: bool },
    /// A caller's connection was given up before the caller closed its side, so that it may have lost a part of
    /// a response; `request` is the last one that was served on it.
    ConnectionGivenUp { caller: IpAddr, request: String, reason: Name, dropped_bytes: u64 },
    /// Log lines were suppressed by the rate limit.
    LinesLeftOut { count: u64 },
}

impl EventKind {
    /// The event of a process of this build that has started.
    pub fn started(build: &BuildInfo) -> Self {
        let BuildInfo { version, commit, machine } = build;
        Self::Started { version: (*version).into(), commit: (*commit).into(), machine: (*machine).into() }
    }

    /// Whether the event concerns a single request. Such events are logged but not kept in the timeline.
    pub const fn is_request_event(&self) -> bool {
        matches!(
            self,
            Self::AttemptEnded { .. }
                | Self::RequestWouldBeLate { .. }
                | Self::AttemptGivenUp { .. }
                | Self::RequestForwarded { .. }
                | Self::RequestAnswered { .. }
                | Self::RequestRefused { .. }
                | Self::ResponseIncomplete { .. }
                | Self::ResponseMalformed { .. }
                | Self::ConnectionGivenUp { .. }
                | Self::LinesLeftOut { .. }
        )
    }

    /// All fields as in JSON, including `kind`.
    pub fn fields(&self) -> Value {
        serde_json::to_value(self).unwrap_or_default()
    }

    /// The kind's name, as in JSON.
    pub fn name(&self) -> String {
        self.fields()["kind"].as_str().unwrap_or_default().into()
    }
}

/// One event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(remote = "Self")]
pub struct Event {
    /// Sequence number within the process.
    pub sequence: u64,
    /// Wall-clock time of the VM, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Name of the VM.
    pub vm: Name,
    /// The program that emitted the event.
    pub program: Program,
    /// What happened.
    #[serde(flatten)]
    pub kind: EventKind,
}

impl Serialize for Event {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        Self::serialize(self, serializer)
    }
}

/// Older versions write `sequence` twice into an [`EventKind::UpstreamTold`], which the derived
/// implementation rejects as a duplicate field.
impl<'de> Deserialize<'de> for Event {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let fields = deserializer.deserialize_map(EventVisitor)?;
        Self::deserialize(Value::Object(fields)).map_err(de::Error::custom)
    }
}

/// Collects an event's fields and tolerates duplicates: the first `sequence` is the event's own, the second the
/// upstream's `entry_sequence`; of any other field the last one wins.
struct EventVisitor;

impl<'de> Visitor<'de> for EventVisitor {
    type Value = Map<String, Value>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an event")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Self::Value, A::Error> {
        let mut fields = Map::new();
        while let Some((name, value)) = access.next_entry::<String, Value>()? {
            if name == SEQUENCE && fields.contains_key(SEQUENCE) {
                fields.entry(ENTRY_SEQUENCE).or_insert(value);
            } else {
                fields.insert(name, value);
            }
        }
        Ok(fields)
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let value = self.kind.fields();
        write!(f, "{:<10} {:<8} {}", self.vm, self.program.as_str(), self.kind.name())?;
        let fields = value.as_object().into_iter().flatten().filter(|(name, _)| *name != "kind");
        for (name, value) in fields {
            match value.as_str() {
                Some(text) => write!(f, " {name}={text}")?,
                None => write!(f, " {name}={value}")?,
            }
        }
        Ok(())
    }
}
