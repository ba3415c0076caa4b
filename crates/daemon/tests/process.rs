//! `lichenpulleyd` as a process: exit codes, signals, and the file of bound addresses.

use std::io::Read;
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use lichenpulley_daemon::node::NodeAddresses;
use rustix::process::{Pid, Signal, kill_process};
use tempfile::TempDir;

const PATIENCE: Duration = Duration::from_secs(60);
const PAUSE: Duration = Duration::from_millis(10);

/// A running daemon; killed where a test ends early.
struct Daemon {
    child: Child,
    folder: TempDir,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // An error only says that it has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Daemon {
    fn start(notice_ms: u64) -> Self {
        let folder = TempDir::new().expect("a folder");
        let settings = settings_file(folder.path(), notice_ms);
        let child =
            command(&["--settings", text(&settings), "--addresses-file", text(&addresses_file(&folder))])
                .spawn()
                .expect("the binary runs");
        Self { child, folder }
    }

    fn addresses(&self) -> NodeAddresses {
        let path = addresses_file(&self.folder);
        wait_for(|| path.exists());
        let written = std::fs::read(path).expect("the file is whole once it exists");
        serde_json::from_slice(&written).expect("addresses as JSON")
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("the process runs");
    }

    fn end(&mut self) -> ExitStatus {
        let begin = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("the status can be read") {
                return status;
            }
            assert!(begin.elapsed() < PATIENCE, "the process does not end");
            std::thread::sleep(PAUSE);
        }
    }
}

fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lichenpulleyd"));
    command.args(arguments).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

/// Runs to the end and gives the exit code, standard output and standard error.
fn run(arguments: &[&str]) -> (Option<i32>, String, String) {
    let output = command(arguments).output().expect("the binary runs");
    let as_text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    (output.status.code(), as_text(output.stdout), as_text(output.stderr))
}

fn text(path: &Path) -> &str {
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
    let begin = Instant::now();
    while !condition() {
        assert!(begin.elapsed() < PATIENCE, "the condition never came");
        std::thread::sleep(PAUSE);
    }
}

#[test]
fn the_first_signal_begins_a_planned_stop_that_ends_well() {
    for signal in [Signal::TERM, Signal::INT] {
        let mut daemon = Daemon::start(0);
        let addresses = daemon.addresses();
        TcpStream::connect(addresses.callers).expect("the callers' port is open");
        daemon.signal(signal);
        assert_eq!(daemon.end().code(), Some(0));
        assert!(TcpStream::connect(addresses.callers).is_err(), "the port is still open");
    }
}

#[test]
fn the_second_signal_ends_the_process_at_once() {
    let notice = Duration::from_secs(600);
    let mut daemon = Daemon::start(u64::try_from(notice.as_millis()).expect("milliseconds"));
    daemon.addresses();
    daemon.signal(Signal::TERM);
    // Two signals of a kind may be merged into one while the first waits, so the second is sent until it counts.
    wait_for(|| {
        daemon.signal(Signal::INT);
        daemon.child.try_wait().expect("the status can be read").is_some()
    });
    assert_eq!(daemon.end().code(), Some(1));
    let mut log = String::new();
    let mut stderr = daemon.child.stderr.take().expect("piped");
    stderr.read_to_string(&mut log).expect("text");
    assert!(log.contains("asked twice to stop"), "{log}");
}

#[test]
fn a_check_starts_nothing_and_tells_by_its_exit_code() {
    let folder = TempDir::new().expect("a folder");
    let settings = settings_file(folder.path(), 0);
    let (code, output, _) = run(&["--settings", text(&settings), "--check"]);
    assert_eq!((code, output.as_str()), (Some(0), "the settings are good\n"));
    let (code, _, problems) = run(&["--settings", text(&settings), "--role", "store", "--check"]);
    assert_eq!(code, Some(2));
    assert!(problems.contains("data_folder: "), "{problems}");
    assert_eq!(run(&["--check"]).0, Some(2));
    assert_eq!(run(&["--settings", "/nonexistent/node.toml"]).0, Some(2));
}

#[test]
fn help_and_version_are_told_and_unknown_flags_are_refused() {
    let (code, help, _) = run(&["--help"]);
    assert_eq!(code, Some(0));
    assert!(help.contains("--settings") && help.contains("--check"), "{help}");
    assert_eq!(run(&["--version"]).0, Some(0));
    let (code, _, problem) = run(&["--nope"]);
    assert_eq!(code, Some(2));
    assert!(problem.contains("--help"), "{problem}");
}

#[test]
fn an_address_in_use_is_named_with_its_key() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = taken.local_addr().expect("an address").to_string();
    let folder = TempDir::new().expect("a folder");
    let settings = settings_file(folder.path(), 0);
    let (code, _, problem) = run(&["--settings", text(&settings), "--operators", &address]);
    assert_eq!(code, Some(1));
    assert!(problem.contains("addresses.operators") && problem.contains(&address), "{problem}");
}
