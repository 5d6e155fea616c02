//! Checks that the reference pages in `docs/` and the deployed options file match the code.

use {
    googletest::prelude::*,
    pointvane_config::{ChoicePolicy, NODE_OPTION_KEYS, NodeOptions, SETTING_KEYS, read_node_options},
    std::{fs, path::Path},
};

#[gtest]
fn the_settings_reference_lists_exactly_the_keys_that_the_code_reads() {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/OPERATIONS.md");
    let page = fs::read_to_string(page).unwrap();
    let section = page.split("## Settings").nth(1).unwrap().split("## The file set").next().unwrap();
    let rows = section.lines().filter_map(|line| line.strip_prefix("| `")?.split('`').next());
    let listed: Vec<_> = rows.collect();
    expect_that!(listed, eq(&SETTING_KEYS.to_vec()));
}

#[gtest]
fn the_callers_page_lists_exactly_the_error_kinds_with_their_answers() {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/CALLERS.md");
    let page = fs::read_to_string(page).unwrap();
    let section = page.split("`pointvane-error` names the kind:").nth(1).unwrap();
    let rows: Vec<_> = section.lines().filter(|line| line.starts_with("| `")).collect();
    let row = |row: &pointvane_core::AnswerRow| {
        let retry_after = if row.retry_after { "yes |" } else { "|" };
        format!("| `{}` | {} | {} | {retry_after}", row.name, row.status, row.outcome.as_str())
    };
    let table: Vec<_> = pointvane_core::ErrorKind::table().iter().map(row).collect();
    expect_that!(rows, eq(&table));
}

#[gtest]
fn the_options_reference_lists_exactly_the_keys_that_the_code_reads() {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/OPERATIONS.md");
    let page = fs::read_to_string(page).unwrap();
    let section = page.split("### Options of a node").nth(1).unwrap().split("### ").next().unwrap();
    let rows = section.lines().filter_map(|line| line.strip_prefix("| `")?.split('`').next());
    let listed: Vec<_> = rows.collect();
    expect_that!(listed, eq(&NODE_OPTION_KEYS.to_vec()));
}

#[gtest]
fn the_deployed_options_are_the_defaults() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/node.toml");
    expect_that!(read_node_options(Path::new(file)), ok(eq(&NodeOptions::default())));
}

#[gtest]
fn all_faults_of_an_options_file_are_reported_at_once() {
    let file = std::env::temp_dir().join(format!("pointvane-options-{}", std::process::id()));
    fs::write(
        &file,
        "[choice]\npolicy = \"best\"\nask_first = 0\n[lines]\nloud = true\n[fleet]\nbind_ip = \"here\"\n",
    )
    .unwrap();
    let faults = read_node_options(&file).unwrap_err();
    let keys: Vec<&str> = faults.0.iter().map(|fault| fault.key.as_str()).collect();
    expect_that!(
        keys,
        unordered_elements_are![
            eq(&"choice.policy"),
            eq(&"choice.ask_first"),
            eq(&"lines.loud"),
            eq(&"fleet.bind_ip")
        ]
    );
    fs::write(&file, "[choice]\npolicy = \"own-least\"\n").unwrap();
    expect_that!(read_node_options(&file).unwrap().choice.policy, eq(ChoicePolicy::LeastOwnRequests));
    fs::remove_file(&file).unwrap();
}
