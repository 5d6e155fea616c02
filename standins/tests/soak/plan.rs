//! The size of a run, drawn from its seed.

use {
    crate::machine,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{env, ops::Range},
};

/// Each seed that this divides is played at size.
const LARGE_EVERY: u64 = 10;
/// Nodes for each core of the machine in a run at size.
const NODES_PER_CORE: usize = 5;
/// Set to the nodes of runs at size, whatever the machine bears: a seed gives the same plan on every machine only if its size is the same.
const NODES: &str = "POINTVANE_SOAK_NODES";
/// Most nodes, whatever the machine bears.
const NODES_MAX: usize = 100;
/// Memory that a node may come to in a debug build, in bytes.
const NODE_BYTES: usize = 96 << 20;
/// Upstreams, and nodes, in a run at size that are reached through a proxy; each connection through one takes three threads.
const PROXIED_MAX: usize = 6;
/// Seeds whose runs have evacuations: those between stay as they were when some of them broke a promise.
const EVACUATING_SEEDS: [Range<u64>; 2] = [0..1_000, 5_000..u64::MAX];
/// Seeds in whose runs upstreams crash under a request. They are reached directly: a proxy accepts connections for an upstream that
/// is gone, which hides that it crashed.
const CRASHING_SEEDS: Range<u64> = 6_000..7_000;
/// The first seed in whose runs upstreams ask for pauses and say that they leave.
const NOTICES_SEED: u64 = 7_000;
/// The first seed in whose runs upstreams start again under their identities, and take a moment to turn requests away.
const RESTARTS_SEED: u64 = 8_000;
/// The first seed in whose runs upstreams name limits.
const LIMITS_SEED: u64 = 10_000;
/// Upstreams in a run with restarts that are reached through a proxy, which would hide that they crash.
const PROXIED_BESIDE_RESTARTS: usize = 2;
/// Routes of a large configuration.
const LARGE_ROUTES: std::ops::Range<usize> = 1_000..2_500;

/// The size of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Node processes.
    pub nodes: usize,
    /// Upstreams in use at a time; threads of the harness.
    pub upstreams: usize,
    /// Of these, and of those that join later, how many are reached through a proxy.
    pub proxied: usize,
    /// Nodes that other nodes reach through a proxy.
    pub peer_proxied: usize,
    pub callers: usize,
    /// Connections that each caller holds.
    pub connections: usize,
    /// Threads that disturb the fleet one thing at a time, beside the one that plays the large series.
    pub disturbers: usize,
    /// Disturbances by each of these.
    pub disturbances: usize,
    /// Nodes or upstreams that a rolling series takes at once.
    pub batch: usize,
    /// Whether data centres are evacuated; all upstreams are in one if not.
    pub evacuates: bool,
    /// Whether upstreams crash under a request.
    pub crashes: bool,
    /// Whether upstreams ask for pauses and say that they leave.
    pub notices: bool,
    /// Whether upstreams start again under their identities, and some of those that ask for pauses take a moment to do so.
    pub restarts: bool,
    /// Whether upstreams name limits.
    pub limits: bool,
    /// Routes of each configuration beside those that the checks need.
    pub bulk_routes: usize,
}

impl Plan {
    pub fn of(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let large = env::var("POINTVANE_SOAK_LARGE").is_ok() || seed.is_multiple_of(LARGE_EVERY);
        let mut plan = if large { Self::large() } else { Self::small(&mut rng) };
        plan.crashes = CRASHING_SEEDS.contains(&seed);
        plan.notices = seed >= NOTICES_SEED;
        plan.restarts = seed >= RESTARTS_SEED;
        plan.limits = seed >= LIMITS_SEED;
        if plan.restarts {
            plan.proxied = plan.proxied.min(PROXIED_BESIDE_RESTARTS);
        }
        if plan.crashes {
            plan.proxied = 0;
        }
        plan.evacuates = EVACUATING_SEEDS.iter().any(|seeds| seeds.contains(&seed));
        if rng.random_bool(0.25) {
            plan.bulk_routes = rng.random_range(LARGE_ROUTES);
        }
        plan
    }

    fn small(rng: &mut SmallRng) -> Self {
        Self {
            nodes: rng.random_range(3..6),
            upstreams: rng.random_range(3..7),
            proxied: usize::MAX,
            peer_proxied: usize::MAX,
            callers: 6,
            connections: rng.random_range(1..4),
            disturbers: 2,
            disturbances: 8,
            batch: 1,
            evacuates: false,
            crashes: false,
            notices: false,
            restarts: false,
            limits: false,
            bulk_routes: 0,
        }
    }

    fn large() -> Self {
        let told = env::var(NODES).ok().map(|nodes| nodes.parse::<usize>().expect("a number of nodes"));
        let cores = told.map_or_else(machine::cores, |nodes| nodes.div_ceil(NODES_PER_CORE));
        let borne = machine::available_bytes() / 2 / NODE_BYTES;
        let nodes = told.unwrap_or_else(|| (cores * NODES_PER_CORE).min(borne).clamp(3, NODES_MAX));
        Self {
            nodes,
            upstreams: nodes,
            proxied: PROXIED_MAX,
            peer_proxied: PROXIED_MAX,
            callers: cores * 2,
            connections: 4,
            disturbers: 4,
            disturbances: 12,
            batch: nodes.div_ceil(8),
            evacuates: false,
            crashes: false,
            notices: false,
            restarts: false,
            limits: false,
            bulk_routes: 0,
        }
    }
}
