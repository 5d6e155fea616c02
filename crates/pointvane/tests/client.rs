//! Runs the `pointvane` command-line client as a process.

use {
    googletest::prelude::*,
    std::{
        fs,
        io::{Read, Write},
        net::{SocketAddr, TcpListener},
        path::{Path, PathBuf},
        process::{Command, Output},
        thread,
    },
};

fn client(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_pointvane")).args(arguments).output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

/// Creates a directory with a file set of this revision.
fn file_set(name: &str, revision: &str) -> PathBuf {
    let directory = std::env::temp_dir().join(format!("pointvane-client-{}-{name}", std::process::id()));
    fs::create_dir_all(directory.join("services")).unwrap();
    fs::write(directory.join("fleet.toml"), format!("revision = {revision}\nentry_vms_max = 18\n")).unwrap();
    let service = "name = \"dispatch\"\npath_prefix = \"/dispatch\"\nslots = 6\n\n[[upstream]]\nname = \"d-1\"\ndata_centre = \"ub-1\"\naddress = \"10.0.0.7:80\"\n";
    fs::write(directory.join("services/dispatch.toml"), service).unwrap();
    directory
}

fn path(directory: &Path, file: &str) -> String {
    directory.join(file).to_string_lossy().into_owned()
}

#[gtest]
fn pack_writes_a_set_and_refuses_one_that_is_not_newer() {
    let (directory, value) = (file_set("pack", "3"), path(&file_set("pack", "3"), "value.json"));
    let set = path(&directory, "");
    let packed = client(&["pack", &set, "--out", &value]);
    expect_that!(packed.status.code(), some(eq(0)));
    let again = client(&["pack", &set, "--out", &value, "--newer-than", &value]);
    expect_that!(again.status.code(), some(eq(1)));
    expect_that!(text(&again.stderr), contains_substring("raise revision in fleet.toml"));
    file_set("pack", "4");
    let diff = client(&["diff", &value, &set]);
    expect_that!(text(&diff.stdout), eq("revision: 3 -> 4\n"));
    fs::remove_dir_all(directory).unwrap();
}

#[gtest]
fn check_of_an_invalid_set_exits_with_code_2_in_text_and_json() {
    let directory = file_set("faulty", "\"three\"");
    let set = path(&directory, "");
    let check = client(&["check", &set]);
    expect_that!(check.status.code(), some(eq(2)));
    expect_that!(text(&check.stderr), starts_with("fleet.toml:1: revision: not a whole number"));
    let json = client(&["check", &set, "--output", "json"]);
    let faults: serde_json::Value = serde_json::from_slice(&json.stdout).unwrap();
    expect_that!(faults[0]["line"].as_u64(), some(eq(1)));
    fs::remove_dir_all(directory).unwrap();
}

#[gtest]
fn check_reports_stray_files_and_unknown_keys() {
    let directory = file_set("stray", "3\ncolour = 1");
    fs::write(directory.join("services/portal.yaml"), "").unwrap();
    let set = path(&directory, "");
    let check = client(&["check", &set]);
    expect_that!(check.status.code(), some(eq(2)));
    let expected = "fleet.toml:2: colour: unknown key; remove it, or use one of: control_bytes_per_s, entry_vms_max, \
                    evacuated, key_life_ms, locate_keep_ms, revision\n\
                    services/portal.yaml:1: (file): nothing reads it; rename it to services/portal.toml if it describes \
                    a service, or remove it\n\
                    2 fault(s)\n";
    expect_that!(text(&check.stderr), eq(expected));
    let json = client(&["check", &set, "--output", "json"]);
    let faults: serde_json::Value = serde_json::from_slice(&json.stdout).unwrap();
    expect_that!(faults[1]["file"].as_str(), some(eq("services/portal.yaml")));
    fs::remove_dir_all(directory).unwrap();
}

#[gtest]
fn status_reports_unreachable_addresses() {
    let status = client(&["status", "127.0.0.1:1"]);
    expect_that!(status.status.code(), some(eq(1)));
    expect_that!(text(&status.stdout), contains_substring("127.0.0.1:1: control not reached"));
}

#[gtest]
fn completions_are_printed() {
    expect_that!(text(&client(&["completions", "bash"]).stdout), contains_substring("_pointvane"));
}

#[gtest]
fn explain_merges_the_logs_of_several_processes() {
    let line = |ts: &str, vm: &str, rest: &str| {
        format!("{{\"ts\":\"{ts}\",\"vm\":\"{vm}\",\"program\":\"node\",{rest}}}\n")
    };
    let directory = std::env::temp_dir().join(format!("pointvane-client-{}-explain", std::process::id()));
    fs::create_dir_all(&directory).unwrap();
    let first = [
        line("2026-01-01T00:00:01Z", "a", r#""msg":"configuration-accepted","revision":7,"index":3"#),
        line("2026-01-01T00:00:02Z", "a", r#""msg":"configuration-accepted","revision":9,"index":5"#),
        line(
            "2026-01-01T00:00:03Z",
            "a",
            r#""msg":"attempt-ended","request":"r-1","upstream":"i-1","outcome":"broken""#,
        ),
        line(
            "2026-01-01T00:00:04Z",
            "a",
            r#""msg":"request-refused","request":"r-1","error":"upstream-broken""#,
        ),
        line("2026-01-01T00:00:05Z", "a", r#""msg":"configuration-accepted","revision":11,"index":6"#),
    ];
    let second = [line("2026-01-01T00:00:02Z", "b", r#""msg":"platform-lost""#), "not a line\n".into()];
    fs::write(directory.join("a"), first.concat()).unwrap();
    fs::write(directory.join("b"), second.concat()).unwrap();
    let files = [path(&directory, "a"), path(&directory, "b")];
    let told = client(&["explain", "r-1", &files[0], &files[1]]);
    expect_that!(told.status.code(), some(eq(0)));
    let told = text(&told.stdout);
    expect_that!(told.lines().count(), eq(3), "{told}");
    expect_that!(told, contains_substring("revision=9"));
    expect_that!(told, contains_substring("error=upstream-broken"));
    expect_that!(client(&["explain", "r-2", &files[0]]).status.code(), some(eq(1)));
    expect_that!(client(&["explain", "r-1", "/nowhere"]).status.code(), some(eq(2)));
}

#[gtest]
fn explain_says_why_no_upstream_was_available() {
    let directory = std::env::temp_dir().join(format!("pointvane-client-{}-withheld", std::process::id()));
    fs::create_dir_all(&directory).unwrap();
    let refused = r#"{"ts":"2026-01-01T00:00:04Z","vm":"a","program":"node","msg":"request-refused","request":"r-1","error":"upstreams-backing-off","upstreams":6,"backing_off":5,"back_in_ms":1840}"#;
    fs::write(directory.join("a"), refused).unwrap();
    let told = text(&client(&["explain", "r-1", &path(&directory, "a")]).stdout);
    let sentence = "no upstream may get work: 5 of 6 backing off, the first for another 1840 ms, 1 unavailable for other reasons";
    expect_that!(told, contains_substring(sentence));
}

/// The lines on the crashes have other request ids, since the caller resent the request; the fingerprint
/// connects them.
#[gtest]
fn explain_shows_the_crashes_behind_a_quarantine() {
    let line = |second: u32, vm: &str, rest: &str| {
        format!("{{\"ts\":\"2026-01-01T00:00:0{second}Z\",\"vm\":\"{vm}\",\"program\":\"node\",{rest}}}\n")
    };
    let crashed = r#""msg":"attempt-ended","fingerprint":"f-1","outcome":"crashed""#;
    let file = std::env::temp_dir().join(format!("pointvane-client-{}-quarantine", std::process::id()));
    let lines = [
        line(1, "a", &format!("{crashed},\"request\":\"r-1\",\"upstream\":\"i-1\"")),
        line(2, "b", &format!("{crashed},\"request\":\"r-2\",\"upstream\":\"i-2\"")),
        line(3, "b", r#""msg":"request-quarantined","fingerprint":"f-2","crashes":2,"hold_ms":8000"#),
        line(3, "b", r#""msg":"request-quarantined","fingerprint":"another-2","crashes":2,"hold_ms":8000"#),
        line(
            4,
            "c",
            r#""msg":"request-refused","request":"r-3","error":"request-quarantined","fingerprint":"f-1""#,
        ),
    ];
    fs::write(&file, lines.concat()).unwrap();
    let told = client(&["explain", "r-3", file.to_str().unwrap()]);
    fs::remove_file(&file).unwrap();
    let told = text(&told.stdout);
    expect_that!(told.lines().count(), eq(4), "{told}");
    expect_that!(told, contains_substring("upstream=i-1"));
    expect_that!(told, contains_substring("hold_ms=8000"));
}

/// Starts an operator port that answers `requests` requests: with `events` for `/events` and 404 for any
/// other path.
fn operator_port(events: String, requests: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().take(requests) {
            let mut stream = stream.unwrap();
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                let mut byte = [0];
                stream.read_exact(&mut byte).unwrap();
                head.extend(byte);
            }
            let (status, body) = match head.starts_with(b"GET /events ") {
                true => ("200 OK", events.as_str()),
                false => ("404 Not Found", ""),
            };
            let length = body.len();
            let answer =
                format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}");
            stream.write_all(answer.as_bytes()).unwrap();
        }
    });
    address
}

#[gtest]
fn timeline_shows_upstream_told_in_the_old_and_new_format() {
    let event = |sequence: u64, rest: &str| {
        format!(r#"{{"sequence":{sequence},"at_ms":{sequence},"vm":"vm-1","program":"node","kind":{rest}}}"#)
    };
    let told = |draining: bool, name: &str| {
        format!(r#""upstream-told","service":"board","upstream":"i-7","draining":{draining},"{name}":5"#)
    };
    let events = [
        event(1, r#""started""#),
        event(2, &told(false, "sequence")),
        event(3, &told(true, "entry_sequence")),
        event(4, r#""watch-renewed","revision":7"#),
    ];
    let page = format!(r#"{{"clock_ms":9,"dropped":0,"events":[{}]}}"#, events.join(","));
    // One request for the control's `/status`, then `/events` of three ports, which are all the same here.
    let address = operator_port(page, 4);
    let (control, port) = (address.to_string(), address.port().to_string());
    let arguments = ["timeline", &control, "--entry-port", &port, "--locate-port", &port, "--output", "json"];
    let shown = client(&arguments);
    expect_that!(shown.status.code(), some(eq(0)), "{}", text(&shown.stderr));
    let shown = text(&shown.stdout);
    let lines = shown.lines().map(|line| serde_json::from_str::<serde_json::Value>(line).unwrap());
    let mut found: Vec<_> =
        lines.map(|line| (line["sequence"].as_u64().unwrap(), line["entry_sequence"].as_u64())).collect();
    // The clock offset is measured for each of the three copies, so their order is not determined.
    found.sort();
    found.dedup();
    expect_that!(found, eq(&vec![(1, None), (2, Some(5)), (3, Some(5)), (4, None)]));
}

#[gtest]
fn explain_shows_upstream_told_lines_in_the_old_and_new_format() {
    let directory = std::env::temp_dir().join(format!("pointvane-client-{}-told", std::process::id()));
    fs::create_dir_all(&directory).unwrap();
    let own =
        r#"{"ts":"2026-01-01T00:00:03Z","vm":"a","msg":"attempt-ended","request":"r-1","upstream":"i-1"}"#;
    for told in [r#""sequence":5"#, r#""sequence":2,"sequence":5"#, r#""entry_sequence":5"#] {
        let before = format!(
            r#"{{"ts":"2026-01-01T00:00:01Z","vm":"a","msg":"upstream-told","upstream":"i-1","draining":false,{told}}}"#
        );
        fs::write(directory.join("a"), format!("{before}\n{own}\n")).unwrap();
        let explained = text(&client(&["explain", "r-1", &path(&directory, "a")]).stdout);
        expect_that!(explained.lines().count(), eq(2), "{explained}");
        expect_that!(explained, contains_substring("sequence=5"));
    }
    fs::remove_dir_all(directory).unwrap();
}
