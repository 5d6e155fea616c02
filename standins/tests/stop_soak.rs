//! Soak of planned stops: nodes are stopped one after another and at the same time, while callers go on using their
//! connections until the process is gone, send requests behind others, and read slowly.
//!
//! `POINTVANE_STOP_SOAK_SEEDS=FROM..TO` plays other seeds, `POINTVANE_STOP_SOAK_NODES` sets the number of nodes.

mod users_platform;

use {
    googletest::prelude::*,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        collections::{HashMap, HashSet},
        env,
        io::{self, BufReader, Read, Write},
        net::TcpStream,
        ops::Range,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::Duration,
    },
    users_platform::{
        BodyEnd, BodyLength, ConfigurationOptions, NodeProcess, Options, Store, Upstream, UpstreamBehaviour,
        read_message, request_head,
    },
};

const ROUTES: [(&str, &str, u64, &str); 2] =
    [("/safe/", "safe", 20_000, "app"), ("/unsafe/", "unsafe", 20_000, "app")];
const DEADLINE_MS: u64 = 20_000;
const CI_SEEDS: Range<u64> = 1..4;
const NODES: usize = 4;
/// Starts and stops of each node.
const ROUNDS: usize = 2;
const CALLERS: usize = 5;
const UPSTREAMS: usize = 8;
/// Longer than work and reading take together.
const STOP_GRACE_S: u32 = 5;
const LONGEST_WORK_MS: u64 = 300;
const LONGEST_BODY_BYTES: usize = 250_000;
const LONGEST_HEAD_BYTES: usize = 6_000;
const MOST_REQUESTS: usize = 8;
/// Range of the rate at which callers read, in bytes per second.
const READ_RATE: Range<usize> = 400_000..5_000_000;
/// Interval between two changes of the configuration.
const CHANGE_INTERVAL: Duration = Duration::from_millis(300);
/// Longest time that a caller waits for bytes.
const READ_TIMEOUT: Duration = Duration::from_secs(15);

/// What callers know of their requests.
#[derive(Default)]
struct Outcomes {
    /// Status of each request that got a whole response.
    answered: HashMap<String, u16>,
    /// Number of requests whose response broke off, by error.
    broken: Vec<String>,
    sent: usize,
    exit_codes: Vec<Option<i32>>,
}

/// Plays callers, stops and changes of one seed.
struct Soak {
    store: Store,
    upstreams: Vec<Upstream>,
    outcomes: Mutex<Outcomes>,
}

impl Soak {
    fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let store = Store::start();
        let behaviour = |rng: &mut SmallRng| {
            let bytes = rng.random_range(1_000..LONGEST_BODY_BYTES);
            let length = match rng.random_bool(0.5) {
                true => BodyLength::Known(bytes),
                false => BodyLength::Chunked(bytes),
            };
            let after_ms = rng.random_range(0..LONGEST_WORK_MS);
            UpstreamBehaviour::Long { after_ms, length, end: BodyEnd::Complete }
        };
        let upstreams: Vec<Upstream> = (0..UPSTREAMS)
            .map(|number| Upstream::start(&format!("i-{number}"), behaviour(&mut rng)))
            .collect();
        let options = ConfigurationOptions { target_latency_ms: DEADLINE_MS, ..Default::default() };
        store.configure_with(5, &ROUTES, &options);
        upstreams.iter().for_each(|upstream| store.list(upstream, "ready", 1));
        Self { store, upstreams, outcomes: Mutex::default() }
    }

    /// Starts and stops a node several times.
    fn play_node(&self, name: &str, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        for round in 0..ROUNDS {
            let options = Options { stop_grace_s: Some(STOP_GRACE_S), ..Options::default() };
            let mut node = NodeProcess::start_with_options(&self.store, options);
            node.wait_until_ready();
            let stopped = AtomicBool::new(false);
            thread::scope(|scope| {
                for caller in 0..CALLERS {
                    let (node, stopped) = (&node, &stopped);
                    let name = format!("{name}-{round}-{caller}");
                    let seed = rng.random();
                    scope.spawn(move || self.call(node, &name, seed, stopped));
                }
                thread::sleep(Duration::from_millis(rng.random_range(200..1_500)));
                for _ in 0..rng.random_range(0..3) {
                    node.signal("HUP");
                    thread::sleep(Duration::from_millis(rng.random_range(0..200)));
                }
                node.signal("TERM");
                thread::sleep(Duration::from_millis(rng.random_range(0..1_000)));
                // A second request to stop changes nothing; the process may have ended.
                node.signal_if_running(["TERM", "HUP"][rng.random_range(0..2)]);
                stopped.store(true, Ordering::SeqCst);
            });
            let exit_code = node.wait_for_exit();
            self.outcomes.lock().unwrap().exit_codes.push(exit_code);
        }
    }

    /// Uses connections until the node accepts no more.
    fn call(&self, node: &NodeProcess, name: &str, seed: u64, stopped: &AtomicBool) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut number = 0;
        loop {
            let Ok(stream) = TcpStream::connect(node.traffic_address()) else {
                if stopped.load(Ordering::SeqCst) {
                    return;
                }
                thread::sleep(Duration::from_millis(20));
                continue;
            };
            stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
            let bytes_per_s = rng.random_range(READ_RATE);
            let mut reader = BufReader::with_capacity(16_384, SlowReader { stream: &stream, bytes_per_s });
            while let Ok(true) = self.exchange(&stream, &mut reader, name, &mut number, &mut rng) {}
        }
    }

    /// Sends some requests at once and reads their responses; returns whether the connection may be used again.
    fn exchange(
        &self,
        mut stream: &TcpStream,
        reader: &mut BufReader<SlowReader<'_>>,
        name: &str,
        number: &mut usize,
        rng: &mut SmallRng,
    ) -> io::Result<bool> {
        let mut ids = Vec::new();
        let mut text = String::new();
        let unsafe_first = rng.random_bool(0.5);
        for position in 0..rng.random_range(1..=MOST_REQUESTS) {
            let id = format!("{name}-{number}");
            *number += 1;
            let is_unsafe = unsafe_first && position == 0;
            let (method, path) = if is_unsafe { ("POST", "/unsafe/a") } else { ("GET", "/safe/a") };
            let head = request_head(method, path, &id, DEADLINE_MS);
            let padding = "p".repeat(rng.random_range(0..LONGEST_HEAD_BYTES));
            text += &head.replacen("\r\n\r\n", &format!("\r\ncookie: {padding}\r\n\r\n"), 1);
            ids.push(id);
        }
        self.outcomes.lock().unwrap().sent += ids.len();
        // It fails on a connection that the node has closed meanwhile.
        let written = stream.write_all(text.as_bytes());
        for id in ids {
            let response = match read_message(reader) {
                Ok(response) => response,
                Err(error) => {
                    self.outcomes.lock().unwrap().broken.push(format!("{id}: {error}"));
                    return Ok(false);
                }
            };
            let mut outcomes = self.outcomes.lock().unwrap();
            if response.header("pointvane-request-id") != Some(id.as_str()) {
                outcomes.broken.push(format!("{id}: response of another request"));
            }
            outcomes.answered.insert(id, response.status());
            if response.header("connection") == Some("close") {
                return Ok(false);
            }
        }
        written.map(|()| true)
    }

    /// Checks what upstreams ran against what callers know.
    fn check(&self, seed: u64) {
        let outcomes = self.outcomes.lock().unwrap();
        let mut runs: HashMap<String, usize> = HashMap::new();
        for upstream in &self.upstreams {
            for id in upstream.executed_ids.lock().unwrap().iter() {
                *runs.entry(id.clone()).or_default() += 1;
            }
        }
        let status = |id: &String| outcomes.answered.get(id).copied();
        let unanswered: Vec<&String> = runs.keys().filter(|id| status(id) != Some(200)).collect();
        let answered: HashSet<&String> =
            outcomes.answered.iter().filter(|(_, status)| **status == 200).map(|(id, _)| id).collect();
        let not_run: Vec<&&String> = answered.iter().filter(|id| !runs.contains_key(**id)).collect();
        println!(
            "seed {seed}: {} sent, {} run, {} answered, {} connections ended without a response",
            outcomes.sent,
            runs.len(),
            answered.len(),
            outcomes.broken.len()
        );
        expect_that!(outcomes.exit_codes, each(some(eq(&0))), "seed {seed}");
        expect_that!(unanswered, is_empty(), "seed {seed}: run, and not answered; {:?}", outcomes.broken);
        expect_that!(not_run, is_empty(), "seed {seed}: answered, and not run");
        expect_that!(answered.len(), gt(50), "seed {seed}");
    }
}

/// Reads at a limited rate, as over a slow link.
struct SlowReader<'s> {
    stream: &'s TcpStream,
    bytes_per_s: usize,
}

impl Read for SlowReader<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let length = self.stream.read(buffer)?;
        thread::sleep(Duration::from_secs_f64(length as f64 / self.bytes_per_s as f64));
        Ok(length)
    }
}

fn seeds() -> Range<u64> {
    let Ok(text) = env::var("POINTVANE_STOP_SOAK_SEEDS") else { return CI_SEEDS };
    let (from, to) = text.split_once("..").expect("FROM..TO");
    from.parse().unwrap()..to.parse().unwrap()
}

fn nodes() -> usize {
    env::var("POINTVANE_STOP_SOAK_NODES").map_or(NODES, |text| text.parse().unwrap())
}

/// Guards against planned stops that cut off responses, or that run requests whose callers are told nothing.
#[gtest]
fn every_request_that_ran_is_answered_whole_although_nodes_stop() {
    for seed in seeds() {
        let soak = Arc::new(Soak::new(seed));
        let done = AtomicBool::new(false);
        thread::scope(|scope| {
            scope.spawn(|| {
                let options = ConfigurationOptions { target_latency_ms: DEADLINE_MS, ..Default::default() };
                for version in 6.. {
                    if done.load(Ordering::SeqCst) {
                        return;
                    }
                    let path = format!("/added-{version}/");
                    let added = (path.as_str(), "safe", 20_000, "app");
                    soak.store.configure_with(version, &[ROUTES[0], ROUTES[1], added], &options);
                    thread::sleep(CHANGE_INTERVAL);
                }
            });
            let play = |number: usize| {
                let soak = Arc::clone(&soak);
                scope.spawn(move || soak.play_node(&format!("{seed}-{number}"), seed * 1_000 + number as u64))
            };
            let playing: Vec<_> = (0..nodes()).map(play).collect();
            let ended: Vec<_> = playing.into_iter().map(|playing| playing.join()).collect();
            done.store(true, Ordering::SeqCst);
            assert!(ended.iter().all(Result::is_ok), "a thread of seed {seed} panicked");
        });
        soak.check(seed);
    }
}
