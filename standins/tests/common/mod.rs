//! Helpers shared by the tests that run a whole deployment.
#![allow(dead_code)]

use {
    pointvane_standins::deployment::{Deployment, FleetPlan, Plan, ServicePlan},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        time::Duration,
    },
};

const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// A small deployment with one service.
pub fn deploy(entries: usize, instances: usize, rules: &str) -> Deployment {
    Deployment::start(plan(entries, instances, rules)).unwrap()
}

/// Plan of a small deployment with one service.
pub fn plan(entries: usize, instances: usize, rules: &str) -> Plan {
    let service = ServicePlan { instances, rules: rules.into(), connect_ms: 0.0, ..ServicePlan::default() };
    Plan {
        data_centres: 3.min(entries),
        entries,
        services: vec![service],
        fleet: FleetPlan::default(),
        settings: "[entry]\nhead_timeout_ms = 1000\n".into(),
    }
}

/// Formats an HTTP/1.1 request.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> String {
    let mut text = format!("{method} {path} HTTP/1.1\r\nhost: dispatch.example\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() {
        text += &format!("content-length: {}\r\n", body.len());
    }
    text + "\r\n" + body
}

/// An HTTP response as read from a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// Status code; 0 if the connection was closed before a complete head arrived.
    pub status: u16,
    /// Status line and headers.
    pub head: String,
    /// The part of the body that was received.
    pub body: String,
    /// Whether the body is as long as `content-length` says.
    pub is_complete: bool,
}

impl Response {
    /// Returns the value of a header; names are compared without case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|line| line.split_once(": "));
        lines.into_iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }
}

/// Sends a request on a new connection and reads the whole response.
pub fn call(address: SocketAddr, text: &str) -> Response {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    // A server that rejects the request early may close before all of it is written.
    let _ = stream.write_all(text.as_bytes());
    read_response(&mut stream)
}

/// Reads one response.
pub fn read_response(stream: &mut TcpStream) -> Response {
    let mut bytes = Vec::new();
    let mut buffer = [0; 65_536];
    loop {
        let response = parse(&bytes);
        if response.is_complete {
            return response;
        }
        match stream.read(&mut buffer) {
            Ok(length) if length > 0 => bytes.extend_from_slice(&buffer[..length]),
            _ => return response,
        }
    }
}

fn parse(bytes: &[u8]) -> Response {
    let text = String::from_utf8_lossy(bytes);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return Response::default();
    };
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let mut response = Response { status, head: head.into(), body: body.into(), is_complete: false };
    let length = response.header("content-length").and_then(|value| value.parse::<usize>().ok());
    response.is_complete = length.is_some_and(|length| body.len() >= length);
    response
}

/// Returns the current key prefix of a VM's entry as reported by its locate program.
pub fn key_prefix(deployment: &Deployment, vm: usize) -> String {
    let locate = deployment.vms[vm].locate();
    let address = deployment.vms[vm].entry().to_string();
    for _ in 0..200 {
        let response: serde_json::Value =
            deployment.admin.json(locate, "/v1/locate?service=dispatch").unwrap();
        let entries = response["entries"].as_array().unwrap();
        if let Some(entry) = entries.iter().find(|entry| entry["address"] == address.as_str()) {
            return entry["key_prefix"].as_str().unwrap().into();
        }
    }
    panic!("no locate names {address}");
}

/// Counts how often a request with this idempotency key was started, over all upstreams of the first service.
pub fn run_count(deployment: &Deployment, key: &str) -> u32 {
    let service = &deployment.plan.services[0];
    let names = (0..service.instances).map(|number| service.upstream_name(number));
    let records =
        names.map(|name| deployment.admin.records(deployment.upstream_control_address(), &name).unwrap());
    records.map(|records| records.keys.get(key).copied().unwrap_or(0)).sum()
}
