//! Cost of the quarantine check per request: `cargo bench -p pointvane-dispatch --bench quarantine`.
//!
//! Medians on a loaded machine: 2.7 ns while no request is tracked, 0.22 us while 512 others are tracked,
//! 0.37 us for a refused request. Both fingerprints of a request: 0.40 us without a body, 1.3 us with 1,200
//! bytes, 12 us with 16 KB.

use {
    criterion::{BenchmarkId, Criterion, criterion_group, criterion_main},
    pointvane_dispatch::{
        BodyFingerprint, HeadFingerprint, Quarantine, QuarantineOptions, QueryScope, RequestFingerprint,
        TrialPosition,
    },
    std::hint::black_box,
};

const S: u64 = 1_000_000;
const TRIAL_POSITION: TrialPosition = TrialPosition { position: 0.5, nodes: 18 };
/// Body sizes in bytes: none, a typical small request, and the longest prefix that a fingerprint covers.
const BODY_BYTES: [usize; 3] = [0, 1_200, 16 << 10];

fn head(target: &str) -> HeadFingerprint {
    HeadFingerprint::new("GET", "app.example", target, None)
}

fn request(target: &str) -> RequestFingerprint {
    head(target).with_query_and_body(QueryScope::Any, BodyFingerprint::new(b"", Some(0)))
}

/// A node with a full table, of which one request is quarantined.
fn full_quarantine() -> Quarantine {
    let mut node = Quarantine::new(QuarantineOptions::default(), 1, 0);
    for number in 0..511 {
        node.record_crash(request(&format!("/{number}")), number * S, number * S + S / 10);
    }
    node.record_crash(request("/guilty"), 0, S);
    node.record_crash(request("/guilty"), 2 * S, 600 * S);
    node
}

fn request_cost(criterion: &mut Criterion) {
    let none = Quarantine::new(QuarantineOptions::default(), 1, 0);
    criterion.bench_function("nothing is known of any request", |bencher| {
        bencher.iter(|| black_box(&none).tracks_head(|| head(black_box("/orders/1f5c2f"))));
    });
    let full_quarantine = full_quarantine();
    criterion.bench_function("512 others are known", |bencher| {
        bencher.iter(|| black_box(&full_quarantine).tracks_head(|| head(black_box("/orders/1f5c2f"))));
    });
    criterion.bench_function("refused", |bencher| {
        bencher.iter(|| {
            black_box(&full_quarantine).refuses(&request(black_box("/guilty")), &TRIAL_POSITION, 601 * S)
        });
    });
    for bytes in BODY_BYTES {
        let body = vec![7; bytes];
        criterion.bench_with_input(
            BenchmarkId::new("both fingerprints, body of bytes", bytes),
            &body,
            |bencher, body| {
                bencher.iter(|| {
                    let head = head(black_box("/orders/1f5c2f"));
                    let body = BodyFingerprint::new(body, Some(body.len() as u64));
                    let exact = head.with_query_and_body(QueryScope::Exact(Some("page=1")), body);
                    (exact, head.with_query_and_body(QueryScope::Any, body))
                });
            },
        );
    }
}

criterion_group!(benches, request_cost);
criterion_main!(benches);
