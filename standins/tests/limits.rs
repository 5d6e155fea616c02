//! Upstreams that name in their answers how many requests a second they take from all nodes together.

mod users_platform;

use {
    googletest::prelude::*,
    std::{
        thread,
        time::{Duration, Instant},
    },
    users_platform::{Manner, NodeProcess, Store, Upstream, eventually},
};

const ROUTES: [(&str, &str, u64, &str); 2] =
    [("/safe/", "safe", 5_000, "app"), ("/unsafe/", "unsafe", 5_000, "app")];
/// Window over which the users count requests.
const WINDOW: Duration = Duration::from_secs(4);
/// Multiple of the limit, and requests besides, that an upstream may get in a window.
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Time after an upstream first names a limit from which on it binds all nodes.
const BINDS_AFTER: Duration = Duration::from_secs(3);
/// Pause between two requests of a caller: longer than a load report counts as fresh, so that all upstreams are candidates.
const BETWEEN: Duration = Duration::from_millis(25);

/// Nodes of one fleet before upstreams of one service.
struct Site {
    nodes: Vec<NodeProcess>,
    store: Store,
    upstreams: Vec<Upstream>,
}

impl Site {
    fn start(nodes: usize, manners: &[Manner]) -> Self {
        let store = Store::start();
        store.configure(5, &ROUTES);
        let start = |(number, manner): (usize, &Manner)| Upstream::start(&format!("i-{number}"), *manner);
        let upstreams: Vec<Upstream> = manners.iter().enumerate().map(start).collect();
        upstreams.iter().for_each(|upstream| store.list(upstream, "ready", 1));
        let mut fleet = vec![NodeProcess::start(&store)];
        let seeds = [fleet[0].ip];
        fleet.extend((1..nodes).map(|_| NodeProcess::start_in(&store, &seeds)));
        fleet.iter().for_each(NodeProcess::until_ready);
        let knows_all = |node: &NodeProcess| node.directory().matches(":8144").count() == nodes;
        eventually(|| fleet.iter().all(knows_all));
        Self { nodes: fleet, store, upstreams }
    }

    /// Has a caller of each node send requests for a time; gives their statuses.
    fn send_for(&self, time: Duration) -> Vec<u16> {
        let until = Instant::now() + time;
        let call = |node: &NodeProcess| {
            let mut statuses = Vec::new();
            while Instant::now() < until {
                let (method, path) = [("GET", "/safe/a"), ("POST", "/unsafe/a")][statuses.len() % 2];
                let id = format!("{}-{}", node.ip, statuses.len());
                statuses.push(node.request(method, path, &id, 3_000).unwrap().status());
                thread::sleep(BETWEEN);
            }
            statuses
        };
        thread::scope(|scope| {
            let callers: Vec<_> = self.nodes.iter().map(|node| scope.spawn(move || call(node))).collect();
            callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect()
        })
    }
}

/// The most requests that reached an upstream in some window, from so long after the first on.
fn most_in_window(upstream: &Upstream, after: Duration) -> usize {
    let arrivals: Vec<Instant> = upstream.arrivals.lock().unwrap().iter().map(|(_, at)| *at).collect();
    let Some(from) = arrivals.first().map(|first| *first + after) else { return 0 };
    let bound: Vec<Instant> = arrivals.into_iter().filter(|at| *at >= from).collect();
    let in_window =
        |first: &Instant| bound.iter().filter(|at| (*first..*first + WINDOW).contains(*at)).count();
    bound.iter().map(in_window).max().unwrap_or_default()
}

fn allowed(per_s: f64) -> usize {
    (per_s * WINDOW.as_secs_f64() * OVERSHOOT + SLACK) as usize
}

#[gtest]
fn nodes_together_send_an_upstream_no_more_than_the_limit_that_it_names() {
    let site = Site::start(4, &[Manner::NameLimit { per_1000_s: 2_500 }, Manner::Well, Manner::Well]);
    let statuses = site.send_for(BINDS_AFTER + 2 * WINDOW);
    expect_that!(
        statuses.iter().all(|status| *status == 200),
        eq(true),
        "others serve what it does not take"
    );
    expect_that!(most_in_window(&site.upstreams[0], BINDS_AFTER), le(allowed(2.5)));
    expect_that!(site.upstreams[0].runs(), ge(4), "it is used at all");
    for node in &site.nodes {
        expect_that!(node.lines(), contains_substring("upstream-limit-changed"), "each node knows");
    }
}

#[gtest]
fn where_all_upstreams_are_at_their_limits_callers_are_told_at_once_when_to_retry() {
    let site = Site::start(1, &[Manner::NameLimit { per_1000_s: 500 }]);
    let node = &site.nodes[0];
    // The node waits until it would have heard others.
    thread::sleep(Duration::from_secs(2));
    expect_that!(node.request("GET", "/safe/a", "first", 5_000).unwrap().status(), eq(200));
    eventually(|| node.request("GET", "/safe/a", "next", 5_000).unwrap().status() == 200);
    let began = Instant::now();
    let refused = node.request("GET", "/safe/a", "refused", 5_000).unwrap();
    expect_that!(began.elapsed(), le(Duration::from_millis(300)), "nobody waits for what cannot be served");
    expect_that!(refused.status(), eq(503));
    expect_that!(String::from_utf8_lossy(&refused.body).trim(), eq("upstreams-limited"));
    let retry_after: f64 = refused.header("retry-after").unwrap().parse().unwrap();
    // 2 s between two requests, a quarter of that left to more urgent work, three quarters of the target of 200 ms.
    expect_that!(retry_after, all!(gt(0.0), le(2.65)));
    thread::sleep(Duration::from_secs_f64(retry_after));
    expect_that!(node.request("GET", "/safe/a", "again", 5_000).unwrap().status(), eq(200));
}

#[gtest]
fn an_upstream_that_names_no_limit_any_more_is_used_again_within_two_seconds() {
    let site = Site::start(2, &[Manner::NameLimit { per_1000_s: 1_000 }, Manner::Well]);
    site.send_for(Duration::from_secs(3));
    site.upstreams[0].set(Manner::Well);
    site.send_for(Duration::from_secs(2));
    let before = site.upstreams[0].runs();
    let statuses = site.send_for(Duration::from_secs(2));
    let ran = site.upstreams[0].runs() - before;
    expect_that!(ran * 10, ge(statuses.len()), "of two equal upstreams, {ran} of {}", statuses.len());
}

/// A node that starts knows of no limit, nor of the other nodes.
#[gtest]
fn a_node_that_starts_while_a_limit_holds_sends_no_more_than_what_it_could_not_know() {
    let limit = Manner::NameLimit { per_1000_s: 2_500 };
    let mut site = Site::start(3, &[limit, Manner::Well, Manner::Well]);
    site.send_for(Duration::from_secs(2));
    let last = site.nodes.pop().unwrap();
    drop(last);
    let store = site.store.address;
    let seeds = [site.nodes[0].ip];
    let ip = users_platform::own_address();
    site.nodes.push(NodeProcess::start_at(ip, store, &seeds, users_platform::Log::File));
    site.nodes[2].until_ready();
    site.send_for(Duration::from_secs(6));
    expect_that!(most_in_window(&site.upstreams[0], BINDS_AFTER), le(allowed(2.5)));
}

/// What three callers of a node get in its first second: statuses, and why what was not served was not.
fn first_second(node: &NodeProcess) -> Vec<(u16, String)> {
    let until = Instant::now() + Duration::from_secs(1);
    let call = |caller: usize| {
        let mut statuses = Vec::new();
        while Instant::now() < until {
            let id = format!("{caller}-{}", statuses.len());
            let answer = node.request("GET", "/safe/a", &id, 3_000).unwrap();
            statuses.push((answer.status(), String::from_utf8_lossy(&answer.body).trim().to_owned()));
            thread::sleep(BETWEEN);
        }
        statuses
    };
    thread::scope(|scope| {
        let callers: Vec<_> = (0..3).map(|caller| scope.spawn(move || call(caller))).collect();
        callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect()
    })
}

/// A node that had just started sent an upstream with a limit nothing for 1.5 s, however high the limit and whether or not there were others.
#[gtest]
fn a_node_that_has_just_started_serves_what_a_limit_far_above_its_requests_allows() {
    let store = Store::start();
    store.configure(5, &ROUTES);
    let upstream = Upstream::start("i-0", Manner::NameLimit { per_1000_s: 4_000_000_000 });
    store.list(&upstream, "ready", 1);
    let alone = NodeProcess::start(&store);
    alone.until_ready();
    expect_that!(first_second(&alone), each(eq(&(200, "hello".to_owned()))));
    // Nobody answers at this address: the node does not know whether others live.
    let unheard = NodeProcess::start_in(&store, &[users_platform::own_address()]);
    unheard.until_ready();
    expect_that!(first_second(&unheard), each(eq(&(200, "hello".to_owned()))));
}
