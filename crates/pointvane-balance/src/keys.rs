//! Idempotency keys of non-repeatable requests: at-most-once execution without shared state.
//!
//! A key names the one entry incarnation that may run it. That incarnation remembers the key until the key's
//! expiry; a repeated request joins the run in progress or gets its response. After the expiry, and at any
//! other incarnation, the key is never run. A key therefore runs at most once, whatever is lost, paused or
//! partitioned. A key that has been reported as not run is recorded as such, so that a copy that arrives
//! late, for example after a pause, is not run either.

use {
    pointvane_core::{ErrorKind, IdempotencyKey, Incarnation, Name},
    std::{
        collections::{BTreeSet, HashMap},
        sync::Arc,
    },
};

/// Limits of a [`KeyTable`].
#[derive(Clone, Debug)]
pub struct KeyTableOptions {
    /// Maximum number of remembered keys; further keys are refused with [`ErrorKind::KeysFull`].
    pub keys_max: usize,
    /// Maximum lifetime of a key, in milliseconds.
    pub lifetime_max_ms: u64,
    /// Maximum total size of the stored responses, in bytes.
    pub stored_bytes_max: usize,
}

impl Default for KeyTableOptions {
    fn default() -> Self {
        Self { keys_max: 200_000, lifetime_max_ms: 3_600_000, stored_bytes_max: 32 << 20 }
    }
}

/// A response that can be stored for repeated requests.
pub trait ResponseSize {
    /// Size in memory, in bytes.
    fn size_bytes(&self) -> usize;
}

/// What to do with a request that carries a key. `J` is the caller's handle of the request.
#[derive(Debug)]
pub enum KeyDecision<A, J> {
    /// Run it and report the end with [`KeyTable::finish`].
    Run(J),
    /// The request waits for the run in progress; [`KeyTable::finish`] returns its handle.
    Joined,
    /// The key has run; this is the stored response.
    Replay(Arc<A>),
    /// Refuse the request.
    Refuse(ErrorKind),
    /// Forward the request to the entry VM that owns the key.
    Forward {
        /// Name of the owner.
        vm: Name,
        /// The only incarnation of the owner that may run the key.
        incarnation: Incarnation,
    },
}

/// How the run of a key ended.
#[derive(Debug)]
pub enum KeyOutcome<A> {
    /// No byte was sent to an upstream. The key is recorded as not run and will never run.
    NotRun(ErrorKind),
    /// The key ran; the response, if any, may be stored.
    Ran(Option<Arc<A>>),
}

#[derive(Debug)]
enum KeyRecord<A, J> {
    Running(Vec<J>),
    Completed(Option<Arc<A>>),
    NotRun(ErrorKind),
}

/// The keys of one entry incarnation.
#[derive(Debug)]
pub struct KeyTable<A, J> {
    options: KeyTableOptions,
    vm: Name,
    incarnation: Incarnation,
    records: HashMap<Box<str>, KeyRecord<A, J>>,
    expiries: BTreeSet<(u64, Box<str>)>,
    stored_bytes: usize,
}

impl<A: ResponseSize, J> KeyTable<A, J> {
    /// Creates an empty table for this incarnation.
    pub fn new(options: KeyTableOptions, vm: Name, incarnation: Incarnation) -> Self {
        let (records, expiries) = (HashMap::new(), BTreeSet::new());
        Self { options, vm, incarnation, records, expiries, stored_bytes: 0 }
    }

    /// Number of remembered keys.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Decides on a request. `now_ms` counts from the start of the incarnation.
    pub fn begin(&mut self, key: &IdempotencyKey, waiter: J, now_ms: u64) -> KeyDecision<A, J> {
        if key.vm != self.vm {
            return KeyDecision::Forward { vm: key.vm.clone(), incarnation: key.incarnation };
        }
        if key.incarnation != self.incarnation {
            return KeyDecision::Refuse(ErrorKind::KeyOwnerGone);
        }
        self.remove_expired(now_ms);
        if key.expiry_ms <= now_ms {
            return KeyDecision::Refuse(ErrorKind::KeyExpired);
        }
        if key.expiry_ms > now_ms + self.options.lifetime_max_ms {
            // `KeyExpired` leaves the outcome unknown. The key is not recorded, and a later copy may run when its
            // expiry is within the limit.
            return KeyDecision::Refuse(ErrorKind::KeyExpired);
        }
        let id: Box<str> = key.to_string().into();
        let is_full = self.records.len() >= self.options.keys_max;
        match self.records.get_mut(&id) {
            Some(KeyRecord::Running(waiters)) => {
                waiters.push(waiter);
                KeyDecision::Joined
            }
            Some(KeyRecord::Completed(Some(response))) => KeyDecision::Replay(Arc::clone(response)),
            Some(KeyRecord::Completed(None)) => KeyDecision::Refuse(ErrorKind::AnswerNotKept),
            Some(KeyRecord::NotRun(kind)) => KeyDecision::Refuse(*kind),
            None if is_full => KeyDecision::Refuse(ErrorKind::KeysFull),
            None => {
                self.expiries.insert((key.expiry_ms, id.clone()));
                self.records.insert(id, KeyRecord::Running(Vec::new()));
                KeyDecision::Run(waiter)
            }
        }
    }

    /// Returns the error with which to refuse a request as not run because of `kind`, before its run begins.
    /// The key is recorded as not run first. If another entry VM owns the key or its run has begun, the
    /// returned kind says that the outcome is unknown.
    pub fn refuse(&mut self, key: &IdempotencyKey, waiter: J, kind: ErrorKind, now_ms: u64) -> ErrorKind {
        match self.begin(key, waiter, now_ms) {
            KeyDecision::Run(_) => {
                self.finish(key, KeyOutcome::NotRun(kind));
                kind
            }
            KeyDecision::Refuse(recorded) => recorded,
            KeyDecision::Joined | KeyDecision::Replay(_) => ErrorKind::AnswerNotKept,
            KeyDecision::Forward { .. } => ErrorKind::KeyOwnerGone,
        }
    }

    /// Records the end of a run and returns the handles of the requests that joined it, which get the same
    /// result.
    pub fn finish(&mut self, key: &IdempotencyKey, end: KeyOutcome<A>) -> Vec<J> {
        let id: Box<str> = key.to_string().into();
        // The key may have been removed meanwhile. It is not added again; its expiry alone prevents another
        // run.
        if !self.records.contains_key(&id) {
            return Vec::new();
        }
        let record = match end {
            KeyOutcome::NotRun(kind) => KeyRecord::NotRun(kind),
            KeyOutcome::Ran(response) => {
                let stored =
                    response.filter(|a| self.stored_bytes + a.size_bytes() <= self.options.stored_bytes_max);
                self.stored_bytes += stored.as_ref().map_or(0, |response| response.size_bytes());
                KeyRecord::Completed(stored)
            }
        };
        let previous = self.records.insert(id, record);
        match previous {
            Some(KeyRecord::Running(waiters)) => waiters,
            _ => Vec::new(),
        }
    }

    /// Removes expired keys. Running keys stay, so that requests that joined them still get the result.
    fn remove_expired(&mut self, now_ms: u64) {
        let mut running = Vec::new();
        while let Some((expiry_ms, id)) = self.expiries.pop_first() {
            if expiry_ms > now_ms {
                self.expiries.insert((expiry_ms, id));
                break;
            }
            match self.records.get(&id) {
                Some(KeyRecord::Running(_)) => running.push((expiry_ms, id)),
                Some(KeyRecord::NotRun(_)) => {
                    self.records.remove(&id);
                }
                Some(KeyRecord::Completed(response)) => {
                    self.stored_bytes -= response.as_ref().map_or(0, |response| response.size_bytes());
                    self.records.remove(&id);
                }
                None => {}
            }
        }
        self.expiries.extend(running);
    }
}
