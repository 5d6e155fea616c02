//! The `check`, `pack` and `diff` commands, which work on configuration file sets.

use {
    crate::Output,
    pointvane_config::{
        Configuration, Faults, PackError, check_directory, diff, pack, read_directory, unpack,
    },
    std::{
        fmt, fs, io,
        path::{Path, PathBuf},
        process::ExitCode,
    },
};

/// Exit code for an invalid file set.
const EXIT_INVALID_FILES: u8 = 2;
/// Exit code when the operation is refused or a file cannot be read or written.
const EXIT_REFUSED: u8 = 1;

/// Why a file set or a packed value cannot be used.
#[derive(Debug)]
enum FileError {
    /// The file cannot be read.
    Unreadable { path: PathBuf, source: io::Error },
    /// The file does not hold a packed value.
    Packed { path: PathBuf, source: PackError },
    /// The file set is invalid; each fault names its file, line, key and remedy.
    Faults(Faults),
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable { path, source } => write!(f, "{}: {source}", path.display()),
            Self::Packed { path, source } => write!(f, "{}: {source}; pack it again", path.display()),
            Self::Faults(faults) => write!(f, "{faults}"),
        }
    }
}

/// Runs `pointvane check`: validates the file set in `directory`.
pub fn check(directory: &Path, output: Output) -> ExitCode {
    match check_directory(directory) {
        Ok(configuration) => {
            match output {
                Output::Text => println!("{}: ok, revision {}", directory.display(), configuration.revision),
                Output::Json => println!("{}", serde_json::json!({ "revision": configuration.revision })),
            }
            ExitCode::SUCCESS
        }
        Err(faults) => print_faults(&faults, output),
    }
}

/// Runs `pointvane pack`: writes the file set in `directory` to `out` as one value. Fails unless its revision
/// is above that of the packed value `newer_than`.
pub fn pack_set(directory: &Path, out: &Path, newer_than: Option<&Path>, output: Output) -> ExitCode {
    let configuration = match read_directory(directory) {
        Ok(configuration) => configuration,
        Err(faults) => return print_faults(&faults, output),
    };
    let published = match newer_than.map(read_packed).transpose() {
        Ok(published) => published,
        Err(error) => return fail(&error.to_string()),
    };
    if let Some(published) = published.filter(|published| published.revision >= configuration.revision) {
        return fail(&format!(
            "revision {} is not newer than the published {}; raise revision in fleet.toml",
            configuration.revision, published.revision
        ));
    }
    match pack(&configuration) {
        Ok(value) => write_packed(out, &value, configuration.revision, output),
        Err(error @ PackError::TooLarge { .. }) => fail(&format!("the packed value has {error}")),
        Err(error) => fail(&error.to_string()),
    }
}

fn write_packed(out: &Path, value: &[u8], revision: u64, output: Output) -> ExitCode {
    if let Err(error) = fs::write(out, value) {
        return fail(&format!("{}: {error}", out.display()));
    }
    let bytes = value.len();
    match output {
        Output::Text => println!("{}: revision {revision}, {bytes} bytes", out.display()),
        Output::Json => println!("{}", serde_json::json!({ "revision": revision, "bytes": bytes })),
    }
    ExitCode::SUCCESS
}

/// Runs `pointvane diff`: prints the differences of two file sets or packed values.
pub fn compare(old: &Path, new: &Path, output: Output) -> ExitCode {
    let sets = read_set_or_packed(old).and_then(|old| Ok((old, read_set_or_packed(new)?)));
    let changes = match sets {
        Ok((old, new)) => diff(&old, &new),
        Err(error) => return fail(&error.to_string()),
    };
    match output {
        Output::Text if changes.is_empty() => println!("no difference"),
        Output::Text => changes.iter().for_each(|change| println!("{change}")),
        Output::Json => println!("{}", serde_json::json!(changes)),
    }
    ExitCode::SUCCESS
}

fn read_set_or_packed(path: &Path) -> Result<Configuration, FileError> {
    if path.is_dir() { read_directory(path).map_err(FileError::Faults) } else { read_packed(path) }
}

fn read_packed(path: &Path) -> Result<Configuration, FileError> {
    let value = fs::read(path).map_err(|source| FileError::Unreadable { path: path.into(), source })?;
    let packed = unpack(&value).map_err(|source| FileError::Packed { path: path.into(), source })?;
    Ok(packed.configuration)
}

fn print_faults(faults: &Faults, output: Output) -> ExitCode {
    match output {
        Output::Text => eprintln!("{faults}"),
        Output::Json => println!("{}", serde_json::json!(faults)),
    }
    ExitCode::from(EXIT_INVALID_FILES)
}

fn fail(problem: &str) -> ExitCode {
    eprintln!("{problem}");
    ExitCode::from(EXIT_REFUSED)
}
