//! A small specification of keys and of configuration spread, searched to the end of its bounded state space.
//!
//! Dropping a guard from the specification must lead to a broken promise, which shows that the search sees it.

use {googletest::prelude::*, pathfinding::prelude::bfs, std::cell::Cell};

/// Guards of the key protocol that the specification can drop.
#[derive(Clone, Copy)]
struct KeyGuards {
    /// An entry runs only keys of its own life.
    own_life: bool,
    /// A key said to be not run is fenced.
    fence: bool,
    /// A key that is running or ran is remembered.
    memory: bool,
}

const ALL: KeyGuards = KeyGuards { own_life: true, fence: true, memory: true };
/// Copies of the request that the caller, or an entry that passes it on, may send.
const COPIES: u8 = 3;
/// Lives of the owning entry.
const LIVES: u8 = 3;
/// Pauses of the owning entry.
const PAUSES: u8 = 2;

/// What the owning entry remembers of the one key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum Memory {
    Nothing,
    InHand,
    Running,
    Ran,
    Fenced,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct KeyState {
    /// Copies not yet sent, and those under way to the owner's address.
    unsent: u8,
    under_way: u8,
    life: u8,
    paused: bool,
    pauses: u8,
    /// The deadline of the copy in hand has passed.
    late: bool,
    memory: Memory,
    runs: u8,
    said_not_run: bool,
}

fn key_start() -> KeyState {
    KeyState {
        unsent: COPIES,
        under_way: 0,
        life: 1,
        paused: false,
        pauses: PAUSES,
        late: false,
        memory: Memory::Nothing,
        runs: 0,
        said_not_run: false,
    }
}

/// All states one step after this one.
fn key_steps(state: &KeyState, guards: KeyGuards) -> Vec<KeyState> {
    let mut next = Vec::new();
    let mut step = |change: &dyn Fn(&mut KeyState)| {
        let mut changed = state.clone();
        change(&mut changed);
        next.push(changed);
    };
    if state.unsent > 0 {
        step(&|s| (s.unsent, s.under_way) = (s.unsent - 1, s.under_way + 1));
    }
    if state.under_way > 0 {
        // A copy may also be lost.
        step(&|s| s.under_way -= 1);
    }
    if state.life < LIVES {
        step(&|s| (s.life, s.memory, s.paused, s.late) = (s.life + 1, Memory::Nothing, false, false));
    }
    if state.paused {
        step(&|s| s.paused = false);
        step(&|s| s.late = true);
        return next;
    }
    if state.pauses > 0 {
        step(&|s| (s.paused, s.pauses) = (true, s.pauses - 1));
    }
    if state.under_way > 0 {
        step(&|s| receive(s, guards));
    }
    match state.memory {
        Memory::InHand if state.late => step(&|s| {
            s.said_not_run = true;
            s.memory = if guards.fence { Memory::Fenced } else { Memory::Nothing };
        }),
        Memory::InHand => step(&|s| (s.memory, s.runs) = (Memory::Running, s.runs + 1)),
        Memory::Running => step(&|s| s.memory = if guards.memory { Memory::Ran } else { Memory::Nothing }),
        Memory::Nothing | Memory::Ran | Memory::Fenced => {}
    }
    next
}

/// The owner reads a copy. The key was made for its first life.
fn receive(state: &mut KeyState, guards: KeyGuards) {
    state.under_way -= 1;
    let mine = state.life == 1 || !guards.own_life;
    match state.memory {
        Memory::Nothing if mine => (state.memory, state.late) = (Memory::InHand, false),
        Memory::Fenced => state.said_not_run = true,
        _ => {}
    }
}

fn key_broken(state: &KeyState) -> bool {
    state.runs > 1 || (state.runs > 0 && state.said_not_run)
}

/// States searched, and whether a broken one was found.
fn search_keys(guards: KeyGuards) -> (usize, bool) {
    let count = Cell::new(0);
    let steps = |state: &KeyState| {
        count.set(count.get() + 1);
        key_steps(state, guards)
    };
    let found = bfs(&key_start(), steps, key_broken).is_some();
    (count.get(), found)
}

#[gtest]
fn keys_run_at_most_once_and_never_after_not_run_in_every_reachable_state() {
    let (states, broken) = search_keys(ALL);
    println!("{states} states of the key protocol");
    expect_that!(broken, eq(false));
    expect_that!(states, gt(500));
}

#[gtest]
fn without_any_one_guard_the_search_finds_a_broken_promise() {
    for guards in [
        KeyGuards { own_life: false, ..ALL },
        KeyGuards { fence: false, ..ALL },
        KeyGuards { memory: false, ..ALL },
    ] {
        expect_that!(search_keys(guards).1, eq(true));
    }
}

/// Guards of the spread of configuration.
#[derive(Clone, Copy)]
struct SpreadGuards {
    /// A value replaces an older one only.
    order: bool,
    /// A new process takes the platform's value only after a peer told what it holds, if one is up.
    ask_peers: bool,
}

const NODES: usize = 3;
const REVISIONS: u8 = 3;
const RESTARTS: u8 = 2;

#[derive(Clone, PartialEq, Eq, Hash)]
struct SpreadState {
    published: u8,
    /// What the platform answers: at most what is published, and older while it is stale.
    answered: u8,
    held: [u8; NODES],
    asked: [bool; NODES],
    restarts: u8,
    went_back: bool,
    /// A new node took an old value from the platform though a peer that is up held a newer one.
    misled: bool,
}

fn spread_start() -> SpreadState {
    SpreadState {
        published: 1,
        answered: 1,
        held: [1; NODES],
        asked: [true; NODES],
        restarts: RESTARTS,
        went_back: false,
        misled: false,
    }
}

fn spread_steps(state: &SpreadState, guards: SpreadGuards) -> Vec<SpreadState> {
    let mut next = Vec::new();
    if state.published < REVISIONS {
        next.push(SpreadState { published: state.published + 1, ..state.clone() });
    }
    // The platform may answer anything that was ever published.
    next.extend((1..=state.published).map(|answered| SpreadState { answered, ..state.clone() }));
    for node in 0..NODES {
        let others = (0..NODES).filter(|&other| other != node);
        let newest_elsewhere = others.clone().map(|other| state.held[other]).max().unwrap_or(0);
        if state.asked[node] || !guards.ask_peers || newest_elsewhere == 0 {
            let mut taken = take(state, guards, node, state.answered);
            taken.misled |= state.held[node] == 0 && taken.held[node] < newest_elsewhere;
            next.push(taken);
        }
        for other in others.filter(|&other| state.held[other] > 0) {
            next.push(take(state, guards, node, state.held[other]));
        }
        if !state.asked[node] {
            // It asks all peers that are up, and takes the newest of what they hold.
            let mut asked = take(state, guards, node, newest_elsewhere);
            asked.asked[node] = true;
            next.push(asked);
        }
        if state.restarts > 0 {
            let mut restarted = SpreadState { restarts: state.restarts - 1, ..state.clone() };
            (restarted.held[node], restarted.asked[node]) = (0, false);
            next.push(restarted);
        }
    }
    next
}

fn take(state: &SpreadState, guards: SpreadGuards, node: usize, revision: u8) -> SpreadState {
    let mut taken = state.clone();
    let held = state.held[node];
    if revision > held || (!guards.order && revision > 0) {
        taken.held[node] = revision;
        taken.went_back |= revision < held;
    }
    taken
}

/// States searched, and whether a broken one was found.
fn search_spread(guards: SpreadGuards) -> (usize, bool) {
    let count = Cell::new(0);
    let steps = |state: &SpreadState| {
        count.set(count.get() + 1);
        spread_steps(state, guards)
    };
    let found = bfs(&spread_start(), steps, |state| state.went_back || state.misled).is_some();
    (count.get(), found)
}

#[gtest]
fn no_node_goes_back_nor_is_misled_in_any_reachable_state() {
    let (states, broken) = search_spread(SpreadGuards { order: true, ask_peers: true });
    println!("{states} states of the spread");
    expect_that!(broken, eq(false));
    expect_that!(states, gt(500));
}

#[gtest]
fn without_order_or_asking_the_search_finds_a_broken_promise() {
    expect_that!(search_spread(SpreadGuards { order: false, ask_peers: true }).1, eq(true));
    expect_that!(search_spread(SpreadGuards { order: true, ask_peers: false }).1, eq(true));
}
