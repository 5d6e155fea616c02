//! Malformed responses of the platform: a reading is the published value, whole, or an error.

use {
    base64::{Engine, engine::general_purpose::STANDARD},
    googletest::prelude::*,
    pointvane_control::HttpPlatform,
    pointvane_core::{Platform, PlatformReading},
    std::{
        io::{Read, Write},
        net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
        thread,
        time::{Duration, Instant},
    },
};

const VALUE: &[u8] = &[7; 3_000];
const INDEX: u64 = 12;
const CHUNKED: &str = "transfer-encoding: chunked\r\n";
/// Time within which a response without end must be given up: less than a watch that hangs may take.
const GIVEN_UP_WITHIN: Duration = Duration::from_secs(13);

/// What a reading of a response may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Seen {
    Whole,
    Error,
    WholeOrError,
}

/// One kind of response.
struct Row {
    name: &'static str,
    bytes: Vec<u8>,
    /// Sent again and again after that, until the client closes.
    repeated: &'static str,
    seen: Seen,
}

fn body() -> String {
    format!(r#"[{{"Value":"{}","ModifyIndex":{INDEX}}}]"#, STANDARD.encode(VALUE))
}

fn chunked(body: &str) -> String {
    let (first, second) = body.split_at(body.len() / 3);
    format!("{:x}\r\n{first}\r\n{:x}\r\n{second}\r\n0\r\n\r\n", first.len(), second.len())
}

fn row(name: &'static str, status: &str, lines: &str, body: &str, seen: Seen) -> Row {
    let bytes = format!("HTTP/1.1 {status}\r\n{lines}\r\n{body}").into_bytes();
    Row { name, bytes, repeated: "", seen }
}

fn rows() -> Vec<Row> {
    let body = body();
    let chunks = chunked(&body);
    let length = |bytes: usize| format!("content-length: {bytes}\r\n");
    let (whole, shorter, longer) = (length(body.len()), length(body.len() - 40), length(body.len() + 40));
    let part = &body[..body.len() - 40];
    let ok = |name, lines: &str, body: &str, seen| row(name, "200 OK", lines, body, seen);
    vec![
        ok("length", &whole, &body, Seen::Whole),
        ok("chunks", CHUNKED, &chunks, Seen::Whole),
        ok("until-close", "", &body, Seen::Whole),
        ok("shorter-length-then-chunks", &(shorter.clone() + CHUNKED), &chunks, Seen::WholeOrError),
        ok("chunks-then-longer-length", &(CHUNKED.to_owned() + &longer), &chunks, Seen::WholeOrError),
        ok("same-length-twice", &whole.repeat(2), &body, Seen::WholeOrError),
        ok("two-lengths", &(whole.clone() + &shorter), &body, Seen::WholeOrError),
        ok("length-no-number", "content-length: many\r\n", &body, Seen::WholeOrError),
        ok("unknown-coding", "transfer-encoding: gzip\r\n", &body, Seen::WholeOrError),
        ok("shorter-length", &shorter, &body, Seen::Error),
        ok("longer-length-closed", &longer, &body, Seen::Error),
        ok("until-close-part", "", part, Seen::Error),
        ok("chunks-closed", CHUNKED, &chunks[..chunks.len() - 60], Seen::Error),
        ok("chunks-spoiled", CHUNKED, &chunks.replace("\r\n0\r\n", "\r\nzz\r\n"), Seen::WholeOrError),
        ok("other-json-behind", &length(body.len() + 2), &(body.clone() + "[]"), Seen::Error),
        row("status-000", "000 OK", &whole, &body, Seen::Error),
        row("status-999", "999 OK", &whole, &body, Seen::Error),
        row("unrequested-upgrade", "101 Switching Protocols", "", "", Seen::Error),
        row("stops-in-head", "200 OK", "x-consul-in", "", Seen::Error),
        Row { repeated: "y", ..ok("endless-header", "x: ", "", Seen::Error) },
        Row { repeated: "[[[[", ..ok("endless-body", "", "", Seen::Error) },
        Row {
            repeated: "HTTP/1.1 103 Early Hints\r\n\r\n",
            ..row("endless-interim", "103 Early Hints", "", "", Seen::Error)
        },
    ]
}

/// Reads the head of a request; false at the end of the connection.
fn read_head(stream: &mut TcpStream) -> bool {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.extend(byte),
            _ => return false,
        }
    }
    true
}

/// Starts a platform that sends the response of a row on its first connection, and sound ones on all others.
fn start_platform(row: &Row) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let (bytes, repeated) = (row.bytes.clone(), row.repeated.repeat(64));
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        if read_head(&mut stream) {
            let mut sent = stream.write_all(&bytes);
            while sent.is_ok() && !repeated.is_empty() {
                sent = stream.write_all(repeated.as_bytes());
            }
        }
        drop(stream);
        let sound = rows().remove(0).bytes;
        for mut stream in listener.incoming().flatten() {
            while read_head(&mut stream) && stream.write_all(&sound).is_ok() {}
        }
    });
    address
}

/// Guards against a part of a value, or another one, that counts as published.
#[gtest]
fn a_reading_of_a_malformed_response_is_whole_or_an_error() {
    let whole = || PlatformReading { index: INDEX, value: Some(VALUE.to_vec()) };
    for row in rows() {
        let platform = HttpPlatform::new(start_platform(&row));
        let began = Instant::now();
        let reading = platform.watch(&"key".into(), 0);
        expect_that!(began.elapsed(), le(GIVEN_UP_WITHIN), "{}", row.name);
        match (&reading, row.seen) {
            (Ok(reading), Seen::Whole | Seen::WholeOrError) => {
                expect_that!(*reading, eq(&whole()), "{}", row.name)
            }
            (reading, seen) => {
                expect_that!(reading.is_err() && seen != Seen::Whole, eq(true), "{}: {reading:?}", row.name);
            }
        }
        println!(
            "{}: {} after {:?}",
            row.name,
            if reading.is_ok() { "whole" } else { "error" },
            began.elapsed()
        );
        // What is left of the response is not taken for the next one.
        let next = platform.watch(&"key".into(), 0).or_else(|_| platform.watch(&"key".into(), 0));
        expect_that!(next.as_ref().ok(), some(eq(&whole())), "{} {next:?}", row.name);
    }
}
