//! The `lichenpulleyd` binary: runs one node as a process.
//!
//! Handles the command line, signals and the exit code. The first SIGTERM or SIGINT starts a planned stop, the
//! second ends the process immediately, and SIGHUP rereads the settings file. The node is implemented in
//! [`lichenpulley_daemon::node`].

use std::io::Write;
use std::path::Path;
use std::process::ExitCode;

use lichenpulley_daemon::arguments::{self, Arguments, Invocation};
use lichenpulley_daemon::logging;
use lichenpulley_daemon::node::{Node, NodeAddresses};
use lichenpulley_daemon::settings::Settings;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Exit code for an invalid command line or invalid settings.
const USAGE_FAILURE: u8 = 2;

fn main() -> ExitCode {
    if let Err(error) = logging::start() {
        return fail(&format!("can't start the log writer: {error}; raise the limit of threads"));
    }
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments::parse(&arguments) {
        Ok(Invocation::Help(text)) => print(&text),
        Ok(Invocation::Version) => print(concat!("lichenpulleyd ", env!("CARGO_PKG_VERSION"), "\n")),
        Ok(Invocation::Check(arguments)) => match load_settings(&arguments) {
            Ok(_) => print("the settings are good\n"),
            Err(problem) => exit_with_usage_error(&problem),
        },
        Ok(Invocation::Run(arguments)) => match load_settings(&arguments) {
            Ok(settings) => run(settings, &arguments),
            Err(problem) => exit_with_usage_error(&problem),
        },
        Err(error) => exit_with_usage_error(&error.to_string()),
    }
}

fn print(text: &str) -> ExitCode {
    // Writing fails only if the reader has closed the pipe.
    let _ = std::io::stdout().write_all(text.as_bytes());
    ExitCode::SUCCESS
}

fn exit_with_usage_error(problem: &str) -> ExitCode {
    eprintln!("lichenpulleyd: {problem}");
    ExitCode::from(USAGE_FAILURE)
}

fn fail(problem: &str) -> ExitCode {
    eprintln!("lichenpulleyd: {problem}");
    ExitCode::FAILURE
}

fn load_settings(arguments: &Arguments) -> Result<Settings, String> {
    let text = match &arguments.settings_file {
        Some(path) => read_file(path)?,
        None => String::new(),
    };
    let file = text.parse::<toml::Table>();
    let file = file.map_err(|error| format!("the settings are not TOML; mend this line: {error}"))?;
    Settings::from_table(arguments.apply_overrides(file)).map_err(|error| error.to_string())
}

fn read_file(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path)
        .map_err(|error| format!("{} can't be read: {error}; check the path", path.display()))
}

fn run(settings: Settings, arguments: &Arguments) -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return fail(&format!("can't start the runtime: {error}; raise the open files limit")),
    };
    let result = runtime.block_on(run_node(settings, arguments));
    let code = match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => fail(&problem),
    };
    logging::finish();
    code
}

async fn run_node(settings: Settings, arguments: &Arguments) -> Result<(), String> {
    logging::set_node_name(settings.node.as_str());
    log::info!(
        target: "node",
        version = env!("CARGO_PKG_VERSION"),
        settings = arguments.settings_file.as_ref().map_or_else(String::new, |path| path.display().to_string()),
        zone = settings.zone.as_str();
        "Starting the node."
    );
    let mut signals = Signals::listen()?;
    let node = Node::start(settings).await.map_err(|error| error.to_string())?;
    if let Some(path) = &arguments.addresses_file {
        write_addresses(path, &node.addresses())?;
    }
    // If the file can't be read any more, the first SIGHUP reports all its lines as changed.
    let mut in_force = arguments.settings_file.as_ref().and_then(|path| read_file(path).ok());
    let mut is_stopping = false;
    loop {
        let request = tokio::select! {
            request = signals.next() => request,
            () = node.stopped(), if is_stopping => return Ok(()),
            () = node.stopped(), if !is_stopping => return Err("the node stopped unexpectedly; see its log for the cause".to_owned()),
        };
        match request {
            Request::Reload => in_force = reload(arguments, in_force),
            Request::Stop if is_stopping => {
                return Err("asked twice to stop: exiting with requests in flight".to_owned());
            }
            Request::Stop => {
                is_stopping = true;
                node.begin_drain();
            }
        }
    }
}

/// Rereads the settings file and logs the changed lines. Settings take effect only when the node starts.
fn reload(arguments: &Arguments, in_force: Option<String>) -> Option<String> {
    let path = arguments.settings_file.as_ref()?;
    let text = match load_settings(arguments).and_then(|_| read_file(path)) {
        Ok(text) => text,
        Err(problem) => {
            log::warn!(target: "node", problem = problem; "Ignoring the changed settings file, which can't be used; correct it before the next start.");
            return in_force;
        }
    };
    let before = in_force.as_deref().unwrap_or_default();
    let changed: Vec<&str> = text.lines().filter(|line| !before.lines().any(|old| old == *line)).collect();
    log::info!(target: "node", changed = changed.join("; "); "The settings file was read again; changes take effect at the next start.");
    Some(text)
}

/// Writes the addresses to a temporary file and renames it, so that readers never see a partial file.
fn write_addresses(path: &Path, addresses: &NodeAddresses) -> Result<(), String> {
    let problem =
        |error: std::io::Error| format!("{} can't be written: {error}; check the path", path.display());
    let text = serde_json::to_string(addresses).map_err(|error| error.to_string())?;
    let temporary = path.with_extension("unfinished");
    std::fs::write(&temporary, text).map_err(problem)?;
    std::fs::rename(&temporary, path).map_err(problem)
}

/// The request that a signal stands for.
enum Request {
    /// SIGTERM or SIGINT: the first starts a planned stop, the second ends the process.
    Stop,
    /// SIGHUP: the settings file changed.
    Reload,
}

/// Streams of the signals that the process handles.
struct Signals {
    hangup: Signal,
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn listen() -> Result<Self, String> {
        let listen = |kind| {
            signal(kind)
                .map_err(|error| format!("signals can't be received: {error}; raise the limit of open files"))
        };
        Ok(Self {
            hangup: listen(SignalKind::hangup())?,
            terminate: listen(SignalKind::terminate())?,
            interrupt: listen(SignalKind::interrupt())?,
        })
    }

    async fn next(&mut self) -> Request {
        tokio::select! {
            _ = self.terminate.recv() => Request::Stop,
            _ = self.interrupt.recv() => Request::Stop,
            _ = self.hangup.recv() => Request::Reload,
        }
    }
}
