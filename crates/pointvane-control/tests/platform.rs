//! What becomes of the platform's answers.

use {
    googletest::prelude::*,
    pointvane_control::HttpPlatform,
    pointvane_core::{Platform, PlatformError, PlatformReading},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener},
        thread,
    },
};

/// A platform that gives one answer.
fn platform(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        _ = stream.read(&mut [0; 4_096]).unwrap();
        stream.write_all(answer.as_bytes()).unwrap();
    });
    address
}

fn read(answer: &'static str) -> std::result::Result<PlatformReading, PlatformError> {
    HttpPlatform::new(platform(answer)).watch(&"c".into(), 0)
}

#[gtest]
fn an_answer_without_a_value_tells_its_write_count() {
    let answer = "HTTP/1.1 404 Not Found\r\nx-consul-index: 17\r\ncontent-length: 0\r\n\r\n";
    expect_that!(read(answer), ok(eq(&PlatformReading { index: 17, value: None })));
}

#[gtest]
fn a_write_count_that_is_missing_or_no_number_is_an_error_and_no_zero() {
    let without = "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";
    let rubbish = "HTTP/1.1 404 Not Found\r\nx-consul-index: many\r\ncontent-length: 0\r\n\r\n";
    expect_that!(read(without), err(eq(&PlatformError::Malformed)));
    expect_that!(read(rubbish), err(eq(&PlatformError::Malformed)));
}
