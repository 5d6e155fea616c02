//! Checks the names and labels of all metrics and the fields of `/status` against golden files.

mod common;
mod users_platform;

use {
    common::{deploy, key_prefix, request},
    googletest::prelude::*,
    pointvane_standins::deployment::{Program, wait_until},
    serde_json::Value,
    std::{collections::BTreeSet, net::SocketAddr},
    users_platform::{NodeProcess, Store, Upstream, UpstreamBehaviour, call, eventually},
};

const NODE_GOLDEN: &str = include_str!("golden/node_operator_port.txt");
const PROGRAMS_GOLDEN: &str = include_str!("golden/programs_operator_ports.txt");
const NODE_OPERATOR_PORT: u16 = 9_464;

fn get(address: SocketAddr, path: &str) -> String {
    let head = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    String::from_utf8(call(address, &head).unwrap().body).unwrap()
}

/// Lists the names of the metrics, each with the names of its labels.
fn metrics(text: &str) -> BTreeSet<String> {
    let samples = text.lines().filter(|line| line.starts_with("pointvane"));
    samples
        .map(|line| {
            let (name, labels) = line.split_once('{').unwrap_or((line.split(' ').next().unwrap(), ""));
            let labels =
                labels.split('}').next().unwrap().split("\",").filter_map(|label| label.split_once('='));
            let labels: Vec<&str> = labels.map(|(label, _)| label).collect();
            format!("metric {name} {}", labels.join(" "))
        })
        .collect()
}

/// Collects the paths of all fields with the types of their values.
fn fields(path: &str, value: &Value, found: &mut BTreeSet<String>) {
    match value {
        Value::Object(object) => {
            object.iter().for_each(|(name, value)| fields(&format!("{path}.{name}"), value, found));
        }
        Value::Array(values) => values.iter().for_each(|value| fields(&format!("{path}[]"), value, found)),
        Value::Null => _ = found.insert(format!("{path} null")),
        Value::Bool(_) => _ = found.insert(format!("{path} bool")),
        Value::Number(_) => _ = found.insert(format!("{path} number")),
        Value::String(_) => _ = found.insert(format!("{path} string")),
    }
}

/// Lists the metrics and status fields that an operator port exposes, one per line.
fn exposed(program: &str, address: SocketAddr) -> String {
    let mut found = metrics(&get(address, "/metrics"));
    fields("status", &serde_json::from_str(&get(address, "/status")).unwrap(), &mut found);
    found.into_iter().map(|line| format!("{program} {line}\n")).collect()
}

#[gtest]
fn metrics_and_status_fields_of_a_node_are_unchanged() {
    let store = Store::start();
    let upstreams = [
        Upstream::start("i-0", UpstreamBehaviour::Normal),
        Upstream::start("i-1", UpstreamBehaviour::Normal),
    ];
    store.configure(5, &[("/safe/", "safe", 5_000, "app")]);
    upstreams.iter().for_each(|upstream| store.list(upstream, "ready", 1));
    let first = NodeProcess::start(&store);
    let node = NodeProcess::start_in(&store, &[first.ip]);
    node.wait_until_ready();
    node.request("GET", "/none/", "none", 5_000).unwrap();
    let send_requests =
        || (0..40).for_each(|number| _ = node.request("GET", "/safe/a", &format!("{number}"), 5_000));
    // Fills the retry budget, then causes retries.
    send_requests();
    upstreams[0].set_behaviour(UpstreamBehaviour::LoseResponse);
    let address = SocketAddr::from((node.ip, NODE_OPERATOR_PORT));
    eventually(|| {
        send_requests();
        let text = get(address, "/metrics");
        ["repeats", "peer_questions", "refusals", "probes"].iter().all(|name| text.contains(name))
    });
    compare(&exposed("node", address), NODE_GOLDEN);
}

#[gtest]
fn a_node_counts_invalid_store_entries() {
    let store = Store::start();
    store.put("servers/i-of-another-writer", "rubbish");
    store.configure(5, &[("/safe/", "safe", 5_000, "app")]);
    let node = NodeProcess::start(&store);
    node.wait_until_ready();
    let text = get(SocketAddr::from((node.ip, NODE_OPERATOR_PORT)), "/metrics");
    let counted = text.lines().find(|line| line.starts_with("pointvane_node_items_refused_total")).unwrap();
    expect_that!(counted, contains_substring(r#"reason="form""#));
}

/// Compares with a golden list, in which `?` marks entries that appear only in some runs.
fn compare(exposed: &str, golden: &str) {
    let exposed: BTreeSet<&str> = exposed.lines().collect();
    let known: BTreeSet<&str> = golden.lines().map(|line| line.trim_start_matches('?')).collect();
    let required: BTreeSet<&str> = golden.lines().filter(|line| !line.starts_with('?')).collect();
    expect_that!(exposed.difference(&known).collect::<Vec<_>>(), is_empty());
    expect_that!(required.difference(&exposed).collect::<Vec<_>>(), is_empty());
}

#[gtest]
fn metrics_and_status_fields_of_the_three_programs_are_unchanged() {
    let mut deployment = deploy(2, 2, "");
    let entry = deployment.vms[0].entry();
    for number in 0..30 {
        let key = format!("{}{number}", key_prefix(&deployment, 0));
        let headers = [("idempotency-key", key.as_str()), ("pointvane-class", "urgent")];
        common::call(entry, &request("POST", "/dispatch/a", &headers, "x"));
    }
    common::call(entry, &request("GET", "/nowhere", &[], ""));
    deployment.publish().unwrap();
    let port = |program| deployment.vms[0].operator(program);
    let all_present = || {
        let text = get(port(Program::Entry), "/metrics") + &get(port(Program::Control), "/metrics");
        ["load_sent_bytes", "gossip_sent", "platform_reads"].iter().all(|name| text.contains(name))
    };
    wait_until("metrics", all_present).unwrap();
    let programs = [("entry", Program::Entry), ("control", Program::Control), ("locate", Program::Locate)];
    let all: String = programs.iter().map(|(name, program)| exposed(name, port(*program))).collect();
    compare(&all, PROGRAMS_GOLDEN);
}
