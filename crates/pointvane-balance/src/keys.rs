//! Memory of non-repeatable work: at most once, with no shared state.
//!
//! A key names the one entry incarnation that may run it. That incarnation remembers the key until the key's
//! own expiry; a repeat joins the run or gets its answer. After the expiry, or at any other incarnation, the
//! key is never run. So a key runs at most once whatever is lost, paused or cut. A key that was once said to be
//! not run is fenced: a copy that arrives late, as after a pause, is not run either.

use {
    pointvane_core::{ErrorKind, IdempotencyKey, Incarnation, Name},
    std::{
        collections::{BTreeSet, HashMap},
        sync::Arc,
    },
};

/// Size of a [`KeyTable`] and bounds on keys.
#[derive(Clone, Debug)]
pub struct KeyTableOptions {
    /// Most keys remembered; more are refused as not run.
    pub keys_max: usize,
    /// Longest life of a key, in milliseconds.
    pub life_max_ms: u64,
    /// Most bytes of answers kept for repeats.
    pub answer_bytes_max: usize,
}

impl Default for KeyTableOptions {
    fn default() -> Self {
        Self { keys_max: 200_000, life_max_ms: 3_600_000, answer_bytes_max: 32 << 20 }
    }
}

/// An answer kept for repeats.
pub trait Kept {
    /// Its size in memory, in bytes.
    fn size_bytes(&self) -> usize;
}

/// What to do with a request that carries a key. `J` is the shell's handle for one that joins.
#[derive(Debug)]
pub enum KeyDecision<A, J> {
    /// Run it; report the end with [`KeyTable::finish`].
    Run(J),
    /// It waits for the run that is under way.
    Joined,
    /// It ran; this is the answer.
    Replay(Arc<A>),
    /// Refuse it.
    Refuse(ErrorKind),
    /// Pass it on to the entry VM that owns it.
    PassOn {
        /// The owner's name.
        vm: Name,
        /// The only life of the owner that may run it.
        incarnation: Incarnation,
    },
}

/// How a run of a key ended.
#[derive(Debug)]
pub enum KeyEnd<A> {
    /// No byte went to an upstream; from now on the key is fenced, so that none ever will.
    NotRun(ErrorKind),
    /// It ran; the answer may be kept.
    Ran(Option<Arc<A>>),
}

#[derive(Debug)]
enum KeyState<A, J> {
    Running(Vec<J>),
    Ran(Option<Arc<A>>),
    Fenced(ErrorKind),
}

/// The keys of one entry incarnation.
#[derive(Debug)]
pub struct KeyTable<A, J> {
    options: KeyTableOptions,
    vm: Name,
    incarnation: Incarnation,
    states: HashMap<Box<str>, KeyState<A, J>>,
    expiries: BTreeSet<(u64, Box<str>)>,
    answer_bytes: usize,
}

impl<A: Kept, J> KeyTable<A, J> {
    /// An empty table of this incarnation.
    pub fn new(options: KeyTableOptions, vm: Name, incarnation: Incarnation) -> Self {
        let (states, expiries) = (HashMap::new(), BTreeSet::new());
        Self { options, vm, incarnation, states, expiries, answer_bytes: 0 }
    }

    /// Keys remembered.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Decides on a request; `now_ms` counts from the incarnation's start.
    pub fn begin(&mut self, key: &IdempotencyKey, joiner: J, now_ms: u64) -> KeyDecision<A, J> {
        if key.vm != self.vm {
            return KeyDecision::PassOn { vm: key.vm.clone(), incarnation: key.incarnation };
        }
        if key.incarnation != self.incarnation {
            return KeyDecision::Refuse(ErrorKind::KeyOwnerGone);
        }
        self.forget_expired(now_ms);
        if key.expiry_ms <= now_ms {
            return KeyDecision::Refuse(ErrorKind::KeyExpired);
        }
        if key.expiry_ms > now_ms + self.options.life_max_ms {
            // Refused as unknown: later this expiry may lie within the bound.
            return KeyDecision::Refuse(ErrorKind::KeyExpired);
        }
        let id: Box<str> = key.to_string().into();
        let full = self.states.len() >= self.options.keys_max;
        match self.states.get_mut(&id) {
            Some(KeyState::Running(joiners)) => {
                joiners.push(joiner);
                KeyDecision::Joined
            }
            Some(KeyState::Ran(Some(answer))) => KeyDecision::Replay(Arc::clone(answer)),
            Some(KeyState::Ran(None)) => KeyDecision::Refuse(ErrorKind::AnswerNotKept),
            Some(KeyState::Fenced(kind)) => KeyDecision::Refuse(*kind),
            None if full => KeyDecision::Refuse(ErrorKind::KeysFull),
            None => {
                self.expiries.insert((key.expiry_ms, id.clone()));
                self.states.insert(id, KeyState::Running(Vec::new()));
                KeyDecision::Run(joiner)
            }
        }
    }

    /// The kind with which to refuse a request as not run for `kind` before its run begins. The key is fenced
    /// first; if it is another's, or has begun to run, the outcome is unknown.
    pub fn refuse(&mut self, key: &IdempotencyKey, joiner: J, kind: ErrorKind, now_ms: u64) -> ErrorKind {
        match self.begin(key, joiner, now_ms) {
            KeyDecision::Run(_) => {
                self.finish(key, KeyEnd::NotRun(kind));
                kind
            }
            KeyDecision::Refuse(other) => other,
            KeyDecision::Joined | KeyDecision::Replay(_) => ErrorKind::AnswerNotKept,
            KeyDecision::PassOn { .. } => ErrorKind::KeyOwnerGone,
        }
    }

    /// Takes the end of a run and gives back those that joined it, to be told the same.
    pub fn finish(&mut self, key: &IdempotencyKey, end: KeyEnd<A>) -> Vec<J> {
        let id: Box<str> = key.to_string().into();
        // A key that was forgotten meanwhile stays forgotten: its expiry alone keeps it from running.
        if !self.states.contains_key(&id) {
            return Vec::new();
        }
        let state = match end {
            KeyEnd::NotRun(kind) => KeyState::Fenced(kind),
            KeyEnd::Ran(answer) => {
                let kept =
                    answer.filter(|a| self.answer_bytes + a.size_bytes() <= self.options.answer_bytes_max);
                self.answer_bytes += kept.as_ref().map_or(0, |answer| answer.size_bytes());
                KeyState::Ran(kept)
            }
        };
        let before = self.states.insert(id, state);
        match before {
            Some(KeyState::Running(joiners)) => joiners,
            _ => Vec::new(),
        }
    }

    /// Running keys are kept past their expiry so that those who joined still hear of the end.
    fn forget_expired(&mut self, now_ms: u64) {
        let mut running = Vec::new();
        while let Some((expiry_ms, id)) = self.expiries.pop_first() {
            if expiry_ms > now_ms {
                self.expiries.insert((expiry_ms, id));
                break;
            }
            match self.states.get(&id) {
                Some(KeyState::Running(_)) => running.push((expiry_ms, id)),
                Some(KeyState::Fenced(_)) => {
                    self.states.remove(&id);
                }
                Some(KeyState::Ran(answer)) => {
                    self.answer_bytes -= answer.as_ref().map_or(0, |answer| answer.size_bytes());
                    self.states.remove(&id);
                }
                None => {}
            }
        }
        self.expiries.extend(running);
    }
}
