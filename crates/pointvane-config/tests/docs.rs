//! The operators' page against the code.

use {googletest::prelude::*, pointvane_config::SETTING_KEYS, std::fs};

#[gtest]
fn the_settings_reference_lists_just_the_keys_that_the_code_reads() {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/OPERATIONS.md");
    let page = fs::read_to_string(page).unwrap();
    let section = page.split("## Settings").nth(1).unwrap().split("## The file set").next().unwrap();
    let rows = section.lines().filter_map(|line| line.strip_prefix("| `")?.split('`').next());
    let listed: Vec<_> = rows.collect();
    expect_that!(listed, eq(&SETTING_KEYS.to_vec()));
}

#[gtest]
fn the_callers_page_lists_just_the_error_kinds_with_their_answers() {
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
