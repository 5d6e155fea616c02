//! The size and the fault kinds of a run, derived from its seed.

use {
    crate::machine,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{env, ops::Range},
};

/// Seeds divisible by this run at full size.
const LARGE_EVERY: u64 = 10;
/// Nodes per core in a full-size run.
const NODES_PER_CORE: usize = 5;
/// Environment variable that sets the number of nodes of full-size runs: a seed gives the same plan on every
/// machine only if the size is the same.
const NODES_ENV: &str = "POINTVANE_SOAK_NODES";
/// Most nodes in a full-size run.
const NODES_MAX: usize = 100;
/// Memory allowed for per node in a debug build, in bytes.
const NODE_BYTES: usize = 96 << 20;
/// Upstreams, and nodes, that are reached through a proxy in a full-size run; each proxied connection takes
/// three threads.
const PROXIED_MAX: usize = 6;
/// Seeds whose runs have evacuations. The seeds between have none: some of them have violated a guarantee,
/// and their plans must stay reproducible.
const EVACUATING_SEEDS: [Range<u64>; 2] = [0..1_000, 5_000..u64::MAX];
/// Seeds in whose runs a request crashes upstreams. These upstreams are reached directly: a proxy accepts
/// connections for an upstream that is gone, which hides the crash.
const CRASHING_SEEDS: Range<u64> = 6_000..7_000;
/// First seed in whose runs upstreams request pauses and announce that they leave.
const NOTICES_SEED: u64 = 7_000;
/// First seed in whose runs upstreams restart under their identities and may delay refusals.
const RESTARTS_SEED: u64 = 8_000;
/// First seed in whose runs upstreams announce limits.
const LIMITS_SEED: u64 = 10_000;
/// First seed in whose runs upstreams report that they are full.
const CONTENTION_SEED: u64 = 12_000;
/// First seed in whose runs upstreams send malformed responses.
const MALFORMED_SEED: u64 = 13_000;
/// Seeds in whose runs nodes are cut off from all upstreams. These are all reached through proxies, and none
/// restarts.
const PARTITIONS_SEEDS: Range<u64> = 11_000..12_000;
/// Proxied upstreams in a run with restarts; a proxy would hide that an upstream crashes.
const PROXIED_BESIDE_RESTARTS: usize = 2;
/// Additional routes of a large configuration.
const LARGE_ROUTES: std::ops::Range<usize> = 1_000..2_500;

/// Size and fault kinds of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Node processes.
    pub nodes: usize,
    /// Upstreams in use at a time; threads of the harness.
    pub upstreams: usize,
    /// How many of these, including later ones, are reached through a proxy.
    pub proxied_upstreams: usize,
    /// Nodes that other nodes reach through a proxy.
    pub proxied_nodes: usize,
    pub callers: usize,
    /// Connections that each caller keeps open.
    pub connections: usize,
    /// Threads that inject single faults, besides the one that runs the rolling series.
    pub fault_threads: usize,
    /// Faults injected by each of these threads.
    pub faults_per_thread: usize,
    /// Nodes or upstreams that a rolling series replaces at once.
    pub batch_size: usize,
    /// Whether data centres are evacuated; otherwise all upstreams are in one.
    pub evacuations: bool,
    /// Whether a request crashes upstreams.
    pub crashes: bool,
    /// Whether upstreams request pauses and announce that they leave.
    pub notices: bool,
    /// Whether upstreams restart under their identities, and some delay their requests for a pause.
    pub restarts: bool,
    /// Whether upstreams announce limits.
    pub limits: bool,
    /// Whether nodes are cut off from all upstreams.
    pub partitions: bool,
    /// Whether upstreams report that they are full.
    pub contention: bool,
    /// Whether upstreams send malformed responses.
    pub malformed: bool,
    /// Additional routes in each configuration, besides those that the checks need.
    pub extra_routes: usize,
}

impl Plan {
    pub fn of(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let large = env::var("POINTVANE_SOAK_LARGE").is_ok() || seed.is_multiple_of(LARGE_EVERY);
        let mut plan = if large { Self::large() } else { Self::small(&mut rng) };
        plan.crashes = CRASHING_SEEDS.contains(&seed);
        plan.notices = seed >= NOTICES_SEED;
        plan.partitions = PARTITIONS_SEEDS.contains(&seed);
        plan.restarts = seed >= RESTARTS_SEED && !plan.partitions;
        plan.limits = seed >= LIMITS_SEED;
        plan.contention = seed >= CONTENTION_SEED;
        plan.malformed = seed >= MALFORMED_SEED;
        if plan.restarts {
            plan.proxied_upstreams = plan.proxied_upstreams.min(PROXIED_BESIDE_RESTARTS);
        }
        if plan.crashes {
            plan.proxied_upstreams = 0;
        }
        if plan.partitions {
            plan.proxied_upstreams = usize::MAX;
        }
        plan.evacuations = EVACUATING_SEEDS.iter().any(|seeds| seeds.contains(&seed));
        if rng.random_bool(0.25) {
            plan.extra_routes = rng.random_range(LARGE_ROUTES);
        }
        plan
    }

    fn small(rng: &mut SmallRng) -> Self {
        Self {
            nodes: rng.random_range(3..6),
            upstreams: rng.random_range(3..7),
            proxied_upstreams: usize::MAX,
            proxied_nodes: usize::MAX,
            callers: 6,
            connections: rng.random_range(1..4),
            fault_threads: 2,
            faults_per_thread: 8,
            batch_size: 1,
            evacuations: false,
            crashes: false,
            notices: false,
            restarts: false,
            limits: false,
            partitions: false,
            contention: false,
            malformed: false,
            extra_routes: 0,
        }
    }

    fn large() -> Self {
        let configured =
            env::var(NODES_ENV).ok().map(|nodes| nodes.parse::<usize>().expect("a number of nodes"));
        let cores = configured.map_or_else(machine::cores, |nodes| nodes.div_ceil(NODES_PER_CORE));
        let memory_bound = machine::available_bytes() / 2 / NODE_BYTES;
        let nodes =
            configured.unwrap_or_else(|| (cores * NODES_PER_CORE).min(memory_bound).clamp(3, NODES_MAX));
        Self {
            nodes,
            upstreams: nodes,
            proxied_upstreams: PROXIED_MAX,
            proxied_nodes: PROXIED_MAX,
            callers: cores * 2,
            connections: 4,
            fault_threads: 4,
            faults_per_thread: 12,
            batch_size: nodes.div_ceil(8),
            evacuations: false,
            crashes: false,
            notices: false,
            restarts: false,
            limits: false,
            partitions: false,
            contention: false,
            malformed: false,
            extra_routes: 0,
        }
    }
}
