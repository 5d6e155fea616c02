//! Configuration of a service with identical upstreams.

use pointvane_config::{
    AdmissionOptions, EjectionOptions, HedgeOptions, LoadOptions, Policy, RetryOptions, Route, Service,
    Upstream,
};

/// Slots of each upstream.
pub const SLOTS: u16 = 6;

pub fn service(upstreams: usize) -> Service {
    let upstream = |index| Upstream {
        name: format!("u{index}").as_str().into(),
        data_centre: "dc-1".into(),
        address: format!("10.0.0.{}:80", index + 1).parse().unwrap(),
        slots: SLOTS,
        evacuated: false,
    };
    Service {
        name: "dispatch".into(),
        route: Route { hosts: Vec::new(), path_prefix: "/dispatch".into() },
        policy: Policy::Shared,
        deadline_ms: 10_000,
        home_vms: 0,
        upstreams: (0..upstreams).map(upstream).collect(),
        load: LoadOptions::default(),
        admission: AdmissionOptions::default(),
        retry: RetryOptions::default(),
        hedge: HedgeOptions::default(),
        ejection: EjectionOptions::default(),
    }
}
