//! Cuts nodes off from all upstreams, while callers, the store and the other nodes still reach them.

use {
    crate::{fleet::Fleet, node::Node, proxy::Partition},
    rand::{Rng, rngs::SmallRng, seq::IndexedRandom},
    std::{thread, time::Duration},
};

/// Partitions per run.
const COUNT: usize = 5;
/// Duration of a partition, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 400..4_000;
/// Longest pause between two partitions, in milliseconds.
const INTERVAL_MAX_MS: u64 = 1_200;
const PARTITIONS: [Partition; 4] =
    [Partition::Silent, Partition::SilentToClient, Partition::Reset, Partition::RejectNew];

/// Cuts off one random set of nodes after another, from none of the others up to all.
pub fn run(fleet: &Fleet, rng: &mut SmallRng) {
    for _ in 0..COUNT {
        thread::sleep(Duration::from_millis(rng.random_range(0..INTERVAL_MAX_MS)));
        fleet.count("partition");
        let count = rng.random_range(1..=fleet.nodes.len());
        let nodes: Vec<&Node> = fleet.nodes.choose_multiple(rng, count).collect();
        let partition = *PARTITIONS.choose(rng).unwrap();
        let time = Duration::from_millis(rng.random_range(DURATION_MS));
        cut_off(fleet, &nodes, partition, time);
    }
}

fn cut_off(fleet: &Fleet, nodes: &[&Node], partition: Partition, time: Duration) {
    let upstreams = fleet.upstreams();
    let _faults: Vec<_> = upstreams.iter().map(|listed| listed.faults.begin_fault()).collect();
    let links = || upstreams.iter().filter_map(|listed| listed.link.as_ref());
    for node in nodes {
        links().for_each(|link| link.partition(node.ip.into(), partition));
    }
    thread::sleep(time);
    for node in nodes {
        links().for_each(|link| link.heal(node.ip.into()));
    }
}
