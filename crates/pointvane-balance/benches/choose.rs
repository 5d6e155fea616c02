//! Time to start and finish one request with 36 and 600 upstreams: `cargo bench -p pointvane-balance`.

use {
    criterion::{Criterion, criterion_group, criterion_main},
    pointvane_balance::{Arrival, AttemptOutcome, AttemptResult, Decision, ServiceBalancer},
    pointvane_config::{
        AdmissionOptions, EjectionOptions, FleetLimits, HedgeOptions, LoadOptions, Policy, RetryOptions,
        Route, Service, Upstream,
    },
    pointvane_core::{Class, LoadReport},
    std::hint::black_box,
};

const NOW_US: u64 = 1_000_000_000;

fn service(policy: Policy, upstreams: u16) -> Service {
    let upstream = |index: u16| Upstream {
        name: format!("u{index}").as_str().into(),
        data_centre: "dc-1".into(),
        address: ([10, 0, (index >> 8) as u8, index as u8], 80).into(),
        evacuated: false,
        slots: 6,
    };
    Service {
        name: "dispatch".into(),
        route: Route { hosts: Vec::new(), path_prefix: "/dispatch".into() },
        policy,
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

fn choose(criterion: &mut Criterion) {
    for policy in [Policy::Shared, Policy::LocalTwoChoices, Policy::LocalLeast] {
        for upstreams in [36, 600] {
            let service = service(policy, upstreams);
            let mut balancer = ServiceBalancer::new(&service, &FleetLimits::default(), 1, NOW_US);
            for index in 0..usize::from(upstreams) {
                balancer.record_report(
                    index,
                    LoadReport { in_flight: 3, draining: false, ..LoadReport::default() },
                    NOW_US,
                );
            }
            let arrival = Arrival { class: Class::Routine, deadline_us: NOW_US + 1_000_000 };
            criterion.bench_function(&format!("{policy:?} among {upstreams}"), |bencher| {
                bencher.iter(|| {
                    let Decision::Start { upstream, .. } = balancer.arrive(black_box(arrival), 1_u32, NOW_US)
                    else {
                        panic!("not started")
                    };
                    let end = AttemptOutcome::Answered;
                    balancer.finish_attempt(
                        &AttemptResult { upstream, end, latency_us: 15_000, report: None },
                        NOW_US,
                    );
                });
            });
        }
    }
}

criterion_group!(benches, choose);
criterion_main!(benches);
