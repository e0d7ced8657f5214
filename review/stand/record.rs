//! The record of what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::Mutex,
    time::{Duration, Instant},
};

pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self { start: Instant::now(), file: Mutex::new(file) }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        self.line_at(Instant::now(), text);
    }

    /// Writes a line with the time at which it happened.
    pub fn line_at(&self, at: Instant, text: impl AsRef<str>) {
        let mut file = self.file.lock().expect("no writer panics");
        let _ = writeln!(file, "{:9.3} {}", self.seconds(at), text.as_ref());
    }

    pub fn say(&self, text: impl AsRef<str>) {
        println!("{:9.3} {}", self.seconds(Instant::now()), text.as_ref());
        self.line(text);
    }

    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }
}
