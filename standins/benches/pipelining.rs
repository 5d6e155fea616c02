//! Time until a node has responded to four pipelined requests, with upstreams that take 50 ms for each:
//! `cargo build --release --workspace && cargo bench -p pointvane-standins`.
//!
//! Safe requests are forwarded in parallel (median 56 ms), unsafe ones one after another (median 227 ms). The
//! second case also shows what all requests of a connection would take without parallel forwarding.

#[path = "../tests/users_platform/mod.rs"]
mod users_platform;

use {
    criterion::{Criterion, criterion_group, criterion_main},
    std::{
        io::{BufReader, Write},
        net::TcpStream,
    },
    users_platform::{NodeProcess, Store, Upstream, UpstreamBehaviour, read_message, request_head},
};

const PIPELINE_DEPTH: usize = 4;
const WORK_MS: u64 = 50;
const ROUTES: [(&str, &str, u64, &str); 2] =
    [("/safe/", "safe", 5_000, "app"), ("/unsafe/", "unsafe", 5_000, "app")];

fn pipelined_requests(criterion: &mut Criterion) {
    let store = Store::start();
    let upstreams: Vec<Upstream> = (0..PIPELINE_DEPTH)
        .map(|number| Upstream::start(&format!("i-{number}"), UpstreamBehaviour::Delayed(WORK_MS)))
        .collect();
    store.configure(5, &ROUTES);
    upstreams.iter().for_each(|upstream| store.list(upstream, "ready", 1));
    let node = NodeProcess::start(&store);
    node.wait_until_ready();
    let mut group = criterion.benchmark_group("a row of four requests of 50 ms");
    group.sample_size(10);
    for (name, path) in [("forwarded side by side", "/safe/a"), ("one after another", "/unsafe/a")] {
        let mut stream = TcpStream::connect(node.traffic_address()).unwrap();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let heads: String =
            (0..PIPELINE_DEPTH).map(|number| request_head("GET", path, &number.to_string(), 5_000)).collect();
        group.bench_function(name, |bencher| {
            bencher.iter(|| {
                stream.write_all(heads.as_bytes()).unwrap();
                for _ in 0..PIPELINE_DEPTH {
                    assert_eq!(read_message(&mut reader).unwrap().status(), 200);
                }
            });
        });
    }
    group.finish();
}

criterion_group!(benches, pipelined_requests);
criterion_main!(benches);
