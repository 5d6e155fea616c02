//! Layout of a file set.

use std::path::Path;

/// Name of the file with the revision, the fleet-wide limits and the evacuated data centres.
pub const FLEET_FILE: &str = "fleet.toml";
/// Name of the directory with one file per service.
pub const SERVICES_DIRECTORY: &str = "services";

/// Whether a path in the services directory is read as a service file.
pub fn is_service_file(path: &Path) -> bool {
    path.extension().is_some_and(|extension| extension == "toml")
}
