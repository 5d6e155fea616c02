//! What callers saw, and the promises that it is checked against.

use std::{
    collections::{BTreeMap, HashMap},
    net::Ipv4Addr,
    sync::Mutex,
};

use crate::users_platform::{Message, STAMP, Upstream};

/// A broken promise, in words.
pub type Broken = String;

/// What callers saw.
#[derive(Default)]
pub struct Record {
    seen: Mutex<Seen>,
}

#[derive(Default)]
struct Seen {
    /// Unsafe requests that were told not to have run.
    not_run: Vec<String>,
    /// The newest version that each node has shown in its present life.
    shown: HashMap<Ipv4Addr, Shown>,
    answers: BTreeMap<u16, usize>,
    broken: Vec<Broken>,
}

#[derive(Clone, Copy, Default)]
struct Shown {
    life: u32,
    version: u64,
}

/// What a caller knew when it sent a question about a version.
#[derive(Clone, Copy)]
pub struct Asked {
    pub node: Ipv4Addr,
    pub life: u32,
    pub version: u64,
    shown_before: u64,
}

impl Record {
    /// Takes an answer to an ordinary request.
    pub fn answered(&self, id: &str, repeatable: bool, answer: &Message) {
        let mut seen = self.seen.lock().unwrap();
        *seen.answers.entry(answer.status()).or_default() += 1;
        if answer.header("pointvane-request-id") != Some(id) {
            seen.broken.push(format!("{id}: an answer to {:?}", answer.header("pointvane-request-id")));
        }
        if answer.status() == 200 && (answer.body != b"hello" || answer.header(STAMP) != Some("s")) {
            seen.broken.push(format!("{id}: a success that is not the upstream's whole answer"));
        }
        if matches!(answer.status(), 408 | 421 | 429 | 503) && !repeatable {
            seen.not_run.push(id.into());
        }
        if answer.status() == 404 {
            seen.broken.push(format!("{id}: a route that always stood was denied"));
        }
    }

    /// Notes a question whether a node knows a version.
    pub fn asks(&self, node: Ipv4Addr, life: u32, version: u64) -> Asked {
        let seen = self.seen.lock().unwrap();
        let shown = seen.shown.get(&node).filter(|shown| shown.life == life);
        Asked { node, life, version, shown_before: shown.map_or(0, |shown| shown.version) }
    }

    /// Takes the answer to that question.
    pub fn shows(&self, asked: Asked, status: u16) {
        let mut seen = self.seen.lock().unwrap();
        if status == 404 && asked.version <= asked.shown_before {
            let Asked { node, version, shown_before, .. } = asked;
            seen.broken
                .push(format!("{node} went back behind version {version} after it had shown {shown_before}"));
        }
        if matches!(status, 200 | 502 | 504) {
            let shown = seen.shown.entry(asked.node).or_default();
            if shown.life < asked.life {
                *shown = Shown { life: asked.life, version: 0 };
            }
            if shown.life == asked.life {
                shown.version = shown.version.max(asked.version);
            }
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
