//! Starts the real binaries as processes of their own, and ends each by its handle, also when a test panics.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod system;

use std::collections::BTreeMap;
use std::fs::File;
use std::future::Future;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

/// How long a condition may take. Generous: it only bounds a test that would fail anyway.
const CONDITION_LIMIT: Duration = Duration::from_secs(90);
const CONDITION_INTERVAL: Duration = Duration::from_millis(25);
const LOG_LINES_SHOWN: usize = 30;

/// Waits until `probe` gives a value; `what` names it where it never does.
pub async fn wait_for<Value, Probe, Answer>(what: &str, mut probe: Probe) -> Value
where
    Probe: FnMut() -> Answer,
    Answer: Future<Output = Option<Value>>,
{
    let begin = Instant::now();
    loop {
        if let Some(value) = probe().await {
            return value;
        }
        assert!(begin.elapsed() < CONDITION_LIMIT, "not within {CONDITION_LIMIT:?}: {what}");
        tokio::time::sleep(CONDITION_INTERVAL).await;
    }
}

/// The path of one of the workspace's binaries, all of which `cargo test --workspace` builds.
pub fn binary(name: &str) -> PathBuf {
    let lab = Path::new(env!("CARGO_BIN_EXE_lichenpulley-lab"));
    let path = lab.with_file_name(name);
    assert!(path.exists(), "{} is missing; run `cargo build --workspace --bins`", path.display());
    path
}

/// A running process. Dropping it kills it.
pub struct Process {
    name: String,
    child: Child,
    log: PathBuf,
    addresses: BTreeMap<String, SocketAddr>,
}

impl Process {
    /// Starts a binary that takes `--addresses-file`, and waits until it has written it.
    pub async fn start(folder: &Path, name: &str, program: &str, arguments: &[String]) -> Self {
        let log = folder.join(format!("{name}.log"));
        let addresses_file = folder.join(format!("{name}.addresses"));
        // What an earlier process of this name has bound is of no use.
        let _ = std::fs::remove_file(&addresses_file);
        let output = File::options().create(true).append(true).open(&log).expect("a log file");
        let child = Command::new(binary(program))
            .args(arguments)
            .arg("--addresses-file")
            .arg(&addresses_file)
            .env("RUST_LOG", "info")
            .stdin(Stdio::null())
            .stdout(output.try_clone().expect("a second handle"))
            .stderr(output)
            .spawn()
            .expect("the binary starts");
        let mut process = Self { name: name.to_owned(), child, log, addresses: BTreeMap::new() };
        process.addresses = process.read_addresses(&addresses_file).await;
        process
    }

    async fn read_addresses(&mut self, path: &Path) -> BTreeMap<String, SocketAddr> {
        let begin = Instant::now();
        loop {
            if let Ok(text) = std::fs::read_to_string(path) {
                return serde_json::from_str(&text).expect("addresses as JSON");
            }
            let ended = self.child.try_wait().expect("the state of a child");
            assert!(ended.is_none(), "{} ended while it started: {ended:?}", self.name);
            assert!(begin.elapsed() < CONDITION_LIMIT, "{} does not say where it listens", self.name);
            tokio::time::sleep(CONDITION_INTERVAL).await;
        }
    }

    /// An address that it has bound.
    pub fn address(&self, name: &str) -> SocketAddr {
        let found = self.addresses.get(name);
        *found.unwrap_or_else(|| panic!("{} has no address `{name}`: {:?}", self.name, self.addresses))
    }

    /// The id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether it has not ended.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("the state of a child").is_none()
    }

    /// Kills it as a power cut would, and waits until it is gone.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        self.child.wait().expect("the end of a child");
    }

    /// Asks it to stop, as an operator does.
    pub fn terminate(&self) {
        let id = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw).expect("a process id");
        kill_process(id, Signal::TERM).expect("the signal is sent");
    }

    /// Waits until it has ended by itself.
    pub async fn ended(&mut self) -> ExitStatus {
        let begin = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("the state of a child") {
                return status;
            }
            assert!(begin.elapsed() < CONDITION_LIMIT, "{} does not end", self.name);
            tokio::time::sleep(CONDITION_INTERVAL).await;
        }
    }

    fn print_log(&self) {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        let begin = lines.len().saturating_sub(LOG_LINES_SHOWN);
        eprintln!("--- the end of the log of {}:\n{}", self.name, lines[begin..].join("\n"));
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.print_log();
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs `lichenpulley` to its end.
pub async fn command(arguments: &[&str]) -> Output {
    let owned: Vec<String> = arguments.iter().map(|argument| (*argument).to_owned()).collect();
    let run = move || {
        Command::new(binary("lichenpulley")).args(&owned).stdin(Stdio::null()).output().expect("it starts")
    };
    tokio::task::spawn_blocking(run).await.expect("it was waited for")
}

/// Runs `lichenpulley --json` to its end and gives its result where it succeeded.
pub async fn command_json(arguments: &[&str]) -> Result<serde_json::Value, String> {
    let output = command(&[arguments, &["--json"]].concat()).await;
    if !output.status.success() {
        return Err(String::from_utf8_lossy(&output.stderr).into_owned());
    }
    serde_json::from_slice(&output.stdout).map_err(|error| error.to_string())
}
