//! docs/PROMISES.md names tests that exist.

use {
    googletest::prelude::*,
    std::{
        fs,
        path::{Path, PathBuf},
    },
};

/// Names of tests in a page: in backquotes, behind their file's name if that is told, longer than any other code word there.
fn named(page: &str) -> Vec<&str> {
    let quoted = page.split('`').skip(1).step_by(2);
    let names = quoted.map(|text| text.rsplit("::").next().unwrap());
    names.filter(|name| name.matches('_').count() >= 3 && !name.contains(['.', ' ', '='])).collect()
}

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap().flatten() {
        let path = entry.path();
        if path.is_dir() && entry.file_name() != "target" && entry.file_name() != ".git" {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

#[gtest]
fn every_test_that_the_promises_name_exists() {
    let root = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/.."));
    let page = fs::read_to_string(root.join("docs/PROMISES.md")).unwrap();
    let mut files = Vec::new();
    sources(root, &mut files);
    let tests = files.iter().filter(|file| file.components().any(|part| part.as_os_str() == "tests"));
    let code: String = tests.map(|file| fs::read_to_string(file).unwrap()).collect();
    let names = named(&page);
    expect_that!(names.len(), ge(50));
    for name in names {
        expect_that!(code.contains(&format!("fn {name}(")), eq(true), "{name}");
    }
}
