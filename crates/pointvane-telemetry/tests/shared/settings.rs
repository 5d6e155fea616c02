// Runs `--check` of the program named by the including test's `PROGRAM` on valid and invalid settings.

use {
    googletest::prelude::*,
    std::{fs, process::Command},
};

const VALID_SETTINGS: &str = "[vm]\nname = \"entry-1\"\ndata_centre = \"ub-1\"\naddress = \"127.0.0.1\"\n\n[platform]\naddress = \"127.0.0.1:8500\"\nconfiguration_key = \"c\"\nvm_list_key = \"v\"\n";

/// Exit code and combined output of `--check` on a settings file with this text.
fn run_check(name: &str, text: &str) -> (Option<i32>, String) {
    let file = std::env::temp_dir().join(format!("pointvane-settings-{}-{name}.toml", std::process::id()));
    fs::write(&file, text).unwrap();
    let output = Command::new(PROGRAM)
        .arg("--check")
        .arg("--config")
        .arg(&file)
        .output()
        .unwrap();
    fs::remove_file(&file).unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8(text).unwrap())
}

#[gtest]
fn valid_settings_pass_the_check() {
    let (code, output) = run_check("good", VALID_SETTINGS);
    expect_that!(code, some(eq(0)));
    expect_that!(output, ends_with(": ok\n"));
}

#[gtest]
fn invalid_settings_exit_with_code_2_and_report_line_key_and_remedy() {
    let (code, output) = run_check("bad", &VALID_SETTINGS.replace("127.0.0.1:8500", "platform"));
    expect_that!(code, some(eq(2)));
    expect_that!(output, contains_substring(":7: platform.address:"));
    expect_that!(output, contains_substring("write it like"));
}
