//! The record of a run: one line for each thing sent, answered or run, with its time.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::Mutex,
    time::{Duration, Instant},
};

/// The record of a run.
pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { file: Mutex::new(File::create(path)?), began: Instant::now() })
    }

    /// Time since the run began.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let now_ms = self.now().as_secs_f64() * 1_000.0;
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{now_ms:10.1} ms  {text}");
    }

    /// Adds a line and prints it.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}
