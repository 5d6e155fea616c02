//! Median and 99th percentile of the time to rank the upstreams of a service for one request, and the
//! allocations: `cargo bench -p pointvane-dispatch --bench candidate_quantiles`. Calls are timed one by one,
//! including the cost of reading the clock.

use {
    pointvane_core::UpstreamRecord,
    pointvane_dispatch::{
        AllowedRegions, Pool, RankingOptions, Search, SearchGoal, SearchOptions, SearchRequest, SearchStep,
    },
    std::{hint::black_box, time::Instant},
};

/// Numbers of upstreams of a service: medium, large, and the most that a node has to support.
const SIZES: [usize; 3] = [271, 1_080, 10_000];
const CALLS: usize = 100_000;
const NOW_US: u64 = 10_000_000;

fn record(number: usize) -> UpstreamRecord {
    UpstreamRecord {
        born_ms: None,
        id: format!("i-{number}").as_str().into(),
        service: "dispatch".into(),
        address: ([10, 0, (number / 250) as u8, (number % 250) as u8], 80).into(),
        data_centre: ["one", "two", "three"][number % 3].into(),
        slots: 4,
        draining: false,
        warm_up_left_ms: 0,
        sequence: 1,
    }
}

/// Begins a search, which ranks the candidates.
fn first_step(pool: &mut Pool) -> SearchStep {
    let options = SearchOptions { probes: true, first_round: 2, second_round: 4 };
    let request = SearchRequest {
        service: "dispatch".into(),
        tried: Vec::new(),
        body_bytes: 300,
        goal: SearchGoal::UncontendedOnly,
        regions: AllowedRegions::ANY,
        priority: 0,
    };
    Search::new(options, request).next(pool, black_box(NOW_US))
}

fn main() {
    for size in SIZES {
        let mut pool = Pool::new(RankingOptions::default(), "one".into(), 1);
        (0..size).for_each(|number| _ = pool.upsert(record(number), 0));
        let mut rank = || black_box(first_step(&mut pool));
        let mut times_ns: Vec<u128> = (0..CALLS)
            .map(|_| {
                let started = Instant::now();
                rank();
                started.elapsed().as_nanos()
            })
            .collect();
        times_ns.sort_unstable();
        let percentile = |percent: usize| times_ns[CALLS * percent / 100];
        let allocations = allocation_counter::measure(|| _ = rank());
        println!(
            "{size} upstreams: p50 {} ns, p99 {} ns, {} allocations, {} bytes",
            percentile(50),
            percentile(99),
            allocations.count_total,
            allocations.bytes_total
        );
    }
}
