//! One fault of a file, and all the faults of a file set.

use {pointvane_core::Name, serde::Serialize, std::fmt};

/// One thing wrong in one file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// The file's name as given.
    pub file: Name,
    /// Line, counted from 1.
    pub line: usize,
    /// The key concerned, with its table.
    pub key: String,
    /// What is wrong.
    pub problem: String,
    /// What to do about it.
    pub remedy: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { file, line, key, problem, remedy } = self;
        write!(f, "{file}:{line}: {key}: {problem}; {remedy}")
    }
}

/// All the faults found, in the order of files and lines.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// `value` if there are no faults.
    ///
    /// # Errors
    /// The faults, if there are any.
    pub fn or<T>(mut self, value: T) -> Result<T, Self> {
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
