//! Validation, packing and comparison of file sets, and validation of settings files.

use {
    googletest::prelude::*,
    pointvane_config::{
        Configuration, Fault, PACKED_LIMIT_BYTES, PackError, Policy, check_directory, diff, pack,
        read_directory, read_settings, unpack,
    },
    std::{
        fs,
        path::PathBuf,
        sync::atomic::{AtomicUsize, Ordering},
    },
};

static NEXT_DIRECTORY: AtomicUsize = AtomicUsize::new(0);

const FLEET: &str = "revision = 3\nentry_vms_max = 18\n";
const SERVICE: &str = r#"name = "dispatch"
path_prefix = "/dispatch"
slots = 6

[[upstream]]
name = "dispatch-1"
data_centre = "ub-1"
address = "10.0.0.7:8080"
"#;

/// A temporary directory with the files of one test, removed on drop.
struct Files(PathBuf);

impl Files {
    fn new(name: &str, files: &[(&str, &str)]) -> Self {
        // Tests run in parallel and several use the same name, so the number keeps their directories apart.
        let number = NEXT_DIRECTORY.fetch_add(1, Ordering::Relaxed);
        let directory = format!("pointvane-files-{}-{name}-{number}", std::process::id());
        let directory = std::env::temp_dir().join(directory);
        fs::create_dir_all(directory.join("services")).unwrap();
        for (file, text) in files {
            let file = directory.join(file);
            fs::create_dir_all(file.parent().unwrap()).unwrap();
            fs::write(file, text).unwrap();
        }
        Self(directory)
    }

    fn read(&self) -> std::result::Result<Configuration, Vec<(String, usize, String)>> {
        read_directory(&self.0).map_err(|faults| {
            let faults = faults.0.into_iter();
            faults.map(|fault| (fault.file.to_string(), fault.line, fault.key)).collect()
        })
    }
}

impl Drop for Files {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn valid_configuration() -> Configuration {
    Files::new("good", &[("fleet.toml", FLEET), ("services/dispatch.toml", SERVICE)]).read().unwrap()
}

#[gtest]
fn a_valid_file_set_is_read_with_its_defaults() {
    let configuration = valid_configuration();
    expect_that!(configuration.revision, eq(3));
    let service = &configuration.services[0];
    expect_that!(service.policy, eq(Policy::Shared));
    expect_that!(service.upstreams[0].slots, eq(6));
}

#[gtest]
fn ten_faults_are_reported_at_once_each_with_its_line() {
    let fleet =
        "revision = 0\nentry_vms_max = \"many\"\ncolour = 1\nlocate_keep_ms = 5000\nkey_life_ms = 1000\n";
    let service = r#"name = "dispatch"
path_prefix = "dispatch"
slots = 0
policy = "cleverest"

[[upstream]]
name = "dispatch-1"
data_centre = "ub-1"
address = "10.0.0.7"

[[upstream]]
name = "dispatch-1"
data_centre = "ub-1"
address = "10.0.0.8:8080"

[load]
probes_per_s = 0.0001
"#;
    let files = Files::new("ten", &[("fleet.toml", fleet), ("services/dispatch.toml", service)]);
    let faults = files.read().unwrap_err();
    let expected = [
        ("fleet.toml", 1, "revision"),
        ("fleet.toml", 2, "entry_vms_max"),
        ("fleet.toml", 3, "colour"),
        ("fleet.toml", 5, "key_life_ms"),
        ("services/dispatch.toml", 2, "path_prefix"),
        ("services/dispatch.toml", 3, "slots"),
        ("services/dispatch.toml", 4, "policy"),
        ("services/dispatch.toml", 9, "upstream[0].address"),
        ("services/dispatch.toml", 12, "upstream[1].name"),
        ("services/dispatch.toml", 17, "load.probes_per_s"),
    ];
    let expected: Vec<_> = expected.map(|(file, line, key)| (file.to_owned(), line, key.to_owned())).into();
    expect_that!(faults, eq(&expected));
}

#[gtest]
fn services_with_the_same_name_route_or_upstream_are_refused() {
    let files = [("fleet.toml", FLEET), ("services/a.toml", SERVICE), ("services/b.toml", SERVICE)];
    let faults = Files::new("twins", &files).read().unwrap_err();
    let keys: Vec<_> = faults.iter().map(|(_, _, key)| key.as_str()).collect();
    expect_that!(keys, eq(&vec!["name", "path_prefix", "upstream[0].address"]));
}

#[gtest]
fn a_syntax_error_is_a_fault_with_its_line() {
    let files = [("fleet.toml", "revision = 3\nentry_vms_max = = 18\n"), ("services/dispatch.toml", SERVICE)];
    let faults = Files::new("syntax", &files).read().unwrap_err();
    expect_that!(faults[0].1, eq(1).or(eq(2)));
    expect_that!(faults.iter().any(|(_, line, key)| *line == 2 && key == "(syntax)"), eq(true));
}

#[gtest]
fn truncated_and_altered_packed_values_are_refused() {
    let value = pack(&valid_configuration()).unwrap();
    expect_that!(unpack(&value).unwrap().configuration, eq(&valid_configuration()));
    for length in 0..value.len() {
        expect_that!(unpack(&value[..length]), err(anything()));
    }
    let altered = String::from_utf8(value).unwrap().replace("10.0.0.7", "10.0.0.9");
    expect_that!(unpack(altered.as_bytes()), err(eq(&PackError::DigestMismatch)));
}

#[gtest]
fn a_value_over_the_platform_size_limit_is_refused() {
    let mut configuration = valid_configuration();
    let upstream = configuration.services[0].upstreams[0].clone();
    configuration.services[0].upstreams = vec![upstream; PACKED_LIMIT_BYTES / 60];
    expect_that!(pack(&configuration), err(matches_pattern!(PackError::TooLarge { .. })));
}

#[gtest]
fn differences_are_described_as_text() {
    let (old, mut new) = (valid_configuration(), valid_configuration());
    new.revision = 4;
    new.services[0].upstreams[0].slots = 8;
    new.services[0].policy = Policy::Random;
    let changes: Vec<_> = diff(&old, &new).iter().map(ToString::to_string).collect();
    let expected = [
        "revision: 3 -> 4",
        "service dispatch: rules changed",
        "service dispatch upstream dispatch-1: 10.0.0.7:8080 with 6 slots -> 10.0.0.7:8080 with 8 slots",
    ];
    expect_that!(changes, eq(&expected.map(str::to_owned).to_vec()));
}

#[gtest]
fn settings_faults_name_file_line_key_and_remedy() {
    let text = "[vm]\nname = \"entry 1\"\ndata_centre = \"ub-1\"\naddress = \"here\"\n\n[platform]\naddress = \"10.0.0.100:8500\"\nconfiguration_key = \"c\"\nvm_list_key = \"v\"\n\n[entry]\nport = 70000\n";
    let files = Files::new("settings", &[("vm.toml", text)]);
    let faults = read_settings(&files.0.join("vm.toml")).unwrap_err();
    let found: Vec<_> = faults.0.iter().map(|fault| (fault.line, fault.key.as_str())).collect();
    expect_that!(found, eq(&vec![(2, "vm.name"), (4, "vm.address"), (12, "entry.port")]));
    expect_that!(faults.0.iter().all(|fault| !fault.remedy.is_empty()), eq(true));
}

/// Returns the file, line, key and problem of each fault that `check_directory` reports, and checks that each
/// has a remedy.
fn check_faults(files: &Files) -> Vec<(String, usize, String, String)> {
    let faults = check_directory(&files.0).map_or_else(|faults| faults.0, |_| Vec::new());
    expect_that!(faults, each(field!(Fault.remedy, not(eq("")))));
    let reported = faults.into_iter();
    reported.map(|fault| (fault.file.to_string(), fault.line, fault.key, fault.problem)).collect()
}

#[gtest]
fn checking_reports_each_stray_file_and_reading_ignores_it() {
    let strays = [
        "README.md",
        "dispatch.toml",
        "service/dispatch.toml",
        "services/dispatch.toml~",
        "services/notes",
        "services/old/dispatch.toml",
        "services/portal.TOML",
    ];
    let mut files = vec![("fleet.toml", FLEET), ("services/dispatch.toml", SERVICE)];
    files.extend(strays.map(|stray| (stray, "")));
    let files = Files::new("strays", &files);
    let stray = |file: &str| (file.to_owned(), 1, "(file)".to_owned(), "nothing reads it".to_owned());
    // A stray directory is reported once, not once per file in it.
    let reported = [
        "README.md",
        "dispatch.toml",
        "service",
        "services/dispatch.toml~",
        "services/notes",
        "services/old",
        "services/portal.TOML",
    ];
    expect_that!(check_faults(&files), eq(&reported.map(stray).to_vec()));
    expect_that!(files.read(), ok(eq(&valid_configuration())));
}

#[gtest]
fn the_remedy_of_a_stray_file_names_the_path_where_it_would_be_read() {
    let strays = [("a.toml", ""), ("a.txt", ""), ("services/a.yaml", ""), ("services/b/a.toml", "")];
    let files = [&[("fleet.toml", FLEET), ("services/dispatch.toml", SERVICE)][..], &strays].concat();
    let files = Files::new("remedies", &files);
    let faults = check_directory(&files.0).unwrap_err();
    let remedies: Vec<_> = faults.0.iter().map(|fault| fault.remedy.as_str()).collect();
    let expected = [
        "move it to services/a.toml if it describes a service, or remove it",
        "remove it, or keep it outside the file set",
        "rename it to services/a.toml if it describes a service, or remove it",
        "move service files directly into services/, or remove it",
    ];
    expect_that!(remedies, eq(&expected.to_vec()));
}

#[gtest]
fn hidden_files_are_ignored_and_stray_files_are_reported_with_other_faults() {
    let hidden = [(".gitignore", ""), (".git/config", ""), ("services/.dispatch.toml.swp", "")];
    let valid_files = [("fleet.toml", FLEET), ("services/dispatch.toml", SERVICE)];
    let files = Files::new("hidden", &[&valid_files[..], &hidden].concat());
    expect_that!(check_faults(&files), is_empty());
    let files = Files::new(
        "mixed",
        &[("fleet.toml", "revision = 0\nentry_vms_max = 18\n"), valid_files[1], ("a.txt", "")],
    );
    let keys: Vec<_> =
        check_faults(&files).into_iter().map(|(file, line, key, _)| (file, line, key)).collect();
    let expected = [("a.txt", 1, "(file)"), ("fleet.toml", 1, "revision")];
    expect_that!(keys, eq(&expected.map(|(file, line, key)| (file.into(), line, key.into())).to_vec()));
}

#[gtest]
fn unknown_keys_are_reported_in_every_table() {
    let fleet = format!("{FLEET}colour = 1\n");
    let service = format!(
        "colour = 2\n{SERVICE}colour = 3\n\n[load]\ncolour = 4\n\n[admission]\ncolour = 5\n\n[retry]\ncolour = 6\n\n\
         [hedge]\ncolour = 7\n\n[ejection]\ncolour = 8\n\n[colours]\nred = 9\n"
    );
    let files = Files::new("keys", &[("fleet.toml", &fleet), ("services/dispatch.toml", &service)]);
    let unknown =
        |(file, line, key): (&str, usize, &str)| (file.into(), line, key.into(), "unknown key".into());
    let service = "services/dispatch.toml";
    let expected = [
        ("fleet.toml", 3, "colour"),
        (service, 1, "colour"),
        (service, 10, "upstream[0].colour"),
        (service, 13, "load.colour"),
        (service, 16, "admission.colour"),
        (service, 19, "retry.colour"),
        (service, 22, "hedge.colour"),
        (service, 25, "ejection.colour"),
        (service, 27, "colours"),
    ];
    expect_that!(check_faults(&files), eq(&expected.map(unknown).to_vec()));
    let faults = check_directory(&files.0).unwrap_err();
    expect_that!(faults.0, each(field!(Fault.remedy, starts_with("remove it, or use one of: "))));
}

#[gtest]
fn the_upstreams_of_an_evacuated_data_centre_are_marked() {
    let fleet = format!("evacuated = [\"ub-1\"]\n{FLEET}");
    let files = Files::new("evacuated", &[("fleet.toml", &fleet), ("services/dispatch.toml", SERVICE)]);
    let configuration = files.read().unwrap();
    expect_that!(configuration.services[0].upstreams.iter().all(|upstream| upstream.evacuated), eq(true));
    expect_that!(
        valid_configuration().services[0].upstreams.iter().any(|upstream| upstream.evacuated),
        eq(false)
    );
}

#[gtest]
fn an_evacuated_data_centre_without_upstreams_is_a_fault() {
    let fleet = format!("evacuated = [\"ub-7\"]\n{FLEET}");
    let files = Files::new("nowhere", &[("fleet.toml", &fleet), ("services/dispatch.toml", SERVICE)]);
    let faults = files.read().unwrap_err();
    expect_that!(faults, elements_are![eq(&("fleet.toml".to_owned(), 1, "evacuated".to_owned()))]);
}
