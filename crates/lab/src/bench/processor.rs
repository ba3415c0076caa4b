//! Processor time by part, from the accounts that the system keeps of each thread. It says what a request costs also
//! where other work takes the processors away.

use std::path::Path;
use std::time::Duration;

use serde::Serialize;

/// The unit of the accounts in `/proc`, fixed by the system's interface at 100 a second.
const TICK: Duration = Duration::from_millis(10);
/// Fields of `stat` after the thread's name, which is in parentheses: user and system time.
const USER_TICKS: usize = 11;
const SYSTEM_TICKS: usize = 12;

/// Processor time of each part.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ProcessorTime {
    /// The callers and the rest of the process.
    pub callers: f64,
    /// The gateway's traffic threads.
    pub gateway: f64,
    /// The engines.
    pub engines: f64,
}

impl ProcessorTime {
    /// What the threads of this process have used so far, in seconds; zero where the system keeps no such accounts.
    pub fn now() -> Self {
        let mut time = Self::default();
        let Ok(threads) = std::fs::read_dir("/proc/self/task") else { return time };
        for thread in threads.flatten() {
            let Some((name, seconds)) = account(&thread.path()) else { continue };
            match name.as_str() {
                "traffic" => time.gateway += seconds,
                "engines" => time.engines += seconds,
                _ => time.callers += seconds,
            }
        }
        time
    }

    /// The time since `earlier` for each of `requests`, in microseconds.
    pub fn microseconds_each(self, earlier: Self, requests: u64) -> Self {
        let each = |now: f64, then: f64| (now - then) * 1e6 / requests.max(1) as f64;
        Self {
            callers: each(self.callers, earlier.callers),
            gateway: each(self.gateway, earlier.gateway),
            engines: each(self.engines, earlier.engines),
        }
    }
}

fn account(thread: &Path) -> Option<(String, f64)> {
    let stat = std::fs::read_to_string(thread.join("stat")).ok()?;
    let (before, after) = stat.rsplit_once(')')?;
    let name = before.split_once('(')?.1.to_owned();
    let fields: Vec<&str> = after.split_whitespace().collect();
    let ticks = |field: usize| fields.get(field)?.parse::<u32>().ok();
    let used = TICK * (ticks(USER_TICKS)? + ticks(SYSTEM_TICKS)?);
    Some((name, used.as_secs_f64()))
}
