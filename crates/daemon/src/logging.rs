//! Structured logs: one JSON object a line on standard output, bounded in volume, never blocking.
//!
//! Lines go through a queue to a thread of their own. A full queue, or more lines a second than are allowed, drops lines;
//! how many is counted and written as a line of its own as soon as there is room.

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

/// What is logged where `RUST_LOG` is not set; `tarpc` would log every call.
const DEFAULT_FILTER: &str = "info,tarpc=warn";
/// Lines that may wait to be written. Chosen, not measured: fewer drop lines of a burst, more keep memory
/// behind a reader that has stopped.
const QUEUE_LINES: usize = 2_048;
/// Lines written in one second at most. Chosen, not measured: fewer lose lines that tell what went wrong, more cost a small
/// machine its processor while much goes wrong.
const LINES_PER_SECOND: u64 = 400;

/// The node whose lines these are.
static NODE: OnceLock<String> = OnceLock::new();

/// Names the node in each line from now on.
pub fn name_node(node: &str) {
    // A second node in one process leaves the first one's name.
    let _ = NODE.set(node.to_owned());
}

/// Lines dropped since the process started.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Lines that wait to be written.
static WAITING: AtomicU64 = AtomicU64::new(0);
/// How long the end of a process waits for its last lines. Chosen, not measured: longer delays a restart behind a reader
/// of the log that has stopped.
const FINISH_LIMIT: Duration = Duration::from_millis(200);

/// Waits a little until what was logged is written; for the end of a process.
pub fn finish() {
    let began = Instant::now();
    while WAITING.load(Ordering::Relaxed) > 0 && began.elapsed() < FINISH_LIMIT {
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Lines of the log that were dropped since the process started.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Begins to log to standard output.
///
/// # Errors
/// When the writer's thread can't be started or logging was begun before.
pub fn start() -> io::Result<()> {
    let writer = QueuedWriter::start(io::stdout())?;
    let mut builder = Builder::from_env(Env::default().default_filter_or(DEFAULT_FILTER));
    builder.target(Target::Pipe(Box::new(writer))).format(format);
    builder.try_init().map_err(io::Error::other)
}

fn format(buffer: &mut env_logger::fmt::Formatter, record: &Record<'_>) -> io::Result<()> {
    let time = buffer.timestamp_millis();
    let line = line(&time.to_string(), record);
    writeln!(buffer, "{line}")
}

/// One line: time, level, part, message, and the fields of the record.
fn line(time: &str, record: &Record<'_>) -> String {
    let mut fields = Fields(Map::new());
    // Fields that can't be read are left out; the rest of the line is still of use.
    let _ = record.key_values().visit(&mut fields);
    let mut message = String::new();
    // Writing into a string does not fail.
    let _ = write!(message, "{}", record.args());
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

/// Hands lines to a thread; drops them where it is behind.
pub struct QueuedWriter {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    second: Instant,
    written: u64,
}

impl QueuedWriter {
    /// A writer in front of `output`, which may block.
    ///
    /// # Errors
    /// When no thread can be started.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, received) = sync_channel(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let pending = Arc::clone(&dropped);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(output, &received, &pending))?;
        Ok(Self { lines, dropped, second: Instant::now(), written: 0 })
    }

    /// Whether one more line may be written in this second.
    fn has_allowance(&mut self) -> bool {
        if self.second.elapsed() >= Duration::from_secs(1) {
            self.second = Instant::now();
            self.written = 0;
        }
        self.written += 1;
        self.written <= LINES_PER_SECOND
    }
}

impl Write for QueuedWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let is_taken = self.has_allowance() && self.lines.try_send(line.to_vec()).is_ok();
        if is_taken {
            WAITING.fetch_add(1, Ordering::Relaxed);
        } else {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(mut output: impl Write, lines: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    while let Ok(line) = lines.recv() {
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let note =
                format!(r#"{{"level":"warn","part":"log","message":"lines were dropped","lines":{lost}}}"#);
            // Nobody can be told that the log can't be written.
            let _ = writeln!(output, "{note}");
        }
        // The same holds here.
        let _ = output.write_all(&line);
        let _ = output.flush();
        // The line may be written before its sender has counted it.
        let _ = WAITING
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |waiting| Some(waiting.saturating_sub(1)));
    }
}
