//! A fleet of node processes, some of which can be cut off from all upstreams, and callers of every node.
#![allow(dead_code)]

use {
    crate::{
        proxy::{Partition, Proxy},
        users_platform::{Log, NodeProcess, Store, Upstream, UpstreamBehaviour, eventually, unique_address},
    },
    std::{
        net::Ipv4Addr,
        sync::{
            Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Routes of the configuration.
pub const ROUTES: [(&str, &str, u64, &str); 2] =
    [("/safe/", "safe", 2_000, "app"), ("/unsafe/", "unsafe", 2_000, "app")];
/// Time that an upstream takes for a request, in milliseconds.
const SERVICE_MS: u64 = 20;
const DEADLINES_MS: [u64; 2] = [600, 1_500];
const CALLERS_PER_NODE: usize = 8;
const CALLER_PAUSE: Duration = Duration::from_millis(30);

/// A first try of a caller.
pub struct FirstTry {
    pub node: usize,
    pub id: String,
    pub is_safe: bool,
    pub sent_at: Instant,
    pub took: Duration,
    /// 0 without a response.
    pub status: u16,
}

/// Nodes and upstreams, with a proxy before each upstream.
pub struct Fleet {
    pub nodes: Vec<NodeProcess>,
    pub upstreams: Vec<Upstream>,
    proxies: Vec<Proxy>,
    pub store: Store,
}

impl Fleet {
    /// Starts nodes that know each other, all of which reach all upstreams.
    pub fn start(nodes: usize, upstreams: usize) -> Self {
        let store = Store::start();
        store.configure(5, &ROUTES);
        let upstreams: Vec<Upstream> = (0..upstreams)
            .map(|number| Upstream::start(&format!("i-{number}"), UpstreamBehaviour::Delayed(SERVICE_MS)))
            .collect();
        let proxies: Vec<Proxy> = upstreams.iter().map(|upstream| Proxy::start(upstream.address)).collect();
        for (upstream, proxy) in upstreams.iter().zip(&proxies) {
            store.list_at(upstream, proxy.address, "ready", 1);
        }
        let addresses: Vec<Ipv4Addr> = (0..nodes).map(|_| unique_address()).collect();
        let start = |ip: &Ipv4Addr| NodeProcess::start_at(*ip, store.address, &addresses[..1], Log::File);
        let nodes: Vec<NodeProcess> = addresses.iter().map(start).collect();
        nodes.iter().for_each(NodeProcess::wait_until_ready);
        // All nodes know each other.
        for node in &nodes {
            eventually(|| addresses.iter().all(|ip| node.directory().contains(&format!("\"{ip}:"))));
        }
        Self { nodes, upstreams, proxies, store }
    }

    /// Cuts the first `nodes` nodes off from all upstreams.
    pub fn partition(&self, nodes: usize, partition: Partition) {
        for node in &self.nodes[..nodes] {
            self.proxies.iter().for_each(|proxy| proxy.partition(node.ip.into(), partition));
        }
    }

    /// Cuts the first node off from all upstreams but the last one.
    pub fn partition_from_all_but_one(&self, partition: Partition) {
        let proxies = &self.proxies[..self.proxies.len() - 1];
        proxies.iter().for_each(|proxy| proxy.partition(self.nodes[0].ip.into(), partition));
    }

    /// Sets the time that each upstream takes to accept a connection, one after another.
    pub fn set_accept_time(&self, time: Duration) {
        self.proxies.iter().for_each(|proxy| proxy.set_accept_time(time));
    }

    /// Ends all partitions. Connections that have lost bytes stay silent.
    pub fn heal(&self) {
        for node in &self.nodes {
            self.proxies.iter().for_each(|proxy| proxy.heal(node.ip.into()));
        }
    }

    /// Runs `action` while callers send requests to all nodes; returns their first tries.
    pub fn with_callers(&self, action: impl FnOnce()) -> Vec<FirstTry> {
        let (stop, tries) = (AtomicBool::new(false), Mutex::new(Vec::new()));
        thread::scope(|scope| {
            for node in 0..self.nodes.len() {
                for caller in 0..CALLERS_PER_NODE {
                    let (stop, tries) = (&stop, &tries);
                    scope.spawn(move || {
                        let mut number = 0;
                        while !stop.load(Ordering::SeqCst) {
                            let one = self.first_try(node, caller, number);
                            tries.lock().unwrap().push(one);
                            number += 1;
                            thread::sleep(CALLER_PAUSE);
                        }
                    });
                }
            }
            action();
            stop.store(true, Ordering::SeqCst);
        });
        tries.into_inner().unwrap()
    }

    fn first_try(&self, node: usize, caller: usize, number: usize) -> FirstTry {
        let is_safe = caller.is_multiple_of(2);
        let (method, path) = if is_safe { ("GET", "/safe/a") } else { ("POST", "/unsafe/a") };
        let id = format!("{node}-{caller}-{number}");
        let sent_at = Instant::now();
        let deadline_ms = DEADLINES_MS[number % DEADLINES_MS.len()];
        let answer = self.nodes[node].request(method, path, &id, deadline_ms);
        let took = sent_at.elapsed();
        // The caller has left at its deadline.
        let in_time = took <= Duration::from_millis(deadline_ms);
        let status = answer.ok().filter(|_| in_time).map_or(0, |answer| answer.status());
        FirstTry { node, id, is_safe, sent_at, took, status }
    }

    /// Ids of the requests that upstreams ran.
    pub fn runs(&self) -> Vec<String> {
        self.upstreams.iter().flat_map(|upstream| upstream.executed_ids.lock().unwrap().clone()).collect()
    }
}
