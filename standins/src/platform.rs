//! The platform: values that can be read and watched, with counted calls; down, stale, slow or set back on
//! demand.

use {
    crate::serve::{Answer, Handler, answer, parameter},
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

const KV: &str = "/v1/kv/";
const WAIT_MAX: Duration = Duration::from_secs(10);
const INDEX_HEADER: &str = "x-consul-index";

#[derive(Clone, Debug)]
struct Value {
    index: u64,
    bytes: Bytes,
}

#[derive(Debug, Default)]
struct State {
    values: HashMap<String, Value>,
    /// What readers see while the platform is stale.
    frozen: Option<HashMap<String, Value>>,
    index: u64,
    down: bool,
    slow_ms: u64,
}

/// The platform.
#[derive(Debug)]
pub struct Platform {
    state: Mutex<State>,
    calls: AtomicU64,
    written: watch::Sender<u64>,
}

impl Default for Platform {
    fn default() -> Self {
        Self { state: Mutex::default(), calls: AtomicU64::new(0), written: watch::channel(0).0 }
    }
}

impl Platform {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn look(&self, key: &str) -> Option<Value> {
        let state = self.lock();
        state.frozen.as_ref().unwrap_or(&state.values).get(key).cloned()
    }

    async fn read(&self, key: &str, after: u64) -> Answer {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let slow_ms = self.lock().slow_ms;
        sleep(Duration::from_millis(slow_ms)).await;
        let mut written = self.written.subscribe();
        let changed = async {
            while self.look(key).map_or(0, |value| value.index) == after && !self.lock().down {
                if written.changed().await.is_err() {
                    return;
                }
            }
        };
        // A wait that is over answers with what there is.
        let _ = timeout(WAIT_MAX, changed).await;
        if self.lock().down {
            return answer(500, "down\n");
        }
        match self.look(key) {
            None => indexed(answer(404, ""), self.lock().index),
            Some(value) => {
                let (index, body) = (value.index, STANDARD.encode(&value.bytes));
                let json = format!("[{{\"Key\":\"{key}\",\"Value\":\"{body}\",\"ModifyIndex\":{index}}}]");
                indexed(answer(200, json), index)
            }
        }
    }

    fn write(&self, key: &str, bytes: Bytes) -> Answer {
        let mut state = self.lock();
        state.index += 1;
        let value = Value { index: state.index, bytes };
        state.values.insert(key.into(), value);
        drop(state);
        self.wake();
        answer(200, "true")
    }

    fn set(&self, request: &Request<Incoming>) -> Answer {
        let mut state = self.lock();
        if let Some(down) = parameter::<bool>(request, "down") {
            state.down = down;
        }
        if let Some(stale) = parameter::<bool>(request, "stale") {
            state.frozen = stale.then(|| state.values.clone());
        }
        if let Some(slow_ms) = parameter(request, "slow_ms") {
            state.slow_ms = slow_ms;
        }
        if let Some(index) = parameter(request, "index") {
            state.index = index;
        }
        drop(state);
        self.wake();
        answer(200, "ok\n")
    }

    fn wake(&self) {
        self.written.send_modify(|count| *count += 1);
    }
}

fn indexed(mut response: Answer, index: u64) -> Answer {
    response.headers_mut().insert(INDEX_HEADER, index.into());
    response
}

impl Handler for Platform {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Option<Answer> {
        let path = request.uri().path().to_owned();
        let answer = match (request.method().clone(), path.strip_prefix(KV)) {
            (Method::GET, Some(key)) => {
                let after = parameter(&request, "index").unwrap_or(0);
                self.read(key, after).await
            }
            (Method::PUT, Some(key)) => match request.into_body().collect().await {
                Ok(body) => self.write(key, body.to_bytes()),
                Err(_) => answer(400, ""),
            },
            (Method::POST, None) if path == "/standin/set" => self.set(&request),
            (Method::GET, None) if path == "/standin/calls" => {
                answer(200, self.calls.load(Ordering::Relaxed).to_string())
            }
            _ => answer(404, ""),
        };
        Some(answer)
    }
}
