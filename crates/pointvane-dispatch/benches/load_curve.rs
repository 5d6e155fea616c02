//! Time that the load curve adds to a request, which is one recorded response and one admission check:
//! `cargo bench -p pointvane-dispatch --bench load_curve`.

use {
    criterion::{Criterion, criterion_group, criterion_main},
    pointvane_dispatch::LoadCurve,
    std::hint::black_box,
};

/// Time between two responses, in microseconds.
const RESPONSE_INTERVAL_US: u64 = 10_000;

fn response_and_admission(criterion: &mut Criterion) {
    for slots in [3, 6, 48] {
        let mut curve = LoadCurve::new(slots);
        let mut now_us = 0;
        criterion.bench_function(&format!("an answer and an admission, {slots} slots"), |bencher| {
            bencher.iter(|| {
                now_us += RESPONSE_INTERVAL_US;
                let occupancy = (now_us / RESPONSE_INTERVAL_US % u64::from(slots) + 1) as f32 / slots as f32;
                curve.record(black_box(occupancy), black_box(1.2), now_us);
                black_box(curve.admits(black_box(occupancy)))
            });
        });
    }
}

criterion_group!(benches, response_and_admission);
criterion_main!(benches);
