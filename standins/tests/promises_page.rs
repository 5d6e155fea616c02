//! Checks that the tests named in docs/PROMISES.md exist.

use {
    googletest::prelude::*,
    std::{
        fs,
        path::{Path, PathBuf},
    },
};

/// Extracts test names from a page: code spans with at least three underscores, without an optional `file::`
/// prefix.
fn test_names(page: &str) -> Vec<&str> {
    let quoted = page.split('`').skip(1).step_by(2);
    let names = quoted.map(|text| text.rsplit("::").next().unwrap());
    names.filter(|name| name.matches('_').count() >= 3 && !name.contains(['.', ' ', '='])).collect()
}

fn collect_sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap().flatten() {
        let path = entry.path();
        if path.is_dir() && entry.file_name() != "target" && entry.file_name() != ".git" {
            collect_sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

#[gtest]
fn every_test_named_in_the_promises_page_exists() {
    let root = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/.."));
    let page = fs::read_to_string(root.join("docs/PROMISES.md")).unwrap();
    let mut files = Vec::new();
    collect_sources(root, &mut files);
    let tests = files.iter().filter(|file| file.components().any(|part| part.as_os_str() == "tests"));
    let code: String = tests.map(|file| fs::read_to_string(file).unwrap()).collect();
    let names = test_names(&page);
    expect_that!(names.len(), ge(50));
    for name in names {
        expect_that!(code.contains(&format!("fn {name}(")), eq(true), "{name}");
    }
}
