//! Open connections that stop delivering data without a reset, or close at the next request, while new
//! connections work.

#[path = "soak/proxy.rs"]
#[allow(dead_code)]
mod proxy;
mod users_platform;

use {
    googletest::prelude::*,
    proxy::Proxy,
    std::{thread, time::Duration},
    users_platform::{Log, NodeProcess, Store, Upstream, UpstreamBehaviour, eventually, unique_address},
};

const ROUTES: [(&str, &str, u64, &str); 2] =
    [("/safe/", "safe", 5_000, "app"), ("/unsafe/", "unsafe", 5_000, "app")];
/// Deadline of a request, in milliseconds.
const DEADLINE_MS: u64 = 2_000;
const UPSTREAMS: usize = 3;

/// A node that reaches its store and its upstreams through proxies.
struct Fixture {
    node: NodeProcess,
    store: Store,
    store_proxy: Proxy,
    upstreams: Vec<Upstream>,
    upstream_proxies: Vec<Proxy>,
}

impl Fixture {
    fn start() -> Self {
        let store = Store::start();
        store.configure(5, &ROUTES);
        let upstreams: Vec<Upstream> = (0..UPSTREAMS)
            .map(|number| Upstream::start(&format!("i-{number}"), UpstreamBehaviour::Normal))
            .collect();
        let upstream_proxies: Vec<Proxy> =
            upstreams.iter().map(|upstream| Proxy::start(upstream.address)).collect();
        for (upstream, proxy) in upstreams.iter().zip(&upstream_proxies) {
            store.list_at(upstream, proxy.address, "ready", 1);
        }
        let store_proxy = Proxy::start(store.address);
        let node = NodeProcess::start_at(unique_address(), store_proxy.address, &[], Log::File);
        node.wait_until_ready();
        Self { node, store, store_proxy, upstreams, upstream_proxies }
    }

    /// Sends requests and returns their statuses; 0 for one without a response.
    fn send(&self, round: &str, method: &str, path: &str, count: usize) -> Vec<u16> {
        let send = |number| {
            let id = format!("{round}-{method}-{number}");
            self.node.request(method, path, &id, DEADLINE_MS).map_or(0, |response| response.status())
        };
        (0..count).map(send).collect()
    }
}

#[gtest]
fn requests_are_served_although_all_idle_connections_to_upstreams_are_silent() {
    let fixture = Fixture::start();
    for round in 0..4 {
        let warm_up = fixture.send(&format!("warm-{round}"), "GET", "/safe/a", 12);
        expect_that!(warm_up, each(eq(&200)));
        // Load reports become stale, so that the next probes use the silent connections first.
        thread::sleep(Duration::from_millis(60));
        fixture.upstream_proxies.iter().for_each(Proxy::silence_open_connections);
        let runs_before: usize = fixture.upstreams.iter().map(Upstream::run_count).sum();
        let unsafe_requests = fixture.send(&format!("silent-{round}"), "POST", "/unsafe/a", 10);
        expect_that!(unsafe_requests, each(eq(&200)), "round {round}");
        let safe_requests = fixture.send(&format!("silent-{round}"), "GET", "/safe/a", 10);
        expect_that!(safe_requests, each(eq(&200)), "round {round}");
        // A hedge may run a safe request twice.
        let ran = fixture.upstreams.iter().map(Upstream::run_count).sum::<usize>() - runs_before;
        expect_that!(ran, all!(ge(20), le(30)));
    }
}

/// An upstream may close an idle connection just when a request arrives on it.
#[gtest]
fn requests_that_may_run_once_are_served_although_idle_connections_close_under_them() {
    let fixture = Fixture::start();
    for round in 0..4 {
        let warm_up = fixture.send(&format!("warm-{round}"), "GET", "/safe/a", 12);
        expect_that!(warm_up, each(eq(&200)));
        // The connections become idle for longer than one is for a request that may run once.
        thread::sleep(Duration::from_millis(60));
        fixture.upstream_proxies.iter().for_each(Proxy::forget_open_connections);
        let runs_before: usize = fixture.upstreams.iter().map(Upstream::run_count).sum();
        let unsafe_requests = fixture.send(&format!("closed-{round}"), "POST", "/unsafe/a", 10);
        expect_that!(unsafe_requests, each(eq(&200)), "round {round}");
        let ran = fixture.upstreams.iter().map(Upstream::run_count).sum::<usize>() - runs_before;
        expect_that!(ran, eq(10), "round {round}");
    }
}

#[gtest]
fn a_configuration_is_applied_although_the_connection_to_the_store_is_silent() {
    let fixture = Fixture::start();
    for version in 6..10 {
        let path = format!("/added-{version}/");
        fixture.store_proxy.silence_open_connections();
        fixture.store.configure(version, &[(path.as_str(), "safe", 5_000, "app")]);
        eventually(|| fixture.node.request("GET", &path, "id", DEADLINE_MS).is_ok_and(|a| a.status() == 200));
    }
}
