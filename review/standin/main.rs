//! Plays a case of the review: starts the gateways and stand-ins, and judges what callers see.
//!
//! Usage: `standin CASE FOLDER`; `TROUBLE=0` leaves the disruption out.

mod gateway;
mod http;
mod platform;
mod poison;
mod replica;
mod term;

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::time::Instant;

/// The record of a case: one line for each event, with the time since the start of the case.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    fn create(path: &Path) -> Self {
        Self { file: Mutex::new(File::create(path).unwrap()), start: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: &str) {
        let seconds = at.duration_since(self.start).as_secs_f64();
        writeln!(self.file.lock().unwrap(), "{seconds:8.3} {text}").unwrap();
    }
}

/// What a case has shown.
pub enum Verdict {
    Held,
    Broken,
    /// The case could not run.
    Failed(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let folder = PathBuf::from(&arguments[2]);
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&folder.join("record.txt"));
    let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).unwrap();
    let verdict = match arguments[1].as_str() {
        "term" => term::play(&temporary, &record, has_trouble),
        "poison" => poison::play(&temporary, &record, has_trouble),
        _ => Verdict::Failed("unknown case".into()),
    };
    let _ = std::fs::remove_dir_all(&temporary);
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".into(), 0),
        Verdict::Broken => ("the rule was broken".into(), 1),
        Verdict::Failed(reason) => (format!("the case could not run: {reason}"), 2),
    };
    record.line(&text);
    println!("{text}");
    std::process::exit(code);
}
