//! Tests of `lichenpulleyd` as a process: exit codes, signals and the file of bound addresses.

use std::io::Read;
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use lichenpulley_daemon::node::NodeAddresses;
use rustix::process::{Pid, Signal, kill_process};
use tempfile::TempDir;

const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running daemon. Killed when dropped.
struct Daemon {
    child: Child,
    folder: TempDir,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // Killing fails only if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Daemon {
    fn start(notice_ms: u64) -> Self {
        let folder = TempDir::new().expect("a folder");
        let settings = settings_file(folder.path(), notice_ms);
        let child = command(&[
            "--settings",
            path_str(&settings),
            "--addresses-file",
            path_str(&addresses_file(&folder)),
        ])
        .spawn()
        .expect("the binary runs");
        Self { child, folder }
    }

    fn addresses(&self) -> NodeAddresses {
        let path = addresses_file(&self.folder);
        wait_for(|| path.exists());
        let written = std::fs::read(path).expect("the file is complete once it exists");
        serde_json::from_slice(&written).expect("addresses as JSON")
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("the process runs");
    }

    fn wait_for_exit(&mut self) -> ExitStatus {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("the status can be read") {
                return status;
            }
            assert!(started.elapsed() < WAIT_TIMEOUT, "the process did not exit in time");
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lichenpulleyd"));
    command.args(arguments).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

/// Runs the daemon until it exits and returns the exit code, standard output and standard error.
fn run(arguments: &[&str]) -> (Option<i32>, String, String) {
    let output = command(arguments).output().expect("the binary runs");
    let as_text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    (output.status.code(), as_text(output.stdout), as_text(output.stderr))
}

fn path_str(path: &Path) -> &str {
    path.to_str().expect("a path in UTF-8")
}

fn addresses_file(folder: &TempDir) -> PathBuf {
    folder.path().join("addresses.json")
}

fn settings_file(folder: &Path, notice_ms: u64) -> PathBuf {
    let path = folder.join("node.toml");
    let settings = format!(
        "node = \"a\"\nzone = \"z\"\nroles = [\"gateway\", \"coordinator\"]\n\
         [addresses]\ncallers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n\
         [stop]\nnotice_ms = {notice_ms}\n"
    );
    std::fs::write(&path, settings).expect("written");
    path
}

fn wait_for(mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < WAIT_TIMEOUT, "the condition was not met in time");
        std::thread::sleep(POLL_INTERVAL);
    }
}

#[test]
fn first_signal_starts_a_planned_stop_with_exit_code_zero() {
    for signal in [Signal::TERM, Signal::INT] {
        let mut daemon = Daemon::start(0);
        let addresses = daemon.addresses();
        TcpStream::connect(addresses.callers).expect("the callers' port is open");
        daemon.signal(signal);
        assert_eq!(daemon.wait_for_exit().code(), Some(0));
        assert!(TcpStream::connect(addresses.callers).is_err(), "the port is still open");
    }
}

#[test]
fn second_signal_ends_the_process_immediately() {
    let notice = Duration::from_secs(600);
    let mut daemon = Daemon::start(u64::try_from(notice.as_millis()).expect("milliseconds"));
    daemon.addresses();
    daemon.signal(Signal::TERM);
    // A signal may be lost if one of its kind is still pending, so the second is sent repeatedly.
    wait_for(|| {
        daemon.signal(Signal::INT);
        daemon.child.try_wait().expect("the status can be read").is_some()
    });
    assert_eq!(daemon.wait_for_exit().code(), Some(1));
    let mut log = String::new();
    let mut stderr = daemon.child.stderr.take().expect("piped");
    stderr.read_to_string(&mut log).expect("text");
    assert!(log.contains("asked twice to stop"), "{log}");
}

#[test]
fn check_validates_settings_and_reports_by_exit_code() {
    let folder = TempDir::new().expect("a folder");
    let settings = settings_file(folder.path(), 0);
    let (code, output, _) = run(&["--settings", path_str(&settings), "--check"]);
    assert_eq!((code, output.as_str()), (Some(0), "the settings are good\n"));
    let (code, _, problems) = run(&["--settings", path_str(&settings), "--role", "store", "--check"]);
    assert_eq!(code, Some(2));
    assert!(problems.contains("data_folder: "), "{problems}");
    assert_eq!(run(&["--check"]).0, Some(2));
    assert_eq!(run(&["--settings", "/nonexistent/node.toml"]).0, Some(2));
}

#[test]
fn help_and_version_are_printed_and_unknown_flags_are_rejected() {
    let (code, help, _) = run(&["--help"]);
    assert_eq!(code, Some(0));
    assert!(help.contains("--settings") && help.contains("--check"), "{help}");
    assert_eq!(run(&["--version"]).0, Some(0));
    let (code, _, problem) = run(&["--nope"]);
    assert_eq!(code, Some(2));
    assert!(problem.contains("--help"), "{problem}");
}

#[test]
fn address_in_use_is_reported_with_its_key() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = taken.local_addr().expect("an address").to_string();
    let folder = TempDir::new().expect("a folder");
    let settings = settings_file(folder.path(), 0);
    let (code, _, problem) = run(&["--settings", path_str(&settings), "--operators", &address]);
    assert_eq!(code, Some(1));
    assert!(problem.contains("addresses.operators") && problem.contains(&address), "{problem}");
}
