//! Validation faults of configuration and settings files.

use {pointvane_core::Name, serde::Serialize, std::fmt};

/// One validation error in one file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// Name of the file, as it was passed in or relative to the file set.
    pub file: Name,
    /// Line number, starting at 1.
    pub line: usize,
    /// The key with the path of its table, such as `load.choices`; `(file)` or `(syntax)` for a whole file.
    pub key: String,
    /// What is wrong.
    pub problem: String,
    /// How to correct it.
    pub remedy: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { file, line, key, problem, remedy } = self;
        write!(f, "{file}:{line}: {key}: {problem}; {remedy}")
    }
}

/// All faults of a file or file set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// Returns `value` if there are no faults.
    ///
    /// # Errors
    /// The faults sorted by file, line and key, if there are any.
    pub fn into_result<T>(mut self, value: T) -> Result<T, Self> {
        if self.0.is_empty() {
            return Ok(value);
        }
        self.0.sort_by(|a, b| (&a.file, a.line, &a.key).cmp(&(&b.file, b.line, &b.key)));
        Err(self)
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for fault in &self.0 {
            writeln!(f, "{fault}")?;
        }
        write!(f, "{} fault(s)", self.0.len())
    }
}

impl std::error::Error for Faults {}
