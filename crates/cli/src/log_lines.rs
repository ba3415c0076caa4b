//! Structured log lines of one or more nodes, as a collector or a file keeps them.
//!
//! Reads what the daemon's `logging` writes; what stands before a line's JSON is passed over, and lines of other programs too.

use std::io::Read;

use serde_json::{Map, Value};

use crate::error::CliError;

/// One line, by field.
pub type LogLine = Map<String, Value>;

/// The lines of all files, in the order of their time. `-` is standard input.
///
/// # Errors
/// When a file can't be read.
pub fn read_all(files: &[String]) -> Result<Vec<LogLine>, CliError> {
    let mut lines = Vec::new();
    for file in files {
        lines.extend(read(file)?);
    }
    lines.sort_by(|left, right| text(left, "time").cmp(text(right, "time")));
    Ok(lines)
}

/// The time of a line, in milliseconds since the start of its month. `None` where it has none.
pub fn time_ms(line: &LogLine) -> Option<u64> {
    let (date, clock) = text(line, "time").trim_end_matches('Z').split_once('T')?;
    let day: u64 = date.rsplit('-').next()?.parse().ok()?;
    let mut parts = clock.split(':');
    let hours: u64 = parts.next()?.parse().ok()?;
    let minutes: u64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    let milliseconds = (seconds * 1_000.0).round() as u64;
    Some(((day * 24 + hours) * 60 + minutes) * 60_000 + milliseconds)
}

/// Lines of one file, in its order.
fn read(file: &str) -> Result<Vec<LogLine>, CliError> {
    let problem = |error: std::io::Error| CliError::File { path: file.to_owned(), cause: error.to_string() };
    let mut bytes = Vec::new();
    match file {
        "-" => std::io::stdin().read_to_end(&mut bytes).map_err(problem)?,
        path => {
            std::fs::File::open(path).and_then(|mut file| file.read_to_end(&mut bytes)).map_err(problem)?
        }
    };
    let text = String::from_utf8_lossy(&bytes);
    Ok(text.lines().filter_map(parse).collect())
}

/// Whatever a collector put before a line is passed over; what is no log line of ours is left out.
fn parse(line: &str) -> Option<LogLine> {
    let start = line.find('{')?;
    serde_json::from_str(&line[start..]).ok()
}

/// A field as text; empty where there is none.
pub fn text<'a>(line: &'a LogLine, field: &str) -> &'a str {
    line.get(field).and_then(Value::as_str).unwrap_or_default()
}
