//! The command line that the stand-ins share.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use getopts::{Matches, Options};

use crate::addresses::write_addresses_file;
use crate::error::LabError;
use crate::http::ANY_PORT;

/// Options of a stand-in: its own, and `--address`, `--addresses-file` and `--help`.
pub fn stand_in_options() -> Options {
    let mut options = Options::new();
    options.optopt("", "address", "listen here; port 0 takes a free one (default 127.0.0.1:0)", "IP:PORT");
    options.optopt("", "addresses-file", "write the bound addresses here as JSON", "FILE");
    options.optflag("h", "help", "print this help and end");
    options
}

/// Options of a command that has none but `--help`.
pub fn help_option() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help and end");
    options
}

/// The options that every stand-in takes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StandInArguments {
    /// Where it serves.
    pub address: SocketAddr,
    /// Where it writes its bound addresses.
    pub addresses_file: Option<PathBuf>,
}

impl StandInArguments {
    /// Reads the shared options.
    ///
    /// # Errors
    /// [`LabError::Usage`] where an address is not an IP number and a port.
    pub fn from_matches(matches: &Matches) -> Result<Self, LabError> {
        Ok(Self {
            address: address_of(matches, "address")?,
            addresses_file: matches.opt_str("addresses-file").map(PathBuf::from),
        })
    }

    /// Writes the addresses that were bound, by name, if a file was asked for.
    ///
    /// # Errors
    /// When the file can't be written.
    pub fn announce(&self, bound: &[(&str, SocketAddr)]) -> Result<(), LabError> {
        let Some(path) = &self.addresses_file else { return Ok(()) };
        let addresses = bound.iter().map(|(name, address)| ((*name).to_owned(), *address)).collect();
        write_addresses_file(path, &addresses)
    }
}

/// An address that is given, or any free port of the loopback address.
///
/// # Errors
/// [`LabError::Usage`] where it is not an IP number and a port.
pub fn address_of(matches: &Matches, name: &str) -> Result<SocketAddr, LabError> {
    Ok(optional(matches, name)?.unwrap_or(ANY_PORT))
}

/// Parses a command line. `Ok(None)` says that help was asked for and printed.
///
/// # Errors
/// [`LabError::Usage`] where an option is unknown or lacks its value, or where a free argument is given.
pub fn parse(command: &str, options: &Options, arguments: &[String]) -> Result<Option<Matches>, LabError> {
    let matches = options.parse(arguments).map_err(|error| LabError::Usage(format!("{command}: {error}")))?;
    if matches.opt_present("help") {
        let brief = format!("usage: lichenpulley-lab {command} [options]");
        println!("{}", options.usage(&brief));
        return Ok(None);
    }
    if let Some(surplus) = matches.free.first() {
        return Err(LabError::Usage(format!("{command}: unexpected argument `{surplus}`")));
    }
    Ok(Some(matches))
}

/// An option's value, or its default.
///
/// # Errors
/// [`LabError::Usage`] where the value does not parse.
pub fn value_or<T>(matches: &Matches, name: &str, default: &str) -> Result<T, LabError>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    let text = matches.opt_str(name).unwrap_or_else(|| default.to_owned());
    text.parse().map_err(|error| LabError::Usage(format!("--{name} `{text}`: {error}")))
}

/// The value of an option that must be given.
///
/// # Errors
/// [`LabError::Usage`] where it is absent or does not parse.
pub fn required<T>(matches: &Matches, name: &str) -> Result<T, LabError>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    let text = matches.opt_str(name).ok_or_else(|| LabError::Usage(format!("--{name} is missing")))?;
    text.parse().map_err(|error| LabError::Usage(format!("--{name} `{text}`: {error}")))
}

/// Ends when the process gets SIGTERM or SIGINT.
///
/// # Errors
/// When the signals can't be watched.
pub async fn stop_signal() -> Result<(), LabError> {
    use tokio::signal::unix::{SignalKind, signal};
    let unwatched = |source| LabError::Io {
        action: "watch SIGTERM and SIGINT".to_owned(),
        remedy: "start the process where signals can be handled",
        source,
    };
    let mut terminate = signal(SignalKind::terminate()).map_err(unwatched)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(unwatched)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// The value of an option that may be absent.
///
/// # Errors
/// [`LabError::Usage`] where it does not parse.
pub fn optional<T>(matches: &Matches, name: &str) -> Result<Option<T>, LabError>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    if matches.opt_present(name) { required(matches, name).map(Some) } else { Ok(None) }
}

/// The values of an option that may be repeated.
///
/// # Errors
/// [`LabError::Usage`] where one does not parse.
pub fn each<T>(matches: &Matches, name: &str) -> Result<Vec<T>, LabError>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    let parse =
        |text: String| text.parse().map_err(|error| LabError::Usage(format!("--{name} `{text}`: {error}")));
    matches.opt_strs(name).into_iter().map(parse).collect()
}
