//! A caller: keeps connections open, uses them in turn and records the answers.

use {
    crate::{
        connection::{Connection, keeps_open},
        fleet::Fleet,
        plan::Plan,
        record::Record,
        users_platform::request_head,
        versions::Marker,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        sync::atomic::{AtomicBool, AtomicU64, Ordering},
        thread,
        time::{Duration, Instant},
    },
};

pub const TRAFFIC_PORT: u16 = 8_144;
/// Deadline that callers set on a request, in milliseconds.
pub const DEADLINE_MS: u64 = 2_000;
/// Longest pause between two requests, in microseconds.
const INTERVAL_MAX_US: u64 = 8_000;
/// Most requests in one pipelined write: more than a node forwards concurrently.
const PIPELINED_MAX: usize = 12;
/// Delay after a failed connection attempt.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Markers are drawn from this many of the newest versions, so that many queries concern changes still in
/// progress.
const MARKER_VERSIONS: u64 = 40;

/// A caller thread with its own random generator.
pub struct Caller<'a> {
    fleet: &'a Fleet,
    record: &'a Record,
    ids: &'a AtomicU64,
    rng: SmallRng,
    /// Most connections open at a time.
    connections_max: usize,
    connections: Vec<Connection>,
}

impl<'a> Caller<'a> {
    pub fn new(fleet: &'a Fleet, record: &'a Record, ids: &'a AtomicU64, plan: &Plan, seed: u64) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        Self { fleet, record, ids, rng, connections_max: plan.connections, connections: Vec::new() }
    }

    pub fn run(&mut self, stop: &AtomicBool) {
        let mut turn = 0;
        while !stop.load(Ordering::SeqCst) {
            if self.connections.len() < self.connections_max && !self.open() {
                thread::sleep(RETRY_DELAY);
            }
            if self.connections.is_empty() {
                continue;
            }
            turn = (turn + 1) % self.connections.len();
            let mut connection = self.connections.swap_remove(turn);
            if self.send_request(&mut connection) {
                self.connections.push(connection);
            }
            thread::sleep(Duration::from_micros(self.rng.random_range(0..INTERVAL_MAX_US)));
        }
    }

    fn open(&mut self) -> bool {
        let node_index = self.rng.random_range(0..self.fleet.nodes.len());
        let opened = Connection::open(node_index, (self.fleet.nodes[node_index].ip, TRAFFIC_PORT).into());
        let open = opened.is_some();
        self.connections.extend(opened);
        open
    }

    /// Sends one random request; returns false if its connection is to be closed.
    fn send_request(&mut self, connection: &mut Connection) -> bool {
        match self.rng.random_range(0..7) {
            0 | 1 => self.query_version(connection),
            2 => {
                let number = self.rng.random_range(0..usize::MAX);
                let path = self.fleet.versions.extra_path(number).unwrap_or_else(|| "/safe/a".into());
                self.send_plain(connection, "GET", "safe", &path)
            }
            3 => self.send_plain(connection, "GET", "safe", "/safe/a"),
            6 => self.send_pipelined(connection),
            _ => self.send_plain(connection, "POST", "unsafe", "/unsafe/a"),
        }
    }

    fn id(&self, kind: &str, node_index: usize) -> String {
        format!("{kind}-{node_index}-{}", self.ids.fetch_add(1, Ordering::SeqCst))
    }

    fn send_plain(&self, connection: &mut Connection, method: &str, kind: &str, path: &str) -> bool {
        let id = self.id(kind, connection.node_index);
        let Some(answer) = connection.call(&request_head(method, path, &id, DEADLINE_MS)) else {
            return false;
        };
        self.record.check_answer(&id, kind == "safe", &answer);
        keeps_open(&answer)
    }

    /// Pipelines several requests on one connection.
    fn send_pipelined(&mut self, connection: &mut Connection) -> bool {
        let count = self.rng.random_range(2..=PIPELINED_MAX);
        let ids: Vec<String> = (0..count).map(|_| self.id("safe", connection.node_index)).collect();
        let heads: Vec<String> =
            ids.iter().map(|id| request_head("GET", "/safe/a", id, DEADLINE_MS)).collect();
        let answers = connection.call_all(&heads);
        ids.iter().zip(&answers).for_each(|(id, answer)| self.record.check_answer(id, true, answer));
        answers.len() == count && answers.last().is_some_and(keeps_open)
    }

    /// Requests a marker route, whose status shows whether the node has applied the marker's version.
    fn query_version(&mut self, connection: &mut Connection) -> bool {
        let newest = self.fleet.versions.newest();
        let version = self.rng.random_range(newest.saturating_sub(MARKER_VERSIONS).max(1)..=newest);
        let marker = if self.rng.random_bool(0.5) { Marker::Since(version) } else { Marker::Only(version) };
        let node = &self.fleet.nodes[connection.node_index];
        let incarnation = node.incarnation.load(Ordering::SeqCst);
        let query = self.record.version_checks.begin_query(
            connection.node_index,
            incarnation,
            marker,
            Instant::now(),
        );
        let id = self.id("version", connection.node_index);
        let Some(answer) = connection.call(&request_head("GET", &marker.path(), &id, DEADLINE_MS)) else {
            return false;
        };
        if node.incarnation.load(Ordering::SeqCst) == incarnation {
            self.record.version_checks.check_answer(query, answer.status(), self.fleet);
        }
        keeps_open(&answer)
    }
}
