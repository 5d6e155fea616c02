//! Requests whose framing is ambiguous or unknown: an upstream gets the whole body that its caller has sent, or no
//! request at all, and never a request that was hidden in the body of another.

mod common;
mod users_platform;

use {
    common::{deploy, key_prefix, read_response},
    googletest::prelude::*,
    pointvane_core::header,
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        time::Duration,
    },
    users_platform::{HOST, NodeProcess, Store, Upstream, UpstreamBehaviour},
};

const BODY: &str = "GET /safe/hidden HTTP/1.1\r\nhost: app.example\r\npointvane-request-id: hidden\r\n\r\n";
const DEADLINE_MS: u64 = 4_000;

/// What happens to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// It runs with the whole body.
    Runs,
    /// It is refused with this status.
    Refused(u16),
}

/// A request: name, header lines for its body, its body as sent, and its fate.
struct Row {
    name: &'static str,
    lines: String,
    body: String,
    fate: Fate,
}

fn rows() -> Vec<Row> {
    let length = |bytes: usize| format!("content-length: {bytes}\r\n");
    let chunks = "transfer-encoding: chunked\r\n";
    let chunked = format!("{:x}\r\n{BODY}\r\n0\r\n\r\n", BODY.len());
    let plain = |name, lines: String, fate| Row { name, lines, body: BODY.into(), fate };
    let coded = |name, lines: String, fate| Row { name, lines, body: chunked.clone(), fate };
    vec![
        plain("length", length(BODY.len()), Fate::Runs),
        plain("same-length-twice", length(BODY.len()).repeat(2), Fate::Runs),
        plain("two-lengths", length(BODY.len()) + &length(3), Fate::Refused(400)),
        plain("length-with-sign", format!("content-length: +{}\r\n", BODY.len()), Fate::Refused(400)),
        plain("length-no-number", "content-length: many\r\n".into(), Fate::Refused(400)),
        coded("chunks", chunks.into(), Fate::Runs),
        coded("length-then-chunks", length(3) + chunks, Fate::Runs),
        coded("chunks-then-length", chunks.to_owned() + &length(3), Fate::Runs),
        coded("coding-before-chunked", "transfer-encoding: gzip, chunked\r\n".into(), Fate::Refused(501)),
        coded("coding-on-own-line", format!("transfer-encoding: gzip\r\n{chunks}"), Fate::Refused(501)),
        coded("chunked-twice", "transfer-encoding: chunked, chunked\r\n".into(), Fate::Refused(501)),
        coded("chunked-not-last", "transfer-encoding: chunked, identity\r\n".into(), Fate::Refused(400)),
        coded("unknown-coding", "transfer-encoding: compress\r\n".into(), Fate::Refused(400)),
    ]
}

/// Sends a request and returns the status of the response.
fn send(address: SocketAddr, head: &str, row: &Row) -> u16 {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let request = format!("{head}{}\r\n{}", row.lines, row.body);
    stream.write_all(request.as_bytes()).unwrap();
    let status = read_response(&mut stream).status;
    // What would be run behind it is run before its connection ends.
    _ = stream.shutdown(std::net::Shutdown::Write);
    _ = stream.read_to_end(&mut Vec::new());
    status
}

/// Guards against a body that is passed on in a coding that the upstream is not told of, and against a request
/// that is taken out of the body of another.
#[gtest]
fn a_node_passes_a_body_on_whole_or_refuses_it() {
    let store = Store::start();
    let upstream = Upstream::start("i-1", UpstreamBehaviour::Normal);
    store.configure(5, &[("/safe/", "safe", DEADLINE_MS, "app"), ("/unsafe/", "unsafe", DEADLINE_MS, "app")]);
    store.list(&upstream, "ready", 1);
    let node = NodeProcess::start(&store);
    node.wait_until_ready();
    for row in rows() {
        let Row { name, .. } = row;
        let head = format!(
            "POST /unsafe/a HTTP/1.1\r\nhost: {HOST}\r\npointvane-request-id: {name}\r\npointvane-deadline-ms: {DEADLINE_MS}\r\n"
        );
        let runs = upstream.run_count();
        let status = send(node.traffic_address(), &head, &row);
        match row.fate {
            Fate::Runs => {
                expect_that!(status, eq(200), "{name}");
                let last = upstream.last.lock().unwrap().clone();
                expect_that!(last.header("pointvane-request-id"), some(eq(name)));
                expect_that!(String::from_utf8_lossy(&last.body), eq(BODY), "{name}");
            }
            Fate::Refused(expected) => {
                expect_that!(status, eq(expected), "{name}");
                expect_that!(upstream.run_count(), eq(runs), "{name}");
            }
        }
    }
    expect_that!(*upstream.executed_ids.lock().unwrap(), not(contains(eq("hidden"))));
}

/// Guards against the same at an entry.
#[gtest]
fn an_entry_passes_a_body_on_whole_or_refuses_it() {
    let deployment = deploy(1, 1, "");
    let entry = deployment.vms[0].entry();
    let prefix = key_prefix(&deployment, 0);
    for row in rows() {
        let Row { name, .. } = row;
        let head = format!(
            "POST /dispatch/call?work_ms=0 HTTP/1.1\r\nhost: dispatch.example\r\nx-request-id: {name}\r\n{}: {prefix}{name}\r\n",
            header::KEY
        );
        let Fate::Refused(expected) = row.fate else {
            let mut stream = TcpStream::connect(entry).unwrap();
            let request = format!("{head}{}\r\n{}", row.lines, row.body);
            stream.write_all(request.as_bytes()).unwrap();
            // The stand-in repeats the id and the length of the body that it got.
            let response = read_response(&mut stream);
            expect_that!(response.body, starts_with(format!("{name}\n{}\n", BODY.len())), "{response:?}");
            continue;
        };
        expect_that!(send(entry, &head, &row), eq(expected), "{name}");
    }
}
