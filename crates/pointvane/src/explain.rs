//! `pointvane explain`: the log lines of one request from the logs of several processes, with the state
//! that the processes handling it had last logged at the time.

use {
    crate::Output,
    serde_json::Value,
    std::{
        collections::BTreeSet,
        fs,
        path::{Path, PathBuf},
        process::ExitCode,
    },
};

/// A parsed log line.
#[derive(Clone, Debug)]
struct LogLine {
    /// The line's timestamp, in a text format that sorts by time.
    at: String,
    /// Name of the VM that wrote it.
    vm: String,
    /// The event's name.
    event: String,
    /// All fields of the line.
    fields: Value,
}

/// Events that change a process's state as a whole, rather than that of one upstream.
const PROCESS_STATE_EVENTS: [&str; 13] = [
    "started",
    "stopping",
    "stopped",
    "reloaded",
    "configuration-accepted",
    "platform-lost",
    "platform-back",
    "platform-read",
    "state-told",
    "platform-called",
    "watch-renewed",
    "item-refused",
    "lines-left-out",
];
/// How many lines of one kind of state change are shown, newest first.
const SHOWN_PER_KIND: usize = 1;
/// Events on the quarantine of a request that crashes upstreams.
const QUARANTINE_EVENTS: [&str; 2] = ["request-quarantined", "quarantine-lifted"];
/// Event on the end of an attempt.
const ATTEMPT_ENDED: &str = "attempt-ended";
/// How many failed attempts of the same request under other request ids are shown, newest first: one more
/// than it takes to quarantine a request by default.
const SHOWN_FAILED_ATTEMPTS: usize = 3;
/// Fields that every line has and that are not shown among the others.
const COMMON_FIELDS: [&str; 6] = ["msg", "level", "ts", "vm", "program", "request"];

/// Prints the lines of a request. The exit code is 1 when there are none and 2 when a file cannot be read.
pub fn show(request: &str, files: &[PathBuf], output: Output) -> ExitCode {
    let mut lines = Vec::new();
    for file in files {
        match read_log(file) {
            Ok(found) => lines.extend(found),
            Err(problem) => {
                eprintln!("{}: {problem}", file.display());
                return ExitCode::from(2);
            }
        }
    }
    lines.sort_by(|a, b| a.at.cmp(&b.at));
    let selected = explain(request, &lines);
    if selected.is_empty() {
        eprintln!("no log line names request {request}; only a sample of successful requests is logged");
        return ExitCode::FAILURE;
    }
    selected.iter().for_each(|line| print_line(line, output));
    ExitCode::SUCCESS
}

fn read_log(file: &Path) -> std::io::Result<Vec<LogLine>> {
    Ok(fs::read_to_string(file)?.lines().filter_map(parse_line).collect())
}

/// Parses a JSON log line; any text before the first brace is ignored.
fn parse_line(text: &str) -> Option<LogLine> {
    let fields: Value = serde_json::from_str(&text[text.find('{')?..]).ok()?;
    let field = |name: &str| Some(fields.get(name)?.as_str()?.to_owned());
    Some(LogLine { at: field("ts")?, vm: field("vm")?, event: field("msg")?, fields })
}

/// Selects the lines of a request, and of the processes that wrote them the last state changes before its
/// last line. The result is sorted by time.
fn explain<'l>(request: &str, lines: &'l [LogLine]) -> Vec<&'l LogLine> {
    let is_own = |line: &&LogLine| line.fields["request"] == request;
    let own: Vec<&LogLine> = lines.iter().filter(is_own).collect();
    let Some(last) = own.last() else {
        return Vec::new();
    };
    let vms: BTreeSet<&str> = own.iter().map(|line| line.vm.as_str()).collect();
    let upstreams: BTreeSet<&str> = own.iter().filter_map(|line| line.fields["upstream"].as_str()).collect();
    let fingerprints: BTreeSet<&str> =
        own.iter().filter_map(|line| line.fields["fingerprint"].as_str()).collect();
    let mut selected = Vec::new();
    for vm in vms {
        let before = || lines.iter().rev().filter(|line| line.vm == vm && line.at <= last.at);
        for kind in PROCESS_STATE_EVENTS {
            selected.extend(before().filter(|line| line.event == kind).take(SHOWN_PER_KIND));
        }
        for upstream in &upstreams {
            let about_upstream =
                |line: &&LogLine| line.event.starts_with("upstream-") && line.fields["upstream"] == *upstream;
            selected.extend(before().filter(about_upstream).take(SHOWN_PER_KIND));
        }
    }
    for fingerprint in fingerprints {
        selected.extend(related_lines(request, fingerprint, lines, &last.at));
    }
    selected.extend(own);
    selected.sort_by(|a, b| a.at.cmp(&b.at));
    selected
}

/// Earlier lines on the same request under other request ids, on any VM: its last quarantine and last failed
/// attempts.
fn related_lines<'l>(
    request: &str,
    fingerprint: &str,
    lines: &'l [LogLine],
    until: &str,
) -> Vec<&'l LogLine> {
    // The part before the hyphen is the same whatever the query and body.
    let prefix = |fingerprint: &str| fingerprint.split('-').next().map(String::from);
    let same = || {
        let before = lines.iter().rev().filter(|line| line.at.as_str() <= until);
        let others = before.filter(|line| line.fields["request"] != request);
        others.filter(|line| line.fields["fingerprint"].as_str().and_then(prefix) == prefix(fingerprint))
    };
    let quarantines = same().filter(|line| QUARANTINE_EVENTS.contains(&line.event.as_str()));
    let attempts = same().filter(|line| line.event == ATTEMPT_ENDED);
    quarantines.take(SHOWN_PER_KIND).chain(attempts.take(SHOWN_FAILED_ATTEMPTS)).collect()
}

fn print_line(line: &LogLine, output: Output) {
    if output == Output::Json {
        return println!("{}", line.fields);
    }
    let fields = line.fields.as_object().into_iter().flatten();
    let selected = fields.filter(|(name, value)| !COMMON_FIELDS.contains(&name.as_str()) && !value.is_null());
    let selected: Vec<String> =
        selected.map(|(name, value)| format!("{name}={}", format_value(value))).collect();
    println!("{} {:<20} {:<24} {}", line.at, line.vm, line.event, selected.join(" "));
    if let Some(sentence) = unavailability(&line.fields) {
        println!("    {sentence}");
    }
}

/// Explains in a sentence why no upstream of a service was available when a request was refused; `None` for
/// other lines.
fn unavailability(fields: &Value) -> Option<String> {
    let number = |name: &str| fields.get(name)?.as_u64();
    let (upstreams, backing_off) = (number("upstreams")?, number("backing_off")?);
    let limited = number("limited").unwrap_or(0);
    let at_limits = match limited {
        0 => String::new(),
        limited => format!(", {limited} at their request limit"),
    };
    let rest = match upstreams.saturating_sub(backing_off + limited) {
        0 => String::new(),
        others => format!(", {others} unavailable for other reasons"),
    };
    let first = number("back_in_ms")
        .map_or(String::new(), |back_in_ms| format!(", the first for another {back_in_ms} ms"));
    Some(format!(
        "no upstream may get work: {backing_off} of {upstreams} backing off{at_limits}{first}{rest}"
    ))
}

fn format_value(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), Into::into)
}
