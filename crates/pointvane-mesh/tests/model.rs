//! Models of the request-key protocol and of configuration replication, checked by exhaustive search of their
//! bounded state spaces.
//!
//! For each guard of a model, the search must find a violated invariant once the guard is dropped, which
//! shows that it can detect violations.

use {googletest::prelude::*, pathfinding::prelude::bfs, std::cell::Cell};

/// Guards of the key protocol; the model can drop each of them.
#[derive(Clone, Copy)]
struct KeyGuards {
    /// An entry runs only keys of its own incarnation.
    own_incarnation: bool,
    /// A key that was reported as not run is fenced, so that a later copy does not run.
    fence: bool,
    /// A key that is running or has run stays recorded.
    record: bool,
}

const ALL: KeyGuards = KeyGuards { own_incarnation: true, fence: true, record: true };
/// Number of copies of the request that the caller, or an entry that forwards it, may send.
const COPIES: u8 = 3;
/// Number of incarnations of the owning entry.
const INCARNATIONS: u8 = 3;
/// Number of pauses of the owning entry.
const PAUSES: u8 = 2;

/// The owning entry's record of the key; the model has a single key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum Record {
    Nothing,
    Accepted,
    Running,
    Ran,
    Fenced,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct KeyState {
    /// Copies not sent yet.
    unsent: u8,
    /// Copies in flight to the owner's address.
    in_flight: u8,
    incarnation: u8,
    paused: bool,
    pauses: u8,
    /// Whether the deadline of the accepted copy has passed.
    late: bool,
    record: Record,
    runs: u8,
    reported_not_run: bool,
}

fn key_start() -> KeyState {
    KeyState {
        unsent: COPIES,
        in_flight: 0,
        incarnation: 1,
        paused: false,
        pauses: PAUSES,
        late: false,
        record: Record::Nothing,
        runs: 0,
        reported_not_run: false,
    }
}

/// Returns all successors of a state.
fn key_successors(state: &KeyState, guards: KeyGuards) -> Vec<KeyState> {
    let mut next = Vec::new();
    let mut step = |change: &dyn Fn(&mut KeyState)| {
        let mut changed = state.clone();
        change(&mut changed);
        next.push(changed);
    };
    if state.unsent > 0 {
        step(&|s| (s.unsent, s.in_flight) = (s.unsent - 1, s.in_flight + 1));
    }
    if state.in_flight > 0 {
        // A copy may also be lost.
        step(&|s| s.in_flight -= 1);
    }
    if state.incarnation < INCARNATIONS {
        step(&|s| {
            (s.incarnation, s.record, s.paused, s.late) = (s.incarnation + 1, Record::Nothing, false, false)
        });
    }
    if state.paused {
        step(&|s| s.paused = false);
        step(&|s| s.late = true);
        return next;
    }
    if state.pauses > 0 {
        step(&|s| (s.paused, s.pauses) = (true, s.pauses - 1));
    }
    if state.in_flight > 0 {
        step(&|s| receive(s, guards));
    }
    match state.record {
        Record::Accepted if state.late => step(&|s| {
            s.reported_not_run = true;
            s.record = if guards.fence { Record::Fenced } else { Record::Nothing };
        }),
        Record::Accepted => step(&|s| (s.record, s.runs) = (Record::Running, s.runs + 1)),
        Record::Running => step(&|s| s.record = if guards.record { Record::Ran } else { Record::Nothing }),
        Record::Nothing | Record::Ran | Record::Fenced => {}
    }
    next
}

/// The owner receives a copy. The key belongs to its first incarnation.
fn receive(state: &mut KeyState, guards: KeyGuards) {
    state.in_flight -= 1;
    let is_own = state.incarnation == 1 || !guards.own_incarnation;
    match state.record {
        Record::Nothing if is_own => (state.record, state.late) = (Record::Accepted, false),
        Record::Fenced => state.reported_not_run = true,
        _ => {}
    }
}

fn key_invariant_violated(state: &KeyState) -> bool {
    state.runs > 1 || (state.runs > 0 && state.reported_not_run)
}

/// Searches the state space; returns the number of states visited and whether one violates the invariant.
fn search_keys(guards: KeyGuards) -> (usize, bool) {
    let count = Cell::new(0);
    let steps = |state: &KeyState| {
        count.set(count.get() + 1);
        key_successors(state, guards)
    };
    let found = bfs(&key_start(), steps, key_invariant_violated).is_some();
    (count.get(), found)
}

#[gtest]
fn keys_run_at_most_once_and_never_after_not_run_in_every_reachable_state() {
    let (states, violated) = search_keys(ALL);
    println!("{states} states of the key protocol");
    expect_that!(violated, eq(false));
    expect_that!(states, gt(500));
}

#[gtest]
fn dropping_any_guard_of_keys_violates_the_invariant() {
    for guards in [
        KeyGuards { own_incarnation: false, ..ALL },
        KeyGuards { fence: false, ..ALL },
        KeyGuards { record: false, ..ALL },
    ] {
        expect_that!(search_keys(guards).1, eq(true));
    }
}

/// Guards of configuration replication; the model can drop each of them.
#[derive(Clone, Copy)]
struct ReplicationGuards {
    /// A value replaces only an older one.
    order: bool,
    /// A new process accepts the platform's value only after a peer, if one is up, has answered with the
    /// value it holds.
    query_peers: bool,
}

const NODES: usize = 3;
const REVISIONS: u8 = 3;
const RESTARTS: u8 = 2;

#[derive(Clone, PartialEq, Eq, Hash)]
struct ReplicationState {
    published: u8,
    /// The revision that the platform answers with: the published one, or an older one while the platform is
    /// stale.
    answered: u8,
    held: [u8; NODES],
    queried: [bool; NODES],
    restarts: u8,
    reverted: bool,
    /// A new node took a stale value from the platform while a running peer held a newer one.
    took_stale: bool,
}

fn replication_start() -> ReplicationState {
    ReplicationState {
        published: 1,
        answered: 1,
        held: [1; NODES],
        queried: [true; NODES],
        restarts: RESTARTS,
        reverted: false,
        took_stale: false,
    }
}

fn replication_successors(state: &ReplicationState, guards: ReplicationGuards) -> Vec<ReplicationState> {
    let mut next = Vec::new();
    if state.published < REVISIONS {
        next.push(ReplicationState { published: state.published + 1, ..state.clone() });
    }
    // The platform may answer with any revision that was ever published.
    next.extend((1..=state.published).map(|answered| ReplicationState { answered, ..state.clone() }));
    for node in 0..NODES {
        let others = (0..NODES).filter(|&other| other != node);
        let newest_elsewhere = others.clone().map(|other| state.held[other]).max().unwrap_or(0);
        if state.queried[node] || !guards.query_peers || newest_elsewhere == 0 {
            let mut taken = take(state, guards, node, state.answered);
            taken.took_stale |= state.held[node] == 0 && taken.held[node] < newest_elsewhere;
            next.push(taken);
        }
        for other in others.filter(|&other| state.held[other] > 0) {
            next.push(take(state, guards, node, state.held[other]));
        }
        if !state.queried[node] {
            // The node queries all running peers and takes the newest value.
            let mut queried = take(state, guards, node, newest_elsewhere);
            queried.queried[node] = true;
            next.push(queried);
        }
        if state.restarts > 0 {
            let mut restarted = ReplicationState { restarts: state.restarts - 1, ..state.clone() };
            (restarted.held[node], restarted.queried[node]) = (0, false);
            next.push(restarted);
        }
    }
    next
}

fn take(state: &ReplicationState, guards: ReplicationGuards, node: usize, revision: u8) -> ReplicationState {
    let mut taken = state.clone();
    let held = state.held[node];
    if revision > held || (!guards.order && revision > 0) {
        taken.held[node] = revision;
        taken.reverted |= revision < held;
    }
    taken
}

/// Searches the state space; returns the number of states visited and whether one violates the invariant.
fn search_replication(guards: ReplicationGuards) -> (usize, bool) {
    let count = Cell::new(0);
    let steps = |state: &ReplicationState| {
        count.set(count.get() + 1);
        replication_successors(state, guards)
    };
    let found = bfs(&replication_start(), steps, |state| state.reverted || state.took_stale).is_some();
    (count.get(), found)
}

#[gtest]
fn no_node_reverts_or_takes_a_stale_value_in_any_reachable_state() {
    let (states, violated) = search_replication(ReplicationGuards { order: true, query_peers: true });
    println!("{states} states of the replication");
    expect_that!(violated, eq(false));
    expect_that!(states, gt(500));
}

#[gtest]
fn dropping_any_guard_of_replication_violates_the_invariant() {
    expect_that!(search_replication(ReplicationGuards { order: false, query_peers: true }).1, eq(true));
    expect_that!(search_replication(ReplicationGuards { order: true, query_peers: false }).1, eq(true));
}
