//! `lichenpulleyd`: runs one node.
//!
//! Owns the process: its command line, its signals (the first SIGTERM or SIGINT begins a planned stop, the second ends it,
//! SIGHUP reads the settings again) and its exit code. The node itself is [`lichenpulley_daemon::node`].

use std::io::Write;
use std::path::Path;
use std::process::ExitCode;

use lichenpulley_daemon::arguments::{self, Arguments, Invocation};
use lichenpulley_daemon::logging;
use lichenpulley_daemon::node::{Node, NodeAddresses};
use lichenpulley_daemon::settings::Settings;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The command line or the settings are wrong.
const USAGE_FAILURE: u8 = 2;

fn main() -> ExitCode {
    if let Err(error) = logging::start() {
        return fail(&format!("logs can't be written: {error}; raise the limit of threads"));
    }
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments::parse(&arguments) {
        Ok(Invocation::Help(text)) => print(&text),
        Ok(Invocation::Version) => print(concat!("lichenpulleyd ", env!("CARGO_PKG_VERSION"), "\n")),
        Ok(Invocation::Check(arguments)) => match load(&arguments) {
            Ok(_) => print("the settings are good\n"),
            Err(problem) => refuse(&problem),
        },
        Ok(Invocation::Run(arguments)) => match load(&arguments) {
            Ok(settings) => run(settings, &arguments),
            Err(problem) => refuse(&problem),
        },
        Err(error) => refuse(&error.to_string()),
    }
}

fn print(text: &str) -> ExitCode {
    // A reader that closed its end early wants no more.
    let _ = std::io::stdout().write_all(text.as_bytes());
    ExitCode::SUCCESS
}

fn refuse(problem: &str) -> ExitCode {
    eprintln!("lichenpulleyd: {problem}");
    ExitCode::from(USAGE_FAILURE)
}

fn fail(problem: &str) -> ExitCode {
    eprintln!("lichenpulleyd: {problem}");
    ExitCode::FAILURE
}

fn load(arguments: &Arguments) -> Result<Settings, String> {
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
        Err(error) => return fail(&format!("no thread can be started: {error}; raise the limit of threads")),
    };
    let ended = runtime.block_on(run_node(settings, arguments));
    let code = match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => fail(&problem),
    };
    logging::finish();
    code
}

async fn run_node(settings: Settings, arguments: &Arguments) -> Result<(), String> {
    logging::name_node(settings.node.as_str());
    log::info!(
        target: "node",
        version = env!("CARGO_PKG_VERSION"),
        settings = arguments.settings_file.as_ref().map_or_else(String::new, |path| path.display().to_string()),
        zone = settings.zone.as_str();
        "The node starts."
    );
    let mut signals = Signals::listen()?;
    let node = Node::start(settings).await.map_err(|error| error.to_string())?;
    if let Some(path) = &arguments.addresses_file {
        write_addresses(path, &node.addresses())?;
    }
    // A file that can't be read any more is only missing from what SIGHUP compares with.
    let mut in_force = arguments.settings_file.as_ref().and_then(|path| read_file(path).ok());
    let mut is_stopping = false;
    loop {
        let request = tokio::select! {
            request = signals.next() => request,
            () = node.stopped(), if is_stopping => return Ok(()),
            () = node.stopped(), if !is_stopping => return Err("the node ended by itself; its log names the cause".to_owned()),
        };
        match request {
            Request::Reload => in_force = reload(arguments, in_force),
            Request::Stop if is_stopping => {
                return Err("asked twice to stop: ended with requests in flight".to_owned());
            }
            Request::Stop => {
                is_stopping = true;
                node.begin_drain();
            }
        }
    }
}

/// Reads the settings file again and tells what changed; a node takes settings into force when it starts.
fn reload(arguments: &Arguments, in_force: Option<String>) -> Option<String> {
    let path = arguments.settings_file.as_ref()?;
    let text = match load(arguments).and_then(|_| read_file(path)) {
        Ok(text) => text,
        Err(problem) => {
            log::warn!(target: "node", problem = problem; "The settings file was changed to one that can't be used; what is in force stays.");
            return in_force;
        }
    };
    let before = in_force.as_deref().unwrap_or_default();
    let changed: Vec<&str> = text.lines().filter(|line| !before.lines().any(|old| old == *line)).collect();
    log::info!(target: "node", changed = changed.join("; "); "The settings file was read again; changes take effect at the next start.");
    Some(text)
}

/// Writes a file beside it and renames, so that a reader never sees half of it.
fn write_addresses(path: &Path, addresses: &NodeAddresses) -> Result<(), String> {
    let problem =
        |error: std::io::Error| format!("{} can't be written: {error}; check the path", path.display());
    let text = serde_json::to_string(addresses).map_err(|error| error.to_string())?;
    let unfinished = path.with_extension("unfinished");
    std::fs::write(&unfinished, text).map_err(problem)?;
    std::fs::rename(&unfinished, path).map_err(problem)
}

/// What a signal asks for.
enum Request {
    /// SIGTERM and SIGINT: the first begins a planned stop, the second ends the process.
    Stop,
    /// SIGHUP: the settings file changed.
    Reload,
}

/// The signals that a node listens to.
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
