//! What callers and upstreams saw, and the promises that it is checked against.

use {
    crate::{
        shown::Shown,
        users_platform::{Message, STAMP, Upstream},
    },
    std::{
        collections::{BTreeMap, HashMap},
        sync::Mutex,
    },
};

/// A broken promise, in words.
pub type Broken = String;

/// What callers saw.
#[derive(Default)]
pub struct Record {
    pub shown: Shown,
    seen: Mutex<Seen>,
}

#[derive(Default)]
struct Seen {
    /// Unsafe requests that were told not to have run.
    not_run: Vec<String>,
    answers: BTreeMap<u16, usize>,
    broken: Vec<Broken>,
}

impl Record {
    /// Takes an answer to an ordinary request: a proper one, on a route that stands in all versions.
    pub fn answered(&self, id: &str, repeatable: bool, answer: &Message) {
        let mut seen = self.seen.lock().unwrap();
        let status = answer.status();
        *seen.answers.entry(status).or_default() += 1;
        if answer.header("pointvane-request-id") != Some(id) {
            seen.broken.push(format!("{id}: an answer to {:?}", answer.header("pointvane-request-id")));
        }
        if status == 200 && (answer.body != b"hello" || answer.header(STAMP) != Some("s")) {
            seen.broken.push(format!("{id}: a success that is not the upstream's whole answer"));
        }
        if matches!(status, 408 | 421 | 429 | 503) && !repeatable {
            seen.not_run.push(id.into());
        }
        if (300..500).contains(&status) && !matches!(status, 408 | 421 | 429) {
            seen.broken.push(format!("{id}: a proper request on a route that always stood got {status}"));
        }
    }

    /// Notes what broke by other words.
    pub fn broke(&self, what: Broken) {
        self.seen.lock().unwrap().broken.push(what);
    }

    /// All broken promises, with what the upstreams ran.
    pub fn broken(&self, upstreams: &[Upstream]) -> Vec<Broken> {
        let mut runs: HashMap<String, usize> = HashMap::new();
        for upstream in upstreams {
            upstream.ran.lock().unwrap().iter().for_each(|id| *runs.entry(id.clone()).or_default() += 1);
        }
        let seen = self.seen.lock().unwrap();
        let mut broken = seen.broken.clone();
        broken.extend(self.shown.broken());
        let twice = runs.iter().filter(|(id, runs)| id.starts_with("unsafe") && **runs > 1);
        broken.extend(twice.map(|(id, runs)| format!("{id} ran {runs} times")));
        let lied = seen.not_run.iter().filter(|id| runs.contains_key(*id));
        broken.extend(lied.map(|id| format!("{id} was told not to have run, and ran")));
        broken
    }

    /// Answers by status.
    pub fn answers(&self) -> BTreeMap<u16, usize> {
        self.seen.lock().unwrap().answers.clone()
    }
}
