//! The nodes, the store and the upstreams of a soak run.

use {
    crate::{
        evacuations::Evacuation,
        fault_history::FaultHistory,
        node::Node,
        plan::Plan,
        proxy::Link,
        upstreams::{Directory, ListedUpstream},
        users_platform::Store,
        versions::Versions,
    },
    std::{collections::BTreeMap, env, fs, net::Ipv4Addr, path::PathBuf, sync::Mutex, thread},
};

/// Nodes that are started concurrently.
const STARTS_AT_ONCE: usize = 8;

/// Everything that a run injects faults into.
///
/// Messages of other nodes reach the first [`Plan::proxied_nodes`] nodes through a proxy.
pub struct Fleet {
    pub nodes: Vec<Node>,
    pub versions: Versions,
    pub directory: Directory,
    /// Stalls of the machine that the tests run on.
    pub machine_stalls: FaultHistory,
    /// Evacuations that have been cancelled.
    pub completed_evacuations: Mutex<Vec<Evacuation>>,
    pub store: Store,
    counts: Mutex<BTreeMap<&'static str, usize>>,
}

impl Fleet {
    pub fn start(plan: &Plan) -> Self {
        let store = Store::start();
        let fleet = Self {
            nodes: (0..plan.nodes).map(|index| Self::new_node(index, plan, &store)).collect(),
            versions: Versions::new(store.clone(), plan.extra_routes),
            directory: Directory::new(store.clone(), plan),
            machine_stalls: FaultHistory::default(),
            completed_evacuations: Mutex::default(),
            counts: Mutex::default(),
            store,
        };
        (0..plan.upstreams).for_each(|_| fleet.directory.join());
        fleet.versions.publish();
        for nodes in fleet.nodes.chunks(STARTS_AT_ONCE) {
            thread::scope(|scope| nodes.iter().for_each(|node| _ = scope.spawn(|| fleet.boot(node))));
        }
        fleet.nodes.iter().for_each(Node::wait_until_ready);
        fleet
    }

    /// With a large configuration, every other node has a thin link to the store.
    fn new_node(index: usize, plan: &Plan, store: &Store) -> Node {
        let thin = plan.extra_routes > 0 && index.is_multiple_of(2);
        let link = if thin { Link::Thin } else { Link::Healthy };
        Node::new(store.address, link, index < plan.proxied_nodes)
    }

    /// Returns the addresses of all nodes, which a node uses to join the mesh.
    pub fn seeds(&self) -> Vec<Ipv4Addr> {
        self.nodes.iter().map(|node| node.ip).collect()
    }

    fn boot(&self, node: &Node) {
        node.boot(&self.seeds());
    }

    /// Counts a fault by its name.
    pub fn count(&self, name: &'static str) {
        *self.counts.lock().unwrap().entry(name).or_default() += 1;
    }

    pub fn counts(&self) -> BTreeMap<&'static str, usize> {
        self.counts.lock().unwrap().clone()
    }

    /// Returns all upstreams of the run, including those that left.
    pub fn upstreams(&self) -> Vec<ListedUpstream> {
        self.directory.all()
    }

    /// Copies the nodes' logs and what the upstreams did to a temporary folder for diagnosis; returns the folder.
    pub fn keep_logs(&self, seed: u64) -> PathBuf {
        let folder = env::temp_dir().join(format!("pointvane-soak-{}-{seed}", std::process::id()));
        _ = fs::create_dir_all(&folder);
        self.nodes.iter().for_each(|node| node.keep_logs(&folder));
        let upstreams = self.upstreams();
        let mut history: Vec<(u64, String)> =
            upstreams.iter().flat_map(|listed| listed.upstream.history.lock().unwrap().clone()).collect();
        history.sort();
        let lines: String = history.iter().map(|(at_ms, what)| format!("{at_ms} {what}\n")).collect();
        _ = fs::write(folder.join("upstreams.log"), lines);
        folder
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // The store's threads outlive the run; its data is released here.
        self.store.clear();
    }
}
