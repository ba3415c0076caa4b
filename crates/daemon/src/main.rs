//! `lichenpulleyd`: runs one node.

use std::io::Write;
use std::path::Path;
use std::process::ExitCode;

use lichenpulley_daemon::arguments::{self, Arguments, Invocation};
use lichenpulley_daemon::node::{Node, NodeAddresses};
use lichenpulley_daemon::settings::Settings;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// What is logged where `RUST_LOG` is not set; `tarpc` would log every call.
const DEFAULT_LOG_FILTER: &str = "info,tarpc=warn";
/// The command line or the settings are wrong.
const USAGE_FAILURE: u8 = 2;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(DEFAULT_LOG_FILTER)).init();
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
    Settings::from_table(arguments.lay_over(file)).map_err(|error| error.to_string())
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
    match runtime.block_on(run_node(settings, arguments)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => fail(&problem),
    }
}

async fn run_node(settings: Settings, arguments: &Arguments) -> Result<(), String> {
    let mut signals = StopRequests::listen()?;
    let node = Node::start(settings).await.map_err(|error| error.to_string())?;
    if let Some(path) = &arguments.addresses_file {
        write_addresses(path, &node.addresses())?;
    }
    tokio::select! {
        () = signals.next() => node.begin_drain(),
        () = node.stopped() => return Err("the node ended by itself; its log names the cause".to_owned()),
    }
    tokio::select! {
        () = node.stopped() => Ok(()),
        () = signals.next() => Err("asked twice to stop: ended with requests in flight".to_owned()),
    }
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

/// SIGTERM and SIGINT: the first begins a planned stop, the second ends the process.
struct StopRequests {
    terminate: Signal,
    interrupt: Signal,
}

impl StopRequests {
    fn listen() -> Result<Self, String> {
        let listen = |kind| signal(kind).map_err(|error| format!("signals can't be heard: {error}"));
        Ok(Self { terminate: listen(SignalKind::terminate())?, interrupt: listen(SignalKind::interrupt())? })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
