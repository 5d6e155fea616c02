//! Finds files in a file set that are not read, such as a service file with the wrong extension.
//!
//! Hidden files are skipped, since version control and editors create them.

use {
    crate::{
        fault::{Fault, Faults},
        file_set::{FLEET_FILE, SERVICES_DIRECTORY, is_service_file},
    },
    std::{fs, path::Path},
};

/// Returns a fault for each file and directory in a file set that is not read.
pub fn stray_files(directory: &Path) -> Faults {
    let names = visible_names(directory).into_iter();
    let names = names.filter(|name| name != FLEET_FILE && name != SERVICES_DIRECTORY);
    let mut faults: Vec<_> =
        names.map(|name| stray_fault(Path::new(&name), remedy_at_root(Path::new(&name)))).collect();
    for name in visible_names(&directory.join(SERVICES_DIRECTORY)) {
        let path = Path::new(SERVICES_DIRECTORY).join(name);
        if !is_service_file(&path) {
            faults.push(stray_fault(&path, remedy_in_services(&path, directory.join(&path).is_dir())));
        }
    }
    Faults(faults)
}

/// Returns the names in a directory without hidden ones. Returns none if it cannot be read; reading the file
/// set reports that.
fn visible_names(directory: &Path) -> Vec<String> {
    let entries = fs::read_dir(directory).into_iter().flatten().flatten();
    let names = entries.map(|entry| entry.file_name().to_string_lossy().into_owned());
    names.filter(|name| !name.starts_with('.')).collect()
}

fn remedy_at_root(path: &Path) -> String {
    if is_service_file(path) {
        let place = Path::new(SERVICES_DIRECTORY).join(path);
        format!("move it to {} if it describes a service, or remove it", place.display())
    } else {
        "remove it, or keep it outside the file set".into()
    }
}

fn remedy_in_services(path: &Path, is_directory: bool) -> String {
    if is_directory {
        format!("move service files directly into {SERVICES_DIRECTORY}/, or remove it")
    } else {
        let name = path.with_extension("toml");
        format!("rename it to {} if it describes a service, or remove it", name.display())
    }
}

fn stray_fault(path: &Path, remedy: String) -> Fault {
    Fault {
        file: path.to_string_lossy().as_ref().into(),
        line: 1,
        key: "(file)".into(),
        problem: "nothing reads it".into(),
        remedy,
    }
}
