//! Every program tells what it was built from: which code ran can be seen afterwards from its log alone.

mod common;
mod users_platform;

use {
    common::deploy,
    googletest::prelude::*,
    pointvane_standins::deployment::Program,
    serde_json::Value,
    std::{env::consts::ARCH, net::SocketAddr, path::PathBuf, process::Command},
    users_platform::{NodeProcess, Store, call, eventually},
};

const PROGRAMS: [&str; 5] =
    ["pointvane-entry", "pointvane-control", "pointvane-locate", "pointvane-platform-node", "pointvane"];
const NODE_OPERATOR_PORT: u16 = 9_464;

/// What `--version` prints of a program as last built, without the program's name.
fn version(program: &str) -> String {
    let tests = std::env::current_exe().unwrap();
    let path: PathBuf = tests.parent().unwrap().parent().unwrap().join(program);
    let output = Command::new(path).arg("--version").output().unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    text.trim().strip_prefix(&format!("{program} ")).unwrap_or_else(|| panic!("{text}")).into()
}

/// The build as `--version` prints it, from its fields.
fn build_text(build: &Value) -> String {
    let field = |name: &str| build[name].as_str().unwrap_or_default();
    format!("{} ({}, {})", field("version"), field("commit"), field("machine"))
}

fn status_build(address: SocketAddr) -> String {
    let head = "GET /status HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    let status: Value = serde_json::from_slice(&call(address, head).unwrap().body).unwrap();
    build_text(&status["build"])
}

/// Whether a text is an abbreviated commit, or says that none is known.
fn is_commit(text: &str) -> bool {
    let commit = text.strip_suffix("-modified").unwrap_or(text);
    text == "unknown" || (commit.len() >= 8 && commit.bytes().all(|byte| byte.is_ascii_hexdigit()))
}

/// Guards against a program of which nobody can tell which code it is, or for which kind of machine.
#[gtest]
fn every_program_names_its_version_commit_and_machine() {
    for program in PROGRAMS {
        let version = version(program);
        let rest = version.strip_prefix(concat!(env!("CARGO_PKG_VERSION"), " ("));
        let commit = rest.and_then(|rest| rest.strip_suffix(&format!(", {ARCH})")));
        expect_that!(commit.is_some_and(is_commit), eq(true), "{program} {version}");
    }
}

/// Guards against a play whose log does not tell which node ran.
#[gtest]
fn a_node_names_its_build_in_its_first_line_and_its_status() {
    let store = Store::start();
    store.configure(5, &[("/safe/", "safe", 5_000, "app")]);
    let node = NodeProcess::start(&store);
    node.wait_until_ready();
    let version = version("pointvane-platform-node");
    expect_that!(status_build((node.ip, NODE_OPERATOR_PORT).into()), eq(&version));
    let started = || {
        let lines = node.log_lines();
        let line = lines.lines().find(|line| line.contains("\"started\"")).map(str::to_owned);
        line.and_then(|line| serde_json::from_str::<Value>(&line).ok())
    };
    eventually(|| started().is_some());
    expect_that!(build_text(&started().unwrap()), eq(&version));
}

/// Guards against the same with the three programs.
#[gtest]
fn the_three_programs_name_their_build_in_their_status() {
    let deployment = deploy(1, 1, "");
    for (program, name) in [
        (Program::Entry, "pointvane-entry"),
        (Program::Control, "pointvane-control"),
        (Program::Locate, "pointvane-locate"),
    ] {
        expect_that!(status_build(deployment.vms[0].operator(program)), eq(&version(name)), "{name}");
    }
}
