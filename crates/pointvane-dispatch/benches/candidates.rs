//! Time to rank the upstreams of a service for one request: `cargo bench -p pointvane-dispatch --bench
//! candidates`.

use {
    criterion::{Criterion, criterion_group, criterion_main},
    pointvane_core::UpstreamRecord,
    pointvane_dispatch::{AllowedRegions, CandidateCriteria, Pool, RankingOptions},
    std::hint::black_box,
};

/// Numbers of upstreams of a service: medium and large.
const SIZES: [usize; 2] = [271, 1_080];
const DATA_CENTRES: [&str; 3] = ["one", "two", "three"];
const NOW_US: u64 = 10_000_000;

fn record(number: usize) -> UpstreamRecord {
    UpstreamRecord {
        born_ms: None,
        id: format!("i-{number}").as_str().into(),
        service: "dispatch".into(),
        address: ([10, 0, (number / 250) as u8, (number % 250) as u8], 80).into(),
        data_centre: DATA_CENTRES[number % DATA_CENTRES.len()].into(),
        slots: 4,
        draining: false,
        warm_up_left_ms: 0,
        sequence: 1,
    }
}

fn candidates(criterion: &mut Criterion) {
    for size in SIZES {
        let mut pool = Pool::new(RankingOptions::default(), DATA_CENTRES[0].into(), 1);
        (0..size).for_each(|number| _ = pool.upsert(record(number), 0));
        let criteria = CandidateCriteria {
            priority: 0,
            tried: &[],
            body_bytes: 300,
            count: 6,
            regions: &AllowedRegions::ANY,
        };
        criterion.bench_function(&format!("candidates of {size} upstreams"), |bencher| {
            bencher.iter(|| black_box(pool.candidates(&"dispatch".into(), &criteria, black_box(NOW_US))));
        });
    }
}

criterion_group!(benches, candidates);
criterion_main!(benches);
