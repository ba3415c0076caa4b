//! Reader for the structured log lines of one or more nodes.
//!
//! Reads the format that the daemon's `logging` module writes. Text before the JSON object of a line, such as a collector's
//! prefix, is skipped, and so are lines without a JSON object.

use std::io::Read;

use serde_json::{Map, Value};

use crate::error::CliError;

/// Fields of one log line.
pub type LogLine = Map<String, Value>;

/// Reads the lines of all files and sorts them by time. `-` is standard input.
///
/// # Errors
/// Returns [`CliError::File`] if a file can't be read.
pub fn read_all(files: &[String]) -> Result<Vec<LogLine>, CliError> {
    let mut lines = Vec::new();
    for file in files {
        lines.extend(read(file)?);
    }
    lines.sort_by(|left, right| text(left, "time").cmp(text(right, "time")));
    Ok(lines)
}

/// Returns the time of a line within its month, in milliseconds, or `None` if it has no valid time.
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

/// Reads the lines of one file in their order.
fn read(file: &str) -> Result<Vec<LogLine>, CliError> {
    let file_error =
        |error: std::io::Error| CliError::File { path: file.to_owned(), cause: error.to_string() };
    let mut bytes = Vec::new();
    match file {
        "-" => std::io::stdin().read_to_end(&mut bytes).map_err(file_error)?,
        path => {
            std::fs::File::open(path).and_then(|mut file| file.read_to_end(&mut bytes)).map_err(file_error)?
        }
    };
    let text = String::from_utf8_lossy(&bytes);
    Ok(text.lines().filter_map(parse).collect())
}

/// Parses the JSON object of a line, skipping any prefix. Returns `None` if there is no valid object.
fn parse(line: &str) -> Option<LogLine> {
    let start = line.find('{')?;
    serde_json::from_str(&line[start..]).ok()
}

/// Returns a string field, or the empty string if the line doesn't have it.
pub fn text<'a>(line: &'a LogLine, field: &str) -> &'a str {
    line.get(field).and_then(Value::as_str).unwrap_or_default()
}
