//! Parsing of the platform's HTTP responses.

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

/// Starts a platform that gives one response, and returns its address.
fn platform(response: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        _ = stream.read(&mut [0; 4_096]).unwrap();
        stream.write_all(response.as_bytes()).unwrap();
    });
    address
}

fn read(response: &'static str) -> std::result::Result<PlatformReading, PlatformError> {
    HttpPlatform::new(platform(response)).watch(&"c".into(), 0)
}

#[gtest]
fn a_response_without_a_value_carries_the_modify_index() {
    let response = "HTTP/1.1 404 Not Found\r\nx-consul-index: 17\r\ncontent-length: 0\r\n\r\n";
    expect_that!(read(response), ok(eq(&PlatformReading { index: 17, value: None })));
}

#[gtest]
fn a_missing_or_malformed_modify_index_is_an_error() {
    let missing = "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";
    let malformed = "HTTP/1.1 404 Not Found\r\nx-consul-index: many\r\ncontent-length: 0\r\n\r\n";
    expect_that!(read(missing), err(eq(&PlatformError::Malformed)));
    expect_that!(read(malformed), err(eq(&PlatformError::Malformed)));
}
