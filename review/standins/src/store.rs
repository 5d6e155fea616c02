//! The platform's store, as PROTOCOL.md tells: `/kv-key`, `/kv-range` and `/kv-watch`.

use {
    crate::http::{Connection, base64, parameter},
    std::{
        collections::BTreeMap,
        net::{SocketAddr, TcpListener},
        sync::{Arc, Condvar, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// Items on one page.
const PAGE: usize = 500;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    made: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    /// Key, revision and whether the item was removed, oldest first.
    history: Vec<(String, u64, bool)>,
    revision: u64,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Store {
    /// Starts a store on a free port of an address.
    pub fn start(ip: &str) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let state = State { revision: 400, ..State::default() };
        let store =
            Self { shared: Arc::new((Mutex::new(state), Condvar::new())), address: listener.local_addr()? };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        Ok(store)
    }

    /// Writes an item.
    pub fn put(&self, key: &str, value: &str) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let made = state.items.get(key).map_or(revision, |item| item.made);
        state.items.insert(key.into(), Item { value: base64(value.as_bytes()), revision, made });
        state.history.push((key.into(), revision, false));
        changed.notify_all();
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(head)) = connection.head() {
            let target = head.target().to_owned();
            let (status, body) = match target.split('?').next().unwrap_or_default() {
                "/kv-key" => self.key(&target),
                "/kv-range" => (200, self.range(&target)),
                "/kv-watch" => (200, self.watch(&target)),
                _ => (404, "{}".to_owned()),
            };
            let answer = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if connection.send(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn key(&self, target: &str) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        let key = decoded(parameter(target, "tls-key").unwrap_or_default());
        match state.items.get(&key) {
            Some(item) => {
                let text = json(&key, item);
                (200, format!("{},\"at\":{}}}", text.trim_end_matches('}'), state.revision))
            }
            None => (404, format!("{{\"at\":{}}}", state.revision)),
        }
    }

    fn range(&self, target: &str) -> String {
        let state = self.shared.0.lock().unwrap();
        let prefix = decoded(parameter(target, "path-prefix").unwrap_or_default());
        let after = decoded(parameter(target, "after").unwrap_or_default());
        let listed = state.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let listed: Vec<_> = listed.take(PAGE + 1).collect();
        let items: Vec<String> = listed.iter().take(PAGE).map(|(key, item)| json(key, item)).collect();
        format!(
            "{{\"items\":[{}],\"more\":{},\"at\":{}}}",
            items.join(","),
            listed.len() > PAGE,
            state.revision
        )
    }

    fn watch(&self, target: &str) -> String {
        let prefix = decoded(parameter(target, "path-prefix").unwrap_or_default());
        let after: u64 = parameter(target, "after").and_then(|text| text.parse().ok()).unwrap_or_default();
        let wait: u64 = parameter(target, "wait-ms").and_then(|text| text.parse().ok()).unwrap_or_default();
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        loop {
            let events = state.history.iter().filter(|(key, at, _)| *at > after && key.starts_with(&prefix));
            let events: Vec<String> = events.filter_map(|event| event_json(&state, event)).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), state.revision);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn json(key: &str, item: &Item) -> String {
    format!(
        "{{\"tls-key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"made\":{},\"lease\":0}}",
        item.value, item.revision, item.made
    )
}

/// An event, in its newest form; none if a later write of the same item follows.
fn event_json(state: &State, (key, revision, gone): &(String, u64, bool)) -> Option<String> {
    if *gone {
        return Some(format!("{{\"tls-key\":\"{key}\",\"revision\":{revision},\"gone\":true}}"));
    }
    let item = state.items.get(key).filter(|item| item.revision == *revision)?;
    Some(json(key, item))
}

fn decoded(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        let hex = after.get(..2).and_then(|hex| str::from_utf8(hex).ok());
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()).filter(|_| *first == b'%') {
            Some(byte) => {
                bytes.push(byte);
                rest = &after[2..];
            }
            None => {
                bytes.push(*first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
