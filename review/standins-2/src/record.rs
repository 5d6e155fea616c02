//! The record of a run: what was sent, answered and run, with the time since its start.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).unwrap_or_else(|error| crate::deploy::cannot_run(&format!("record: {error}")));
        Self { file: Arc::new(Mutex::new(file)), began: Instant::now() }
    }

    pub fn ms(&self) -> u128 {
        self.began.elapsed().as_millis()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        _ = writeln!(file, "{:6} ms  {text}", self.began.elapsed().as_millis());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
