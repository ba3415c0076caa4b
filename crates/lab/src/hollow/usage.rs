//! What this process has spent, from its own files under `/proc/self`.

use std::time::Duration;

use crate::error::LabError;

/// Ticks a second of the times in `/proc/self/stat`: `USER_HZ`, 100 on every Linux that tokio supports.
const TICKS_PER_SECOND: u64 = 100;

/// Places of fields in `/proc/self/stat` after the closing parenthesis of the command's name (proc(5)).
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;
const THREADS_FIELD: usize = 17;

/// What the process has spent so far.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProcessUsage {
    /// Processor time in user and system mode, to 10 ms.
    pub(super) processor: Duration,
    /// Resident memory now, in bytes.
    pub(super) memory_bytes: u64,
    /// Threads now.
    pub(super) threads: u64,
}

impl ProcessUsage {
    pub(super) fn now() -> Result<Self, LabError> {
        let stat = read("/proc/self/stat")?;
        let fields: Vec<&str> = match stat.rsplit_once(')') {
            Some((_, fields)) => fields.split_whitespace().collect(),
            None => Vec::new(),
        };
        let field = |place: usize| -> Result<u64, LabError> {
            let value = fields.get(place).and_then(|field| field.parse().ok());
            value.ok_or_else(|| unreadable("/proc/self/stat"))
        };
        let ticks = field(USER_TIME_FIELD)? + field(SYSTEM_TIME_FIELD)?;
        Ok(Self {
            processor: Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND),
            memory_bytes: resident_bytes()?,
            threads: field(THREADS_FIELD)?,
        })
    }
}

fn resident_bytes() -> Result<u64, LabError> {
    let status = read("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().trim_end_matches("kB").trim().parse::<u64>().ok());
    kilobytes.map(|kilobytes| kilobytes * 1_024).ok_or_else(|| unreadable("/proc/self/status"))
}

fn read(path: &'static str) -> Result<String, LabError> {
    std::fs::read_to_string(path).map_err(|source| LabError::Io {
        action: format!("read {path}"),
        remedy: "run on Linux with /proc mounted",
        source,
    })
}

fn unreadable(path: &str) -> LabError {
    LabError::Part { part: "process usage", message: format!("{path} has another form; run on Linux") }
}
