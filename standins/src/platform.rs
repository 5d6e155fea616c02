//! Platform stand-in: a key-value store with blocking reads, as in Consul's HTTP API. It counts reads and, on
//! request, fails, serves stale values, delays reads or resets its modify index.

use {
    crate::serve::{Handler, StandInResponse, new_response, query_parameter},
    base64::{Engine, engine::general_purpose::STANDARD},
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::{Method, Request, body::Incoming},
    std::{
        collections::HashMap,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::watch,
        time::{sleep, timeout},
    },
};

/// Path prefix of the keys.
const KV_PREFIX: &str = "/v1/kv/";
/// Longest time that a blocking read waits for a change.
const BLOCKING_READ_MAX: Duration = Duration::from_secs(10);
const INDEX_HEADER: &str = "x-consul-index";

#[derive(Clone, Debug)]
struct Value {
    index: u64,
    bytes: Bytes,
}

#[derive(Debug, Default)]
struct State {
    values: HashMap<String, Value>,
    /// Snapshot that is served instead of `values` while the platform is stale.
    stale_values: Option<HashMap<String, Value>>,
    index: u64,
    down: bool,
    slow_ms: u64,
}

/// Key-value store with the settings described in the module documentation.
#[derive(Debug)]
pub struct Platform {
    state: Mutex<State>,
    read_count: AtomicU64,
    writes: watch::Sender<u64>,
}

impl Default for Platform {
    fn default() -> Self {
        Self { state: Mutex::default(), read_count: AtomicU64::new(0), writes: watch::channel(0).0 }
    }
}

impl Platform {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lookup(&self, key: &str) -> Option<Value> {
        let state = self.lock();
        state.stale_values.as_ref().unwrap_or(&state.values).get(key).cloned()
    }

    /// Responds with a value once its modify index differs from `after`, or after [`BLOCKING_READ_MAX`] as it is.
    async fn read(&self, key: &str, after: u64) -> StandInResponse {
        self.read_count.fetch_add(1, Ordering::Relaxed);
        let slow_ms = self.lock().slow_ms;
        sleep(Duration::from_millis(slow_ms)).await;
        let mut writes = self.writes.subscribe();
        let until_changed = async {
            while self.lookup(key).map_or(0, |value| value.index) == after && !self.lock().down {
                if writes.changed().await.is_err() {
                    return;
                }
            }
        };
        // On timeout, the response carries the unchanged value.
        let _ = timeout(BLOCKING_READ_MAX, until_changed).await;
        if self.lock().down {
            return new_response(500, "down\n");
        }
        match self.lookup(key) {
            None => with_index(new_response(404, ""), self.lock().index),
            Some(value) => {
                let (index, body) = (value.index, STANDARD.encode(&value.bytes));
                let json = format!("[{{\"Key\":\"{key}\",\"Value\":\"{body}\",\"ModifyIndex\":{index}}}]");
                with_index(new_response(200, json), index)
            }
        }
    }

    fn write(&self, key: &str, bytes: Bytes) -> StandInResponse {
        let mut state = self.lock();
        state.index += 1;
        let value = Value { index: state.index, bytes };
        state.values.insert(key.into(), value);
        drop(state);
        self.notify_readers();
        new_response(200, "true")
    }

    /// Applies the settings `down`, `stale`, `slow_ms` and `index` from the query string.
    fn change_settings(&self, request: &Request<Incoming>) -> StandInResponse {
        let mut state = self.lock();
        if let Some(down) = query_parameter::<bool>(request, "down") {
            state.down = down;
        }
        if let Some(stale) = query_parameter::<bool>(request, "stale") {
            state.stale_values = stale.then(|| state.values.clone());
        }
        if let Some(slow_ms) = query_parameter(request, "slow_ms") {
            state.slow_ms = slow_ms;
        }
        if let Some(index) = query_parameter(request, "index") {
            state.index = index;
        }
        drop(state);
        self.notify_readers();
        new_response(200, "ok\n")
    }

    fn notify_readers(&self) {
        self.writes.send_modify(|count| *count += 1);
    }
}

fn with_index(mut response: StandInResponse, index: u64) -> StandInResponse {
    response.headers_mut().insert(INDEX_HEADER, index.into());
    response
}

impl Handler for Platform {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Option<StandInResponse> {
        let path = request.uri().path().to_owned();
        let response = match (request.method().clone(), path.strip_prefix(KV_PREFIX)) {
            (Method::GET, Some(key)) => {
                let after = query_parameter(&request, "index").unwrap_or(0);
                self.read(key, after).await
            }
            (Method::PUT, Some(key)) => match request.into_body().collect().await {
                Ok(body) => self.write(key, body.to_bytes()),
                Err(_) => new_response(400, ""),
            },
            (Method::POST, None) if path == "/standin/set" => self.change_settings(&request),
            (Method::GET, None) if path == "/standin/calls" => {
                new_response(200, self.read_count.load(Ordering::Relaxed).to_string())
            }
            _ => new_response(404, ""),
        };
        Some(response)
    }
}
