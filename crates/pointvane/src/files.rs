//! Checking, packing and comparing of file sets.

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

/// Exit code for faulty files.
const FAULTY: u8 = 2;
/// Exit code when something is refused or cannot be read.
const REFUSED: u8 = 1;

/// Why a file set or a packed value cannot be used.
#[derive(Debug)]
enum FileError {
    /// The file cannot be read.
    Unreadable { path: PathBuf, source: io::Error },
    /// The file is no packed value.
    Packed { path: PathBuf, source: PackError },
    /// The file set has faults; each names its file, line, key and remedy.
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

/// `pointvane check`.
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

/// `pointvane pack`.
pub fn pack_set(directory: &Path, out: &Path, newer_than: Option<&Path>, output: Output) -> ExitCode {
    let configuration = match read_directory(directory) {
        Ok(configuration) => configuration,
        Err(faults) => return print_faults(&faults, output),
    };
    let published = match newer_than.map(read_value).transpose() {
        Ok(published) => published,
        Err(error) => return refuse(&error.to_string()),
    };
    if let Some(published) = published.filter(|published| published.revision >= configuration.revision) {
        return refuse(&format!(
            "revision {} is not newer than the published {}; raise revision in fleet.toml",
            configuration.revision, published.revision
        ));
    }
    match pack(&configuration) {
        Ok(value) => write(out, &value, configuration.revision, output),
        Err(error @ PackError::TooLarge { .. }) => refuse(&format!("the packed value has {error}")),
        Err(error) => refuse(&error.to_string()),
    }
}

fn write(out: &Path, value: &[u8], revision: u64, output: Output) -> ExitCode {
    if let Err(error) = fs::write(out, value) {
        return refuse(&format!("{}: {error}", out.display()));
    }
    let bytes = value.len();
    match output {
        Output::Text => println!("{}: revision {revision}, {bytes} bytes", out.display()),
        Output::Json => println!("{}", serde_json::json!({ "revision": revision, "bytes": bytes })),
    }
    ExitCode::SUCCESS
}

/// `pointvane diff`.
pub fn compare(old: &Path, new: &Path, output: Output) -> ExitCode {
    let sets = read_either(old).and_then(|old| Ok((old, read_either(new)?)));
    let changes = match sets {
        Ok((old, new)) => diff(&old, &new),
        Err(error) => return refuse(&error.to_string()),
    };
    match output {
        Output::Text if changes.is_empty() => println!("no difference"),
        Output::Text => changes.iter().for_each(|change| println!("{change}")),
        Output::Json => println!("{}", serde_json::json!(changes)),
    }
    ExitCode::SUCCESS
}

fn read_either(path: &Path) -> Result<Configuration, FileError> {
    if path.is_dir() { read_directory(path).map_err(FileError::Faults) } else { read_value(path) }
}

fn read_value(path: &Path) -> Result<Configuration, FileError> {
    let value = fs::read(path).map_err(|source| FileError::Unreadable { path: path.into(), source })?;
    let packed = unpack(&value).map_err(|source| FileError::Packed { path: path.into(), source })?;
    Ok(packed.configuration)
}

fn print_faults(faults: &Faults, output: Output) -> ExitCode {
    match output {
        Output::Text => eprintln!("{faults}"),
        Output::Json => println!("{}", serde_json::json!(faults)),
    }
    ExitCode::from(FAULTY)
}

fn refuse(problem: &str) -> ExitCode {
    eprintln!("{problem}");
    ExitCode::from(REFUSED)
}
