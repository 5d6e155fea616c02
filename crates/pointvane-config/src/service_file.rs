//! Reads the configuration of one service.

use crate::{
    configuration::{Policy, Route, Service, Upstream},
    section::Section,
    service_options::{AdmissionOptions, EjectionOptions, HedgeOptions, LoadOptions, RetryOptions},
};

/// Deadline of a service whose file does not set one, in milliseconds.
const DEADLINE_MS_DEFAULT: u64 = 10_000;
/// Maximum deadline that a file may set, in milliseconds: one hour.
const DEADLINE_MS_MAX: u64 = 3_600_000;

/// Keys of a service file.
const SERVICE_KEYS: [&str; 13] = [
    "admission",
    "deadline_ms",
    "ejection",
    "hedge",
    "home_vms",
    "hosts",
    "load",
    "name",
    "path_prefix",
    "policy",
    "retry",
    "slots",
    "upstream",
];

/// Reads a service from the root table of its file.
pub fn read_service(root: &Section<'_, '_>) -> Service {
    root.reject_unknown_keys(&SERVICE_KEYS);
    let slots = root.integer("slots", 1..=10_000, Some(1));
    let upstreams: Vec<_> =
        root.sections("upstream").iter().filter_map(|s| read_upstream(s, slots)).collect();
    if upstreams.is_empty() {
        root.fault("upstream", "the service has no usable upstream", "add at least one [[upstream]]");
    }
    Service {
        name: root.string("name", "dispatch").as_str().into(),
        route: read_route(root),
        policy: root.choice("policy", &Policy::NAMES, Policy::Shared),
        deadline_ms: root.integer("deadline_ms", 1..=DEADLINE_MS_MAX, Some(DEADLINE_MS_DEFAULT)),
        home_vms: root.integer("home_vms", 0..=10_000, Some(0)),
        upstreams,
        load: read_load(&root.section("load")),
        admission: read_admission(&root.section("admission")),
        retry: read_retry(&root.section("retry")),
        hedge: read_hedge(&root.section("hedge")),
        ejection: read_ejection(&root.section("ejection")),
    }
}

fn read_route(root: &Section<'_, '_>) -> Route {
    let hosts = root.strings("hosts").iter().map(|host| host.as_str().into()).collect();
    let path_prefix = root.string("path_prefix", "/dispatch");
    if !path_prefix.is_empty() && !path_prefix.starts_with('/') {
        root.fault("path_prefix", "does not start with /", "write it like \"/dispatch\"");
    }
    Route { hosts, path_prefix: path_prefix.as_str().into() }
}

fn read_upstream(section: &Section<'_, '_>, slots: u16) -> Option<Upstream> {
    section.reject_unknown_keys(&["address", "data_centre", "name", "slots"]);
    let name = section.string("name", "dispatch-1");
    let data_centre = section.string("data_centre", "ub-1");
    let slots = section.integer("slots", 1..=10_000, Some(slots));
    let address = section.parsed("address", "10.0.0.7:8080")?;
    Some(Upstream {
        name: name.as_str().into(),
        data_centre: data_centre.as_str().into(),
        address,
        slots,
        evacuated: false,
    })
}

fn read_load(section: &Section<'_, '_>) -> LoadOptions {
    section.reject_unknown_keys(&[
        "choices",
        "evidence_ms",
        "half_life_share",
        "probe_path",
        "probes_per_s",
        "use_reports",
    ]);
    let default = LoadOptions::default();
    LoadOptions {
        choices: section.integer("choices", 1..=16, Some(default.choices)),
        half_life_share: section.number("half_life_share", 0.01..=100.0, default.half_life_share),
        use_reports: section.boolean("use_reports", default.use_reports),
        probes_per_s: section.number("probes_per_s", 0.0..=1_000.0, default.probes_per_s),
        probe_path: section.string_or("probe_path", default.probe_path.as_str()).as_str().into(),
        evidence_ms: section.integer("evidence_ms", 100..=60_000, Some(default.evidence_ms)),
    }
}

fn read_admission(section: &Section<'_, '_>) -> AdmissionOptions {
    section.reject_unknown_keys(&["queue_max", "queue_share", "routine_every", "wait_max_ms"]);
    let default = AdmissionOptions::default();
    AdmissionOptions {
        queue_share: section.number("queue_share", 0.0..=100.0, default.queue_share),
        queue_max: section.integer("queue_max", 0..=100_000, Some(default.queue_max)),
        wait_max_ms: section.integer("wait_max_ms", 0..=60_000, Some(default.wait_max_ms)),
        routine_every: section.integer("routine_every", 1..=100, Some(default.routine_every)),
    }
}

fn read_retry(section: &Section<'_, '_>) -> RetryOptions {
    section.reject_unknown_keys(&["attempts_max", "budget_share"]);
    let default = RetryOptions::default();
    RetryOptions {
        attempts_max: section.integer("attempts_max", 1..=10, Some(default.attempts_max)),
        budget_share: section.number("budget_share", 0.0..=1.0, default.budget_share),
    }
}

fn read_hedge(section: &Section<'_, '_>) -> HedgeOptions {
    section.reject_unknown_keys(&["after_factor", "budget_share", "slack_share"]);
    let default = HedgeOptions::default();
    HedgeOptions {
        budget_share: section.number("budget_share", 0.0..=1.0, default.budget_share),
        after_factor: section.number("after_factor", 1.0..=100.0, default.after_factor),
        slack_share: section.number("slack_share", 0.0..=1.0, default.slack_share),
    }
}

fn read_ejection(section: &Section<'_, '_>) -> EjectionOptions {
    section.reject_unknown_keys(&["base_ms", "failures", "share_max", "warm_up_ms"]);
    let default = EjectionOptions::default();
    EjectionOptions {
        failures: section.integer("failures", 1..=100, Some(default.failures)),
        base_ms: section.integer("base_ms", 1..=600_000, Some(default.base_ms)),
        share_max: section.number("share_max", 0.0..=1.0, default.share_max),
        warm_up_ms: section.integer("warm_up_ms", 0..=600_000, Some(default.warm_up_ms)),
    }
}
