//! The platform's store: items with revisions, reads by key and by prefix, and watches.

use {
    crate::http::{Head, Reader},
    std::{
        collections::BTreeMap,
        io::Write,
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Condvar, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, (String, u64, u64)>,
    /// Revision, key, and whether the item is gone.
    history: Vec<(u64, String, bool)>,
}

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let store = Self { shared: Arc::default(), address };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || _ = store.serve(stream));
            }
        });
        Ok(store)
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let made = state.items.get(key).map_or(revision, |item| item.2);
        state.items.insert(key.into(), (base64(value.as_bytes()), revision, made));
        state.history.push((revision, key.into(), false));
        self.shared.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.shared.0.lock().unwrap();
        if state.items.remove(key).is_some() {
            state.revision += 1;
            let revision = state.revision;
            state.history.push((revision, key.into(), true));
            self.shared.1.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = Reader::new(stream.try_clone()?);
        let mut writer = stream;
        while let Some(head) = reader.head()? {
            reader.body(&head, false)?;
            let (status, body) = self.answer(&head);
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            writer.write_all(text.as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, head: &Head) -> (u16, String) {
        let (path, query) = head.second().split_once('?').unwrap_or((head.second(), ""));
        let of = |name: &str| {
            let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
            value.map(|value| value.replace("%2F", "/")).unwrap_or_default()
        };
        match path {
            "/kv-key" => self.key(&of("tls-key")),
            "/kv-range" => self.range(&of("path-prefix"), &of("after")),
            "/kv-watch" => {
                let wait = Duration::from_millis(of("wait-ms").parse().unwrap_or(0));
                self.watch(&of("path-prefix"), of("after").parse().unwrap_or(0), wait)
            }
            _ => (404, "{}".into()),
        }
    }

    fn key(&self, key: &str) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        match state.items.get(key) {
            Some(item) => (200, item_json(key, item)),
            None => (404, "{}".into()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        let items = state.items.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<String> = items.map(|(key, item)| item_json(key, item)).collect();
        (200, format!("{{\"items\":[{}],\"more\":false,\"at\":{}}}", items.join(","), state.revision))
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .filter_map(|(revision, key, gone)| match (gone, state.items.get(key)) {
                    (true, _) => Some(format!("{{\"tls-key\":\"{key}\",\"revision\":{revision},\"gone\":true}}")),
                    // An older writing of an item that was written again is told by the newer one.
                    (false, Some(item)) if item.1 == *revision => Some(item_json(key, item)),
                    _ => None,
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (200, format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), state.revision));
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item_json(key: &str, (value, revision, made): &(String, u64, u64)) -> String {
    format!("{{\"tls-key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"made\":{made},\"lease\":0}}")
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = (u32::from(part[0]) << 16)
            | (u32::from(*part.get(1).unwrap_or(&0)) << 8)
            | u32::from(*part.get(2).unwrap_or(&0));
        for place in 0..4 {
            match place <= part.len() {
                true => text.push(SIGNS[(word >> (18 - 6 * place)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}
