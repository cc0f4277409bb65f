//! The record of a run, `record.txt` in the case's folder, and the verdict.

use std::fs;
use std::io::Write as _;
use std::path;
use std::sync;
use std::time;

pub struct Report {
    file: sync::Mutex<fs::File>,
    started: time::Instant,
}

/// Whether the rule was kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

impl Report {
    pub fn create(folder: &path::Path) -> std::io::Result<Self> {
        let file = fs::File::create(folder.join("record.txt"))?;
        Ok(Self { file: sync::Mutex::new(file), started: time::Instant::now() })
    }

    /// Adds a line with the time since the start.
    pub fn line(&self, text: impl AsRef<str>) {
        let seconds = self.started.elapsed().as_secs_f64();
        // A record that can't be written does not change the verdict.
        let _ = writeln!(self.file.lock().unwrap(), "{seconds:8.3} s  {}", text.as_ref());
    }

    /// Adds a line and prints it.
    pub fn say(&self, text: impl AsRef<str>) {
        self.line(&text);
        println!("{}", text.as_ref());
    }
}
