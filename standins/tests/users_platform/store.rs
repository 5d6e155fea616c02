//! A stand-in for the key-value store of the platform.

use {
    super::{
        HOST,
        message::{Message, read_message},
        throttled_write::write_throttled,
        unique_address,
        upstream::Upstream,
    },
    base64::{Engine, engine::general_purpose::STANDARD},
    std::{
        collections::BTreeSet,
        io::{self, BufReader},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Condvar, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Items of the store, and its changes as events. Both are kept in encoded form, and responses are assembled
/// without holding the lock: encoding a configuration of 2,110 routes, published 28 times, for each reader
/// under the lock made 40 nodes wait for up to 8.0 s.
#[derive(Default)]
struct StoreState {
    revision: u64,
    items: Vec<(String, Arc<str>)>,
    events: Vec<(u64, Arc<str>)>,
}

/// Maximum time for a request head, in milliseconds.
const HEADER_TIMEOUT_MS: u64 = 3_000;

/// Properties of a configuration besides its routes.
pub struct ConfigurationOptions {
    /// Target latency of each route, in milliseconds.
    pub target_latency_ms: u64,
    /// Requests per second that a cold upstream of the service accepts; 0 for no limit.
    pub cold_per_s: f64,
    /// Client accounts; none if callers need no key.
    pub accounts: Option<Vec<Account>>,
    /// Maximum idle time of a caller's connection, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Maximum size of a request body, in bytes.
    pub body_bytes_max: u64,
}

/// A client account.
#[derive(Clone, Default)]
pub struct Account {
    pub name: &'static str,
    pub keys: Vec<&'static str>,
    /// Requests per second; 0 for no limit.
    pub rate_per_s: f64,
    pub burst: u32,
}

impl Account {
    fn json(&self) -> String {
        let Self { name, keys, rate_per_s, burst } = self;
        let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
        format!(
            r#"{{"name":"{name}","api-keys":[{}],"priority":0,"rate-per-s":{rate_per_s},"burst":{burst}}}"#,
            keys.join(",")
        )
    }
}

/// Identifies an incarnation of an upstream in its entry.
pub struct Incarnation {
    /// Sequence number of the update.
    pub sequence: u64,
    /// Start time in Unix milliseconds; none to leave it out of the entry.
    pub born_ms: Option<u64>,
}

impl Default for ConfigurationOptions {
    fn default() -> Self {
        Self {
            target_latency_ms: 200,
            cold_per_s: 0.0,
            accounts: None,
            idle_timeout_ms: 15_000,
            body_bytes_max: 64 << 20,
        }
    }
}

/// A stand-in for the key-value store of the platform.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    stored: Arc<(Mutex<StoreState>, Condvar)>,
    /// Bandwidth of responses in bytes per second; 0 for no limit.
    bytes_per_s: Arc<AtomicU64>,
    /// Number of calls that read all items.
    range_calls: Arc<AtomicU64>,
    /// Longest time that a response took to assemble, without the wait of a watch, in microseconds.
    slowest_us: Arc<AtomicU64>,
}

impl Store {
    /// Starts a store on a loopback address of its own.
    pub fn start() -> Self {
        let listener = TcpListener::bind((unique_address(), 8_142)).unwrap();
        let store = Self {
            address: listener.local_addr().unwrap(),
            stored: Arc::default(),
            bytes_per_s: Arc::default(),
            range_calls: Arc::default(),
            slowest_us: Arc::default(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || _ = store.serve(stream));
            }
        });
        store
    }

    /// Limits the bandwidth of responses from now on; 0 for no limit.
    pub fn limit_bandwidth(&self, bytes_per_s: u64) {
        self.bytes_per_s.store(bytes_per_s, Ordering::Relaxed);
    }

    /// Number of calls that read all items.
    pub fn range_calls(&self) -> u64 {
        self.range_calls.load(Ordering::Relaxed)
    }

    /// Longest time that a response took to assemble, without the wait of a watch.
    pub fn slowest_response(&self) -> Duration {
        Duration::from_micros(self.slowest_us.load(Ordering::Relaxed))
    }

    /// Drops all items and events: the threads of the store outlive the test and would keep them in memory.
    pub fn clear(&self) {
        *self.stored.0.lock().unwrap() = StoreState::default();
    }

    /// Writes an item.
    pub fn put(&self, key: &str, value: &str) {
        let value = STANDARD.encode(value);
        self.change(key, ItemState::Present, |revision| {
            format!(r#"{{"tls-key":"{key}","value":"{value}","revision":{revision},"made":1,"lease":0}}"#)
        });
    }

    /// Lists upstreams with unreachable addresses.
    pub fn list_unreachable(&self, count: usize) {
        let mut stored = self.stored.0.lock().unwrap();
        for number in 0..count {
            stored.revision += 1;
            let revision = stored.revision;
            // Ids that differ from each other as much as real ones.
            let id = format!("i-{:010x}", (number as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 24);
            let (high, low) = (number / 250, number % 250);
            let value = STANDARD.encode(format!(
                r#"{{"address":"10.{}.{high}.{low}:8080","born":{},"info":{{"service":"far","version":"v1","zone":"z-{}","slots":6}},"status":{{"state":"ready","sequence":{},"warmup-left-ms":0}}}}"#,
                number % 5,
                1_790_000_000_000_u64 + number as u64 * 37,
                number % 5,
                number % 90,
            ));
            let key = format!("servers/{id}");
            let item: Arc<str> = format!(
                r#"{{"tls-key":"{key}","value":"{value}","revision":{revision},"made":1,"lease":0}}"#
            )
            .into();
            stored.items.push((key, Arc::clone(&item)));
            stored.events.push((revision, item));
        }
        self.stored.1.notify_all();
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        self.change(key, ItemState::Removed, |revision| {
            format!(r#"{{"tls-key":"{key}","revision":{revision},"gone":true}}"#)
        });
    }

    /// Applies a change of an item and records it in encoded form.
    fn change(&self, key: &str, item_state: ItemState, encode: impl FnOnce(u64) -> String) {
        let mut stored = self.stored.0.lock().unwrap();
        stored.revision += 1;
        let revision = stored.revision;
        let change: Arc<str> = encode(revision).into();
        stored.items.retain(|(existing, _)| existing != key);
        if item_state == ItemState::Present {
            stored.items.push((key.into(), Arc::clone(&change)));
        }
        stored.events.push((revision, change));
        self.stored.1.notify_all();
    }

    /// Publishes a configuration with routes given as path, kind, time-out in milliseconds and service.
    pub fn configure(&self, version: u64, routes: &[(&str, &str, u64, &str)]) {
        self.configure_cold(version, routes, 0.0);
    }

    /// Publishes a configuration with a limit of requests per second for each cold upstream.
    pub fn configure_cold(&self, version: u64, routes: &[(&str, &str, u64, &str)], cold_per_s: f64) {
        self.configure_with(
            version,
            routes,
            &ConfigurationOptions { cold_per_s, ..ConfigurationOptions::default() },
        );
    }

    /// Publishes a configuration with the given options.
    pub fn configure_with(
        &self,
        version: u64,
        routes: &[(&str, &str, u64, &str)],
        options: &ConfigurationOptions,
    ) {
        let ConfigurationOptions { target_latency_ms, cold_per_s, accounts, idle_timeout_ms, body_bytes_max } =
            options;
        let header_timeout_ms = HEADER_TIMEOUT_MS.min(*idle_timeout_ms);
        let route = |(path, kind, timeout_ms, service): &(&str, &str, u64, &str)| {
            format!(
                r#"{{"name":"r{path}","host":"{HOST}","path-prefix":"{path}","type":"{kind}","timeout-ms":{timeout_ms},"target-latency-ms":{target_latency_ms},"priority":1,"service":"{service}","max-attempts":2}}"#
            )
        };
        let service = |name: &str| {
            format!(
                r#"{{"name":"{name}","health-path":"/health","max-connections":100,"protocol":"h1","tls":false,"warmup-per-s":{cold_per_s}}}"#
            )
        };
        let services: BTreeSet<&str> = routes.iter().map(|(.., service)| *service).chain(["app"]).collect();
        let services: Vec<String> = services.into_iter().map(service).collect();
        let routes: Vec<String> = routes.iter().map(route).collect();
        let accounts = accounts.as_ref().map_or_else(String::new, |accounts| {
            let accounts: Vec<String> = accounts.iter().map(Account::json).collect();
            format!(r#","tenants":[{}]"#, accounts.join(","))
        });
        self.put(
            "op/config",
            &format!(
                r#"{{"version":"{version:08x}","routes":[{}],"services":[{}],"limits":{{"max-header-bytes":16384,"max-body-bytes":{body_bytes_max},"header-timeout-ms":{header_timeout_ms},"idle-timeout-ms":{idle_timeout_ms}}}{accounts}}}"#,
                routes.join(","),
                services.join(",")
            ),
        );
    }

    /// Lists an upstream in data centre `one` with a state and the sequence number of the update.
    pub fn list(&self, upstream: &Upstream, state: &str, sequence: u64) {
        self.list_at(upstream, upstream.address, state, sequence);
    }

    /// Lists an upstream under an address other than its own, such as that of a proxy.
    pub fn list_at(&self, upstream: &Upstream, address: SocketAddr, state: &str, sequence: u64) {
        self.list_with(upstream, address, "one", state, sequence);
    }

    /// Lists an upstream in a data centre.
    pub fn list_in(&self, upstream: &Upstream, zone: &str) {
        self.list_with(upstream, upstream.address, zone, "ready", 1);
    }

    /// Lists an upstream with address, data centre, state and sequence number.
    pub fn list_with(
        &self,
        upstream: &Upstream,
        address: SocketAddr,
        zone: &str,
        state: &str,
        sequence: u64,
    ) {
        self.list_incarnation(upstream, address, zone, state, &Incarnation { sequence, born_ms: None });
    }

    /// As [`Self::list_with`], with the start time of the incarnation.
    pub fn list_incarnation(
        &self,
        upstream: &Upstream,
        address: SocketAddr,
        zone: &str,
        state: &str,
        incarnation: &Incarnation,
    ) {
        let sequence = incarnation.sequence;
        let born = incarnation.born_ms.map(|born_ms| format!(r#""born":{born_ms},"#)).unwrap_or_default();
        self.put(
            &format!("servers/{}", upstream.id),
            &format!(
                r#"{{"address":"{address}",{born}"info":{{"service":"app","version":"v1","zone":"{zone}","slots":3}},"status":{{"state":"{state}","sequence":{sequence},"warmup-left-ms":0}}}}"#
            ),
        );
    }

    /// Requests the evacuation of a data centre: its upstreams get no new requests.
    pub fn evacuate(&self, zone: &str) {
        self.put(&format!("op/evacuate/{zone}"), "{}");
    }

    /// Ends the evacuation of a data centre.
    pub fn end_evacuation(&self, zone: &str) {
        self.remove(&format!("op/evacuate/{zone}"));
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        loop {
            let request = read_message(&mut reader)?;
            let body = self.respond(request.target());
            let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
            write_throttled(&mut stream, response.as_bytes(), self.bytes_per_s.load(Ordering::Relaxed))?;
        }
    }

    fn respond(&self, target: &str) -> String {
        let query = |name: &str| {
            let pairs = target.split_once('?').map_or("", |(_, query)| query).split('&');
            pairs
                .filter_map(|pair| pair.split_once('='))
                .find(|(key, _)| *key == name)
                .map(|(_, value)| value.to_owned())
        };
        let number = |name: &str| query(name).and_then(|value| value.parse::<u64>().ok()).unwrap_or_default();
        let (lock, changed) = &*self.stored;
        let mut timer = ResponseTimer { since: Instant::now(), slowest_us: &self.slowest_us };
        let mut stored = lock.lock().unwrap();
        if target.starts_with("/kv-range") {
            self.range_calls.fetch_add(1, Ordering::Relaxed);
            let items: Vec<Arc<str>> = stored.items.iter().map(|(_, item)| Arc::clone(item)).collect();
            let at = stored.revision;
            drop(stored);
            return format!(r#"{{"items":[{}],"more":false,"at":{at}}}"#, items.join(","));
        }
        let after = number("after");
        let until = Instant::now() + Duration::from_millis(number("wait-ms"));
        while stored.revision <= after && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            stored = changed.wait_timeout(stored, left).unwrap().0;
            timer.since = Instant::now();
        }
        let events = stored.events.iter().filter(|(revision, _)| *revision > after);
        let events: Vec<Arc<str>> = events.map(|(_, event)| Arc::clone(event)).collect();
        let at = stored.revision;
        drop(stored);
        format!(r#"{{"events":[{}],"at":{at}}}"#, events.join(","))
    }
}

/// State of an item after a change.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ItemState {
    Present,
    Removed,
}

/// Measures the time that a response takes to assemble and records the maximum on drop.
struct ResponseTimer<'s> {
    since: Instant,
    slowest_us: &'s AtomicU64,
}

impl Drop for ResponseTimer<'_> {
    fn drop(&mut self) {
        self.slowest_us.fetch_max(self.since.elapsed().as_micros() as u64, Ordering::Relaxed);
    }
}
