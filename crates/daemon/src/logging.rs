//! Structured logging: one JSON object per line on standard output, rate-limited and non-blocking.
//!
//! A queue passes the lines to a writer thread. Lines are dropped while the queue is full or the rate limit is
//! exceeded; [`line_budget`] reserves a part of both for the lines that explain a shortage. The next line written is
//! preceded by a line with the number of dropped ones.

pub mod line_budget;

use std::fmt::Write as _;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use env_logger::{Builder, Env, Target};
use log::Record;
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::Map;

use line_budget::{LineBudget, LineClass, QUEUE_LINES};

/// The filter used if `RUST_LOG` is not set. At the level info, `tarpc` logs every call.
const DEFAULT_FILTER: &str = "info,tarpc=warn";
/// First byte of a line that a [`QueuedWriter`] takes as vital; not written. Lines of JSON never begin with it.
pub const VITAL_MARK: u8 = 0x01;
/// First byte of a line that a [`QueuedWriter`] takes as a report; not written.
pub const REPORT_MARK: u8 = 0x02;

/// The name of this process's node.
static NODE: OnceLock<String> = OnceLock::new();

/// Sets the node name added to each subsequent line.
pub fn set_node_name(node: &str) {
    // If a process runs several nodes, the name of the first one stays.
    let _ = NODE.set(node.to_owned());
}

/// Number of lines dropped since the process started.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Number of lines in the queue.
static QUEUED_LINES: AtomicU64 = AtomicU64::new(0);
/// How long [`finish`] waits for queued lines. A stalled reader of the log delays a restart by this time.
const FINISH_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval at which [`finish`] checks the queue.
const FINISH_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Waits a short time until all queued lines are written. Called before the process exits.
pub fn finish() {
    let began = Instant::now();
    while QUEUED_LINES.load(Ordering::Relaxed) > 0 && began.elapsed() < FINISH_TIMEOUT {
        std::thread::sleep(FINISH_POLL_INTERVAL);
    }
}

/// Returns the number of lines dropped since the process started.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Starts logging to standard output.
///
/// # Errors
/// When the writer thread can't be started or a logger is already installed.
pub fn start() -> io::Result<()> {
    let writer = QueuedWriter::start(io::stdout())?;
    let mut builder = Builder::from_env(Env::default().default_filter_or(DEFAULT_FILTER));
    builder.target(Target::Pipe(Box::new(writer))).format(format);
    builder.try_init().map_err(io::Error::other)
}

fn format(buffer: &mut env_logger::fmt::Formatter, record: &Record<'_>) -> io::Result<()> {
    let time = buffer.timestamp_millis();
    let mut message = String::new();
    // Writing to a `String` never fails.
    let _ = write!(message, "{}", record.args());
    let module = record.module_path().unwrap_or_default();
    match LineClass::of(record.level(), record.target(), module, &message) {
        LineClass::Ordinary => {}
        LineClass::Report => buffer.write_all(&[REPORT_MARK])?,
        LineClass::Vital => buffer.write_all(&[VITAL_MARK])?,
    }
    let line = line(&time.to_string(), record, message);
    writeln!(buffer, "{line}")
}

/// Formats a record as one JSON object: time, node, level, target, message, and the fields of the record.
fn line(time: &str, record: &Record<'_>, message: String) -> String {
    let mut fields = Fields(Map::new());
    // Fields that can't be formatted are omitted; the rest of the line is still useful.
    let _ = record.key_values().visit(&mut fields);
    let mut line = Map::new();
    line.insert("time".to_owned(), time.into());
    if let Some(node) = NODE.get() {
        line.insert("node".to_owned(), node.as_str().into());
    }
    line.insert("level".to_owned(), record.level().as_str().to_ascii_lowercase().into());
    line.insert("part".to_owned(), record.target().into());
    line.insert("message".to_owned(), message.into());
    line.extend(fields.0);
    serde_json::Value::Object(line).to_string()
}

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let text = value.to_string();
        let number = value.to_u64().map(serde_json::Value::from);
        self.0.insert(key.to_string(), number.unwrap_or_else(|| text.into()));
        Ok(())
    }
}

/// Passes lines to a writer thread. Drops lines while the queue is full or the rate limit is exceeded.
pub struct QueuedWriter {
    lines: SyncSender<Vec<u8>>,
    counts: Arc<LineCounts>,
    origin: Instant,
    budget: LineBudget,
}

/// Counts that a [`QueuedWriter`] shares with its thread.
#[derive(Default)]
struct LineCounts {
    /// Lines dropped since the last line was written.
    dropped: AtomicU64,
    /// Lines in the queue.
    queued: AtomicU64,
}

impl QueuedWriter {
    /// Starts a writer thread for `output`, which may block.
    ///
    /// # Errors
    /// When the thread can't be started.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, received) = sync_channel(QUEUE_LINES);
        let counts = Arc::new(LineCounts::default());
        let counts_in_writer = Arc::clone(&counts);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(output, &received, &counts_in_writer))?;
        Ok(Self { lines, counts, origin: Instant::now(), budget: LineBudget::default() })
    }

    /// Queues a line if the budget admits it.
    fn queue(&mut self, class: LineClass, line: &[u8]) -> bool {
        let queued = self.counts.queued.load(Ordering::Relaxed);
        if !self.budget.admit(self.origin.elapsed(), class, queued) {
            return false;
        }
        // Counted before it is sent, so that the writer never subtracts a line that is not counted.
        self.counts.queued.fetch_add(1, Ordering::Relaxed);
        QUEUED_LINES.fetch_add(1, Ordering::Relaxed);
        let is_queued = self.lines.try_send(line.to_vec()).is_ok();
        if !is_queued {
            self.counts.subtract_queued();
        }
        is_queued
    }
}

impl LineCounts {
    fn subtract_queued(&self) {
        self.queued.fetch_sub(1, Ordering::Relaxed);
        QUEUED_LINES.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Write for QueuedWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let (class, text) = match line.split_first() {
            Some((&VITAL_MARK, text)) => (LineClass::Vital, text),
            Some((&REPORT_MARK, text)) => (LineClass::Report, text),
            _ => (LineClass::Ordinary, line),
        };
        if !self.queue(class, text) {
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(mut output: impl Write, lines: &Receiver<Vec<u8>>, counts: &LineCounts) {
    while let Ok(line) = lines.recv() {
        let dropped_count = counts.dropped.swap(0, Ordering::Relaxed);
        if dropped_count > 0 {
            let note = format!(
                r#"{{"level":"warn","part":"log","message":"lines were dropped","lines":{dropped_count}}}"#
            );
            // An error of the log itself can't be reported anywhere.
            let _ = writeln!(output, "{note}");
        }
        let _ = output.write_all(&line);
        let _ = output.flush();
        counts.subtract_queued();
    }
}
