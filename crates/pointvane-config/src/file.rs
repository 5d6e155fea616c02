//! Reads and validates one TOML file.

use {
    crate::{
        document::Document,
        fault::{Fault, Faults},
        section::Section,
    },
    std::{fs, path::Path},
};

/// Reads a TOML file and passes its root table to `read`.
///
/// # Errors
/// All faults of the file, or a single one if it cannot be read or parsed.
pub fn read_file<T>(path: &Path, read: impl FnOnce(&Section<'_, '_>) -> T) -> Result<T, Faults> {
    let file = path.to_string_lossy();
    let Ok(text) = fs::read_to_string(path) else {
        return Err(Faults(vec![Fault {
            file: file.as_ref().into(),
            line: 1,
            key: "(file)".into(),
            problem: "cannot be read".into(),
            remedy: "give the path of a readable TOML file".into(),
        }]));
    };
    let document = Document::new(&file, &text);
    let table = document.parse();
    let value = table.as_ref().map(|table| read(&Section::root(&document, table)));
    document.into_faults().into_result(value)?.ok_or_else(Faults::default)
}
