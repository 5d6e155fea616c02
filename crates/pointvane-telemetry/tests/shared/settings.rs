// The answer of a program, whose test names it as PROGRAM, to good and bad settings.

use {
    googletest::prelude::*,
    std::{fs, process::Command},
};

const GOOD: &str = "[vm]\nname = \"entry-1\"\ndata_centre = \"ub-1\"\naddress = \"127.0.0.1\"\n\n[platform]\naddress = \"127.0.0.1:8500\"\nconfiguration_key = \"c\"\nvm_list_key = \"v\"\n";

/// Exit code and output of a check of these settings.
fn check(name: &str, text: &str) -> (Option<i32>, String) {
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
fn good_settings_pass_the_check() {
    let (code, output) = check("good", GOOD);
    expect_that!(code, some(eq(0)));
    expect_that!(output, ends_with(": ok\n"));
}

#[gtest]
fn bad_settings_end_with_code_2_and_name_line_key_and_remedy() {
    let (code, output) = check("bad", &GOOD.replace("127.0.0.1:8500", "platform"));
    expect_that!(code, some(eq(2)));
    expect_that!(output, contains_substring(":7: platform.address:"));
    expect_that!(output, contains_substring("write it like"));
}
