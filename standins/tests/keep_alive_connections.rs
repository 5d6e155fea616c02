//! Many keep-alive connections on one server: none may starve while the others are in use.

use {
    googletest::prelude::*,
    pointvane_standins::deployment::{Deployment, FleetPlan, Plan, ServicePlan},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const CONNECTIONS: usize = 64;
const RESPONSES_PER_CONNECTION: usize = 20;
/// Far longer than any response takes; a starved connection would wait for ever.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Opens all connections together and keeps them in use; returns how many got all their responses.
fn connections_answered(address: SocketAddr, path: &str) -> usize {
    let completed = Arc::new(AtomicUsize::new(0));
    let stop = Arc::new(AtomicBool::new(false));
    let start = |_| {
        let (completed, stop, path) = (Arc::clone(&completed), Arc::clone(&stop), path.to_owned());
        thread::spawn(move || send_until_stopped(address, &path, &completed, &stop))
    };
    let threads: Vec<_> = (0..CONNECTIONS).map(start).collect();
    let until = Instant::now() + TEST_TIMEOUT;
    while completed.load(Ordering::Relaxed) < CONNECTIONS && Instant::now() < until {
        thread::sleep(Duration::from_millis(10));
    }
    let answered = completed.load(Ordering::Relaxed);
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        thread.join().unwrap();
    }
    answered
}

/// Sends requests until every connection has its responses, so that no connection is released for another.
fn send_until_stopped(address: SocketAddr, path: &str, completed: &AtomicUsize, stop: &AtomicBool) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
    let mut responses = 0;
    while !stop.load(Ordering::Relaxed) {
        stream
            .write_all(format!("GET {path} HTTP/1.1\r\nhost: dispatch.example\r\n\r\n").as_bytes())
            .unwrap();
        if !read_response(&mut stream, stop) {
            return;
        }
        responses += 1;
        if responses == RESPONSES_PER_CONNECTION {
            completed.fetch_add(1, Ordering::Relaxed);
        }
        thread::sleep(Duration::from_millis(10));
    }
}

/// Reads one complete response; returns false when the test ends first.
fn read_response(stream: &mut TcpStream, stop: &AtomicBool) -> bool {
    let mut response = Vec::new();
    let mut buffer = [0; 4_096];
    while !stop.load(Ordering::Relaxed) {
        if let Ok(length) = stream.read(&mut buffer) {
            assert_ne!(length, 0, "closed by the server");
            response.extend_from_slice(&buffer[..length]);
        }
        if is_complete(&response) {
            return true;
        }
    }
    false
}

fn is_complete(response: &[u8]) -> bool {
    let text = String::from_utf8_lossy(response);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let lines = head.lines().filter_map(|line| line.split_once(": "));
    let mut lengths = lines.filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    lengths
        .next()
        .map(|(_, value)| value)
        .and_then(|value| value.parse::<usize>().ok())
        .is_some_and(|length| body.len() >= length)
}

#[gtest]
fn no_keep_alive_connection_starves_on_an_entry() {
    let plan = Plan {
        data_centres: 1,
        entries: 1,
        services: vec![ServicePlan { connect_ms: 0.0, ..ServicePlan::default() }],
        fleet: FleetPlan::default(),
        settings: String::new(),
    };
    let deployment = Deployment::start(plan).unwrap();
    let address = deployment.vms[0].entry();
    expect_that!(connections_answered(address, "/dispatch/call?work_ms=0"), eq(CONNECTIONS));
}
