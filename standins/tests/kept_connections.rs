//! Many kept connections on one server: nobody may starve while the others go on.

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
const ANSWERS: usize = 20;
/// Far longer than any answer takes; starved connections wait for ever.
const LIMIT: Duration = Duration::from_secs(20);

/// How many of the connections, opened together and all kept in use, got their answers.
fn connections_answered(address: SocketAddr, path: &str) -> usize {
    let done = Arc::new(AtomicUsize::new(0));
    let over = Arc::new(AtomicBool::new(false));
    let start = |_| {
        let (done, over, path) = (Arc::clone(&done), Arc::clone(&over), path.to_owned());
        thread::spawn(move || keep_calling(address, &path, &done, &over))
    };
    let threads: Vec<_> = (0..CONNECTIONS).map(start).collect();
    let until = Instant::now() + LIMIT;
    while done.load(Ordering::Relaxed) < CONNECTIONS && Instant::now() < until {
        thread::sleep(Duration::from_millis(10));
    }
    let answered = done.load(Ordering::Relaxed);
    over.store(true, Ordering::Relaxed);
    for thread in threads {
        thread.join().unwrap();
    }
    answered
}

/// Calls until all have had their answers, so that no connection is freed for another.
fn keep_calling(address: SocketAddr, path: &str, done: &AtomicUsize, over: &AtomicBool) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
    let mut answers = 0;
    while !over.load(Ordering::Relaxed) {
        stream
            .write_all(format!("GET {path} HTTP/1.1\r\nhost: dispatch.example\r\n\r\n").as_bytes())
            .unwrap();
        if !read_answer(&mut stream, over) {
            return;
        }
        answers += 1;
        if answers == ANSWERS {
            done.fetch_add(1, Ordering::Relaxed);
        }
        thread::sleep(Duration::from_millis(10));
    }
}

/// Reads one whole answer, however long it takes, unless all is over.
fn read_answer(stream: &mut TcpStream, over: &AtomicBool) -> bool {
    let mut answer = Vec::new();
    let mut buffer = [0; 4_096];
    while !over.load(Ordering::Relaxed) {
        if let Ok(length) = stream.read(&mut buffer) {
            assert_ne!(length, 0, "closed by the server");
            answer.extend_from_slice(&buffer[..length]);
        }
        if is_whole(&answer) {
            return true;
        }
    }
    false
}

fn is_whole(answer: &[u8]) -> bool {
    let text = String::from_utf8_lossy(answer);
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
fn no_kept_connection_starves_on_an_entry_or_a_locate() {
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
