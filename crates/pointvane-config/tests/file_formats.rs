//! Guards file formats against accidental changes: keys and defaults of settings and options files, and the
//! packed form of configurations, which processes of other versions read.

use {
    googletest::prelude::*,
    pointvane_config::{NodeOptions, pack, read_directory, read_node_options, read_settings, unpack},
    std::{fs, path::PathBuf},
};

/// A packed file set with default values, as it is published.
const PACKED: &str = include_str!("golden/packed.json");
/// The settings read from [`SETTINGS_REQUIRED`], as returned by [`debug_values`].
const SETTINGS_REQUIRED_VALUES: &str = include_str!("golden/settings_defaults.txt");
/// The settings read from [`SETTINGS_ALL`], as returned by [`debug_values`].
const SETTINGS_ALL_VALUES: &str = include_str!("golden/settings_whole.txt");

const SETTINGS_REQUIRED: &str = r#"[vm]
name = "entry-1"
data_centre = "ub-1"
address = "10.0.0.1"
[platform]
address = "10.0.0.100:8500"
configuration_key = "c"
vm_list_key = "v"
"#;

const SETTINGS_ALL: &str = r#"[vm]
name = "entry-9"
data_centre = "ub-2"
address = "10.0.0.9"
[platform]
address = "10.0.0.100:8500"
configuration_key = "c"
vm_list_key = "v"
readers = 5
[mesh]
seeds = ["10.0.0.2:7001"]
probe_interval_ms = 700
suspect_ms = 2500
[entry]
port = 7100
connections_max = 900
head_limit_bytes = 9000
head_timeout_ms = 4000
stop_wait_ms = 5000
worker_threads = 3
[control]
port = 7101
[locate]
port = 7102
addresses_max = 4
[operator]
entry_port = 7110
control_port = 7111
locate_port = 7112
[log]
level = "warning"
format = "json"
"#;

const OPTIONS_ALL: &str = r#"[choice]
policy = "random"
ask_first = 3
ask_more = 5
[admission]
target_share = 2.0
rank_step = 0.5
[repeats]
hedge = false
[lines]
well_every = 7
wrong_per_s = 8
beliefs_per_s = 9
[fleet]
bind_ip = "10.0.0.7"
source_ip = "10.0.0.8"
[callers]
pipeline_requests = 5
pipeline_bytes = 6000
start_wait_ms = 700
"#;

const FLEET: &str = "revision = 3\nentry_vms_max = 18\n";
const SERVICE: &str = r#"name = "dispatch"
path_prefix = "/dispatch"
slots = 6

[[upstream]]
name = "dispatch-1"
data_centre = "ub-1"
address = "10.0.0.7:8080"
"#;

/// A temporary directory of one test, removed on drop.
struct TempDirectory(PathBuf);

impl TempDirectory {
    fn new(name: &str) -> Self {
        let directory = format!("pointvane-formats-{}-{name}", std::process::id());
        let directory = std::env::temp_dir().join(directory);
        fs::create_dir_all(&directory).unwrap();
        Self(directory)
    }

    fn file(&self, name: &str, text: &str) -> PathBuf {
        let file = self.0.join(name);
        fs::create_dir_all(file.parent().unwrap()).unwrap();
        fs::write(&file, text).unwrap();
        file
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        _ = fs::remove_dir_all(&self.0);
    }
}

/// Returns the values of a type's `Debug` output in order, without the names of types and fields, which may
/// change.
fn debug_values(item: &impl std::fmt::Debug) -> String {
    let text = format!("{item:#?}");
    let value = |line: &str| {
        let value = line.split_once(": ").map_or(line, |(_, value)| value).trim();
        let opens = value.ends_with(['{', '(']);
        if opens { value.chars().next_back().map(String::from).unwrap_or_default() } else { value.into() }
    };
    text.lines().map(|line| value(line) + "\n").collect()
}

#[gtest]
fn every_settings_key_is_read_and_the_defaults_are_unchanged() {
    let temp = TempDirectory::new("settings");
    let read_values = |text| debug_values(&read_settings(&temp.file("vm.toml", text)).unwrap());
    expect_that!(read_values(SETTINGS_REQUIRED), eq(SETTINGS_REQUIRED_VALUES));
    expect_that!(read_values(SETTINGS_ALL), eq(SETTINGS_ALL_VALUES));
}

#[gtest]
fn every_options_key_is_read_and_the_defaults_are_unchanged() {
    let temp = TempDirectory::new("options");
    let read = |text| read_node_options(&temp.file("node.toml", text)).unwrap();
    expect_that!(read(""), eq(NodeOptions::default()));
    let options = format!("{:?}", read(OPTIONS_ALL));
    let values = [
        "Random",
        "ask_first: 3",
        "ask_more: 5",
        "2.0",
        "0.5",
        "false",
        ": 7",
        ": 8",
        ": 9",
        "10.0.0.7",
        "10.0.0.8",
        "requests: 5",
        ": 6000",
    ];
    for value in values {
        expect_that!(options, contains_substring(value));
    }
}

#[gtest]
fn a_packed_file_set_matches_the_golden_bytes_and_is_read_back() {
    let temp = TempDirectory::new("packed");
    temp.file("fleet.toml", FLEET);
    temp.file("services/dispatch.toml", SERVICE);
    let configuration = read_directory(&temp.0).unwrap();
    let packed = String::from_utf8(pack(&configuration).unwrap()).unwrap();
    expect_that!(packed, eq(PACKED.trim_end()));
    expect_that!(unpack(PACKED.trim_end().as_bytes()).unwrap().configuration, eq(&configuration));
}
