//! Checks that the arguments (listed in a golden file) and exit codes of all programs are unchanged.

use {
    googletest::prelude::*,
    std::{
        path::PathBuf,
        process::{Command, Output},
    },
};

/// Usage and options of each program and subcommand, one per line.
const ARGUMENTS: &str = include_str!("golden/arguments.txt");

const PROGRAMS: [&str; 5] =
    ["pointvane-entry", "pointvane-control", "pointvane-locate", "pointvane-platform-node", "pointvane"];
const SUBCOMMANDS: [&str; 7] = ["check", "pack", "diff", "status", "timeline", "explain", "completions"];

/// Runs a program as last built by `cargo test --workspace` or `cargo build --workspace`.
fn run(program: &str, arguments: &[&str]) -> Output {
    let tests = std::env::current_exe().unwrap();
    let program: PathBuf = tests.parent().unwrap().parent().unwrap().join(program);
    Command::new(program).args(arguments).env_remove("POINTVANE_BOOT").output().unwrap()
}

/// Extracts the usage line and the options with their placeholders from `--help`, without descriptions.
fn arguments(program: &str, subcommand: &[&str]) -> String {
    let output = run(program, &[subcommand, &["--help"]].concat());
    assert_eq!(output.status.code(), Some(0));
    let help = String::from_utf8(output.stdout).unwrap();
    let listed = help.lines().map(str::trim).filter(|line| {
        line.starts_with("Usage:")
            || line.starts_with("-h")
            || line.starts_with("-V")
            || line.starts_with("--")
    });
    listed.map(|line| format!("{}\n", line.split("  ").next().unwrap())).collect()
}

#[gtest]
fn arguments_of_every_program_are_unchanged() {
    let mut help_lines: String = PROGRAMS.iter().map(|program| arguments(program, &[])).collect();
    SUBCOMMANDS.iter().for_each(|subcommand| help_lines += &arguments("pointvane", &[subcommand]));
    expect_that!(help_lines, eq(ARGUMENTS));
}

#[gtest]
fn exit_codes_are_unchanged() {
    let code = |program: &str, arguments: &[&str]| run(program, arguments).status.code();
    for program in PROGRAMS {
        expect_that!(code(program, &["--no-such-argument"]), some(eq(2)), "{program}");
    }
    for program in ["pointvane-entry", "pointvane-control", "pointvane-locate"] {
        expect_that!(code(program, &["--config", "/nowhere.toml"]), some(eq(2)), "{program}");
    }
    expect_that!(code("pointvane-platform-node", &[]), some(eq(1)));
    expect_that!(code("pointvane-platform-node", &["--check"]), some(eq(1)));
    expect_that!(code("pointvane-platform-node", &["--options", "/nowhere.toml"]), some(eq(2)));
    expect_that!(code("pointvane", &["check", "/nowhere"]), some(eq(2)));
    expect_that!(code("pointvane", &["diff", "/nowhere", "/nowhere"]), some(eq(1)));
    expect_that!(code("pointvane", &["explain", "r-1", "/nowhere"]), some(eq(2)));
    expect_that!(code("pointvane", &["completions", "bash"]), some(eq(0)));
}
