//! What several tests of deployments share.
#![allow(dead_code)]

use {
    pointvane_standins::deployment::{Deployment, FleetPlan, Plan, ServicePlan},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        time::Duration,
    },
};

const LIMIT: Duration = Duration::from_secs(20);

/// A small deployment with one service.
pub fn deploy(entries: usize, instances: usize, rules: &str) -> Deployment {
    Deployment::start(plan(entries, instances, rules)).unwrap()
}

/// The plan of a small deployment with one service.
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

/// A request's text.
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

/// An answer as read from a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// 0 if the connection was closed without one.
    pub status: u16,
    /// The head.
    pub head: String,
    /// What came of the body.
    pub body: String,
    /// Whether the body's promised length came.
    pub whole: bool,
}

impl Answer {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|line| line.split_once(": "));
        lines.into_iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }
}

/// Sends a text on a connection of its own and reads the answer to its end.
pub fn call(address: SocketAddr, text: &str) -> Answer {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(LIMIT)).unwrap();
    // A server that refuses early may close before all is written.
    let _ = stream.write_all(text.as_bytes());
    read_answer(&mut stream)
}

/// Reads one answer.
pub fn read_answer(stream: &mut TcpStream) -> Answer {
    let mut bytes = Vec::new();
    let mut buffer = [0; 65_536];
    loop {
        let answer = parse(&bytes);
        if answer.whole {
            return answer;
        }
        match stream.read(&mut buffer) {
            Ok(length) if length > 0 => bytes.extend_from_slice(&buffer[..length]),
            _ => return answer,
        }
    }
}

fn parse(bytes: &[u8]) -> Answer {
    let text = String::from_utf8_lossy(bytes);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return Answer::default();
    };
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let mut answer = Answer { status, head: head.into(), body: body.into(), whole: false };
    let length = answer.header("content-length").and_then(|value| value.parse::<usize>().ok());
    answer.whole = length.is_some_and(|length| body.len() >= length);
    answer
}

/// The key prefix that a VM's entry has now, as its locate tells.
pub fn key_prefix(deployment: &Deployment, vm: usize) -> String {
    let locate = deployment.vms[vm].locate();
    let address = deployment.vms[vm].entry().to_string();
    for _ in 0..200 {
        let answer: serde_json::Value = deployment.admin.json(locate, "/v1/locate?service=dispatch").unwrap();
        let entries = answer["entries"].as_array().unwrap();
        if let Some(entry) = entries.iter().find(|entry| entry["address"] == address.as_str()) {
            return entry["key_prefix"].as_str().unwrap().into();
        }
    }
    panic!("no locate names {address}");
}

/// How often a key was begun, over all upstreams of the first service.
pub fn times_run(deployment: &Deployment, key: &str) -> u32 {
    let service = &deployment.plan.services[0];
    let names = (0..service.instances).map(|number| service.upstream_name(number));
    let done = names.map(|name| deployment.admin.done(deployment.steering(), &name).unwrap());
    done.map(|done| done.keys.get(key).copied().unwrap_or(0)).sum()
}
