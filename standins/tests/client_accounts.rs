//! Client accounts on node processes: API keys, the account name forwarded to upstreams, and quotas.

mod users_platform;

use {
    googletest::prelude::*,
    std::{thread, time::Duration},
    users_platform::{
        Account, ConfigurationOptions, HOST, Message, NodeProcess, Store, Upstream, UpstreamBehaviour, call,
        eventually,
    },
};

const ROUTES: [(&str, &str, u64, &str); 2] =
    [("/safe/", "safe", 5_000, "app"), ("/load/", "download", 5_000, "app")];
/// Target latency high enough that no request is late on a slow machine.
const TARGET_MS: u64 = 5_000;

fn terms_with(accounts: Vec<Account>) -> ConfigurationOptions {
    ConfigurationOptions {
        target_latency_ms: TARGET_MS,
        accounts: Some(accounts),
        ..ConfigurationOptions::default()
    }
}

fn board_account() -> Account {
    Account { name: "board", keys: vec!["key-1", "key-2"], ..Account::default() }
}

/// Starts a ready node with client accounts and one upstream.
fn start_with_accounts(accounts: Vec<Account>) -> (NodeProcess, Store, Upstream) {
    let store = Store::start();
    let upstream = Upstream::start("i-0", UpstreamBehaviour::Normal);
    store.configure_with(5, &ROUTES, &terms_with(accounts));
    store.list(&upstream, "ready", 1);
    let node = NodeProcess::start(&store);
    node.wait_until_ready();
    (node, store, upstream)
}

/// Sends a request with additional header lines.
fn request(node: &NodeProcess, path: &str, id: &str, headers: &str) -> Message {
    let head = format!(
        "GET {path} HTTP/1.1\r\nhost: {HOST}\r\npointvane-request-id: {id}\r\npointvane-deadline-ms: 4000\r\n{headers}\r\n"
    );
    call(node.traffic_address(), &head).unwrap()
}

fn request_with_key(node: &NodeProcess, id: &str, key: &str) -> Message {
    request(node, "/safe/a", id, &format!("authorization: Bearer {key}\r\n"))
}

#[gtest]
fn a_request_without_a_known_key_is_refused_and_reaches_no_upstream() {
    let (node, _store, upstream) = start_with_accounts(vec![board_account()]);
    expect_that!(request(&node, "/safe/a", "1", "").status(), eq(401));
    expect_that!(request_with_key(&node, "2", "key-3").status(), eq(401));
    expect_that!(request(&node, "/safe/a", "3", "authorization: Basic key-1\r\n").status(), eq(401));
    let twice = "authorization: Bearer key-1\r\nauthorization: Bearer key-3\r\n";
    expect_that!(request(&node, "/safe/a", "4", twice).status(), eq(401));
    expect_that!(request(&node, "/safe/a", "5", "pointvane-tenant: board\r\n").status(), eq(401));
    expect_that!(upstream.run_count(), eq(0));
    let response = request_with_key(&node, "6", "key-2");
    expect_that!(response.status(), eq(200));
}

#[gtest]
fn an_upstream_gets_the_accounts_name_in_place_of_its_key_whatever_the_caller_says() {
    let (node, _store, upstream) = start_with_accounts(vec![board_account()]);
    let headers = "Authorization: bearer  key-1\r\nPointvane-Tenant: other\r\nPOINTVANE-TENANT: third\r\nPointvane_Tenant: fourth\r\n";
    expect_that!(request(&node, "/safe/a", "1", headers).status(), eq(200));
    let last = upstream.last.lock().unwrap().clone();
    let named: Vec<_> = last.headers.iter().filter(|(name, _)| name.contains("tenant")).collect();
    expect_that!(named, elements_are![eq(&&("pointvane-tenant".to_owned(), "board".to_owned()))]);
    expect_that!(last.header("authorization"), none());
}

#[gtest]
fn without_accounts_a_caller_needs_no_key_and_cannot_claim_an_account() {
    let store = Store::start();
    let upstream = Upstream::start("i-0", UpstreamBehaviour::Normal);
    store.configure_with(
        5,
        &ROUTES,
        &ConfigurationOptions { target_latency_ms: TARGET_MS, ..ConfigurationOptions::default() },
    );
    store.list(&upstream, "ready", 1);
    let node = NodeProcess::start(&store);
    node.wait_until_ready();
    let headers = "authorization: Bearer own\r\npointvane-tenant: board\r\n";
    expect_that!(request(&node, "/safe/a", "1", headers).status(), eq(200));
    let last = upstream.last.lock().unwrap().clone();
    expect_that!(
        last.header("authorization"),
        some(eq("Bearer own")),
        "without accounts the header belongs to the upstream"
    );
    expect_that!(last.header("pointvane-tenant"), none());
}

#[gtest]
fn revoked_keys_are_refused_and_new_keys_accepted_however_a_node_learns_of_them() {
    let (node, store, _upstream) = start_with_accounts(vec![board_account()]);
    let peer = NodeProcess::start_in(&store, &[node.ip]);
    peer.wait_until_ready();
    expect_that!(request_with_key(&peer, "1", "key-1").status(), eq(200));
    let changed = Account { keys: vec!["key-2", "key-4"], ..board_account() };
    store.configure_with(6, &ROUTES, &terms_with(vec![changed]));
    for (number, node) in [&node, &peer].into_iter().enumerate() {
        eventually(|| request_with_key(node, &format!("a{number}"), "key-1").status() == 401);
        expect_that!(request_with_key(node, &format!("b{number}"), "key-4").status(), eq(200));
        expect_that!(request_with_key(node, &format!("c{number}"), "key-2").status(), eq(200));
    }
    let late = NodeProcess::start_in(&store, &[node.ip]);
    late.wait_until_ready();
    expect_that!(request_with_key(&late, "2", "key-1").status(), eq(401));
}

/// The rate is close to zero, so that only the burst is served however fast the machine is.
#[gtest]
fn an_account_over_its_quota_gets_retry_after_and_others_are_served() {
    let small = Account { rate_per_s: 0.1, burst: 10, ..board_account() };
    let other = Account { name: "yard", keys: vec!["key-9"], ..Account::default() };
    let (node, _store, upstream) = start_with_accounts(vec![small, other]);
    let mut refused = 0;
    for number in 0..120 {
        let response = request_with_key(&node, &format!("r-{number}"), "key-1");
        if response.status() == 429 {
            refused += 1;
            let retry_after_s: f64 = response.header("retry-after").unwrap().parse().unwrap();
            expect_that!(retry_after_s, all!(ge(0.05), le(5.0)));
        }
        thread::sleep(Duration::from_millis(10));
    }
    // 10.5 in a window, a quarter more, and 20; the loop takes less than a window.
    expect_that!(upstream.run_count(), le(33));
    expect_that!(refused, ge(80));
    expect_that!(request_with_key(&node, "other", "key-9").status(), eq(200));
    expect_that!(node.log_lines(), contains_substring("quota-exceeded"));
}

#[gtest]
fn no_key_is_logged() {
    let (node, _store, _upstream) = start_with_accounts(vec![board_account()]);
    expect_that!(request_with_key(&node, "1", "key-1").status(), eq(200));
    expect_that!(request_with_key(&node, "2", "key-77").status(), eq(401));
    expect_that!(node.log_lines(), not(contains_substring("key-")));
}

#[gtest]
fn a_download_whose_response_is_lost_is_retried_at_another_upstream() {
    let store = Store::start();
    let upstreams = [
        Upstream::start("i-0", UpstreamBehaviour::LoseResponse),
        Upstream::start("i-1", UpstreamBehaviour::Normal),
    ];
    store.configure_with(
        5,
        &ROUTES,
        &ConfigurationOptions { target_latency_ms: TARGET_MS, ..ConfigurationOptions::default() },
    );
    upstreams.iter().for_each(|upstream| store.list(upstream, "ready", 1));
    let node = NodeProcess::start(&store);
    node.wait_until_ready();
    // Fills the retry budget.
    (0..60).for_each(|number| _ = request(&node, "/load/a", &format!("{number}"), ""));
    let succeeded =
        (0..20).filter(|number| request(&node, "/load/a", &format!("r-{number}"), "").status() == 200);
    expect_that!(succeeded.count(), ge(18));
}

#[gtest]
fn a_route_of_an_unknown_kind_is_tried_once_at_most_and_affects_no_other_route() {
    let store = Store::start();
    let upstreams = [
        Upstream::start("i-0", UpstreamBehaviour::LoseResponse),
        Upstream::start("i-1", UpstreamBehaviour::LoseResponse),
    ];
    let routes = [("/safe/", "safe", 5_000, "app"), ("/new/", "teleport", 5_000, "app")];
    store.configure_with(
        5,
        &routes,
        &ConfigurationOptions { target_latency_ms: TARGET_MS, ..ConfigurationOptions::default() },
    );
    upstreams.iter().for_each(|upstream| store.list(upstream, "ready", 1));
    let node = NodeProcess::start(&store);
    node.wait_until_ready();
    expect_that!(request(&node, "/new/a", "1", "").status(), eq(502));
    expect_that!(upstreams.iter().map(Upstream::run_count).sum::<usize>(), eq(1));
    upstreams.iter().for_each(|upstream| upstream.set_behaviour(UpstreamBehaviour::Normal));
    expect_that!(request(&node, "/safe/a", "2", "").status(), eq(200));
    expect_that!(node.log_lines(), contains_substring("teleport"));
}

#[gtest]
fn a_node_without_a_valid_configuration_logs_it_and_is_not_ready() {
    let store = Store::start();
    let upstream = Upstream::start("i-0", UpstreamBehaviour::Normal);
    store.put("op/config", r#"{"version":"0000000c","routes":"none"}"#);
    store.list(&upstream, "ready", 1);
    let node = NodeProcess::start(&store);
    eventually(|| node.log_lines().contains("configuration-refused"));
    expect_that!(node.ready(), eq(503));
    store.configure_with(
        13,
        &ROUTES,
        &ConfigurationOptions { target_latency_ms: TARGET_MS, ..ConfigurationOptions::default() },
    );
    node.wait_until_ready();
    expect_that!(request(&node, "/safe/a", "1", "").status(), eq(200));
}
