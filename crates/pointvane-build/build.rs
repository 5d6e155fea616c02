//! Names the commit that the sources are of, in `POINTVANE_COMMIT`, and the processor architecture that they are
//! built for, in `POINTVANE_MACHINE`.

use std::{env, path::Path, process::Command};

/// What the programs are built from, relative to the workspace.
const SOURCES: [&str; 4] = ["crates", "platform", "Cargo.toml", "Cargo.lock"];
/// Stands for the commit of sources that are in no Git checkout.
const UNKNOWN: &str = "unknown";
const WORKSPACE: &str = "../..";

fn main() {
    // Not run again for a new commit alone: where Cargo takes old libraries for fresh, as in a build folder from
    // another checkout, the old commit must stay too.
    for source in SOURCES {
        println!("cargo::rerun-if-changed={}", Path::new(WORKSPACE).join(source).display());
    }
    println!("cargo::rustc-env=POINTVANE_COMMIT={}", commit().as_deref().unwrap_or(UNKNOWN));
    let machine = env::var("CARGO_CFG_TARGET_ARCH").expect("Cargo sets the architecture");
    println!("cargo::rustc-env=POINTVANE_MACHINE={machine}");
}

/// The abbreviated commit, marked if the sources differ from it; none outside a Git checkout.
fn commit() -> Option<String> {
    let commit = git(&["rev-parse", "--short=8", "HEAD"])?;
    let differs = git(&[&["status", "--porcelain", "--"], &SOURCES[..]].concat())?;
    Some(if differs.is_empty() { commit } else { format!("{commit}-modified") })
}

/// The output of `git` in the workspace; none if it fails or is not installed.
fn git(arguments: &[&str]) -> Option<String> {
    let output = Command::new("git").current_dir(WORKSPACE).args(arguments).output().ok()?;
    let text = String::from_utf8(output.stdout).ok()?;
    output.status.success().then(|| text.trim().to_owned())
}
