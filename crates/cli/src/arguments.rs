//! Command line parsing.
//!
//! Converts the arguments and the environment into one typed command. `syntax` defines the syntax of each command and
//! reads the files that a command takes as its input, such as a job specification.

mod syntax;

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use getopts::{Matches, Options, ParsingStyle};
use lichenpulley_core::identity::{JobId, PoolName, ReplicaId};
use lichenpulley_core::quarantine::Fingerprint;
use lichenpulley_protocol::caller::JobSpecification;

use crate::client::Interface;
use crate::commands::account::Account;
use crate::commands::config::{Selection, Setting, SettingChange};
use crate::commands::trace::Trace;
use crate::commands::watch::WatchOptions;
use crate::error::CliError;
use syntax::{SYNTAXES, Syntax};

/// Default of `--timeout-ms`: exceeds the 8 s that a change of a setting may take until it is in force.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Values that are read from the environment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Environment {
    /// Value of `LICHENPULLEY_OPERATORS`.
    pub operators: Option<String>,
    /// Value of `LICHENPULLEY_CALLERS`.
    pub callers: Option<String>,
}

impl Environment {
    /// Reads the environment of this process.
    pub fn of_process() -> Self {
        Self {
            operators: std::env::var(Interface::Operators.variable()).ok(),
            callers: std::env::var(Interface::Callers.variable()).ok(),
        }
    }
}

/// Options that are common to all commands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommonOptions {
    /// Addresses of the operators' interface. Commands use the first that accepts a connection; `watch` uses all.
    pub operators: Vec<SocketAddr>,
    /// Addresses of the callers' interface. Commands use the first that accepts a connection.
    pub callers: Vec<SocketAddr>,
    /// Whether results are printed as JSON instead of tables.
    pub json: bool,
    /// Time limit for a response.
    pub timeout: Duration,
}

/// A parsed command with its arguments.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Prints a help text.
    Help(String),
    /// Prints the version.
    Version,
    /// `config get [LEVEL [KEY]]`
    ConfigGet(Selection),
    /// `config set LEVEL KEY VALUE`
    ConfigSet(SettingChange),
    /// `config explain LEVEL KEY`
    ConfigExplain(Setting),
    /// `job submit FILE`
    JobSubmit(JobSpecification),
    /// `job status JOB`
    JobStatus(JobId),
    /// `pool list [POOL]`
    PoolList(Option<PoolName>),
    /// `regions`
    Regions,
    /// `queue [SERVICE]`
    Queue(Option<String>),
    /// `replicas [SERVICE]`
    Replicas(Option<String>),
    /// `drain REPLICA`
    Drain(ReplicaId),
    /// `undrain REPLICA`
    Undrain(ReplicaId),
    /// `tenants`
    Tenants,
    /// `zones`
    Zones,
    /// `evacuate ZONE`
    Evacuate(String),
    /// `return ZONE`
    Return(String),
    /// `ends`
    Ends,
    /// `quarantine`
    Quarantine,
    /// `release FINGERPRINT`
    Release(Fingerprint),
    /// `account FILE...`
    Account(Account),
    /// `trace ID FILE...`
    Trace(Trace),
    /// `watch`
    Watch(WatchOptions),
}

/// A command and the common options.
#[derive(Clone, Debug, PartialEq)]
pub struct Invocation {
    /// Options that are common to all commands.
    pub options: CommonOptions,
    /// The command.
    pub command: Command,
}

impl Invocation {
    /// Parses a command line without the program's name.
    ///
    /// # Errors
    /// Returns [`CliError::Usage`] if the command line is invalid and [`CliError::File`] if an input file can't be used.
    pub fn parse(arguments: &[String], environment: &Environment) -> Result<Self, CliError> {
        let mut leading = common_options();
        leading.optflag("V", "version", "print the version and end");
        leading.parsing_style(ParsingStyle::StopAtFirstFree);
        let before = parse(&leading, arguments)?;
        let words = &before.free;
        let Some(syntax) = SYNTAXES.iter().find(|syntax| starts_with(words, syntax.words)) else {
            return Self::parse_without_command(&before, environment);
        };
        let mut options = common_options();
        (syntax.add_options)(&mut options);
        let after = parse(&options, &words[syntax.words.len()..])?;
        let command = if before.opt_present("help") || after.opt_present("help") {
            Command::Help(syntax.usage(&options))
        } else {
            (syntax.read)(&after)?
        };
        Ok(Self { options: CommonOptions::read(&[&before, &after], environment)?, command })
    }

    fn parse_without_command(matches: &Matches, environment: &Environment) -> Result<Self, CliError> {
        let first = matches.free.first().map(String::as_str);
        let command = match first {
            _ if matches.opt_present("version") => Command::Version,
            Some("help") => Command::Help(help()),
            None if matches.opt_present("help") => Command::Help(help()),
            None => return Err(CliError::Usage("no command given".to_owned())),
            Some(_) => {
                let message = format!("unknown command `{}`", matches.free.join(" "));
                return Err(CliError::Usage(message));
            }
        };
        Ok(Self { options: CommonOptions::read(&[matches], environment)?, command })
    }
}

impl CommonOptions {
    /// Combines the options. Later matches override earlier ones, and flags override the environment.
    fn read(all: &[&Matches], environment: &Environment) -> Result<Self, CliError> {
        let flag = |name: &str| {
            all.iter().rev().map(|matches| matches.opt_strs(name)).find(|values| !values.is_empty())
        };
        let operators = flag(Interface::Operators.flag())
            .unwrap_or_else(|| environment.operators.iter().cloned().collect());
        let callers =
            flag(Interface::Callers.flag()).unwrap_or_else(|| environment.callers.iter().cloned().collect());
        let timeout = match flag("timeout-ms") {
            Some(texts) => Duration::from_millis(parse_number("--timeout-ms", &texts[0])?),
            None => DEFAULT_TIMEOUT,
        };
        Ok(Self {
            operators: parse_addresses(&operators)?,
            callers: parse_addresses(&callers)?,
            json: all.iter().any(|matches| matches.opt_present("json")),
            timeout,
        })
    }
}

impl Syntax {
    fn usage(&self, options: &Options) -> String {
        let line = format!("lichenpulley {} {}", self.words.join(" "), self.arguments);
        options.usage(&format!("usage: {} [options]\n\n{}", line.trim_end(), self.help))
    }
}

/// Returns the text of `lichenpulley --help`.
fn help() -> String {
    let mut table = crate::table::Table::new(&["usage: lichenpulley COMMAND [options]", ""]);
    for syntax in SYNTAXES {
        let line = format!("  {} {}", syntax.words.join(" "), syntax.arguments);
        table.row(vec![line, syntax.help.to_owned()]);
    }
    common_options().usage(&table.render())
}

fn common_options() -> Options {
    let mut options = Options::new();
    let operators = "operators' address of a node; may be repeated (or LICHENPULLEY_OPERATORS, by comma)";
    let callers = "callers' address of a node; may be repeated (or LICHENPULLEY_CALLERS, by comma)";
    options.optmulti("o", Interface::Operators.flag(), operators, "IP:PORT");
    options.optmulti("c", Interface::Callers.flag(), callers, "IP:PORT");
    options.optopt("", "timeout-ms", "wait so long for an answer (default 10000)", "MS");
    options.optflag("j", "json", "print JSON, one value a line");
    options.optflag("h", "help", "print help and end");
    options
}

fn parse(options: &Options, arguments: &[String]) -> Result<Matches, CliError> {
    options.parse(arguments).map_err(|error| CliError::Usage(error.to_string()))
}

fn starts_with(arguments: &[String], words: &[&str]) -> bool {
    arguments.len() >= words.len() && words.iter().zip(arguments).all(|(word, argument)| word == argument)
}

fn parse_addresses(texts: &[String]) -> Result<Vec<SocketAddr>, CliError> {
    texts.iter().flat_map(|text| text.split(',')).map(parse_address).collect()
}

fn parse_address(text: &str) -> Result<SocketAddr, CliError> {
    let trimmed = text.trim().trim_start_matches("http://").trim_end_matches('/');
    let usage_error = || CliError::Usage(format!("`{text}` is not a valid address; give IP:PORT"));
    trimmed.parse().map_err(|_| usage_error())
}

fn parse_number<Number: FromStr>(name: &str, text: &str) -> Result<Number, CliError> {
    text.parse().map_err(|_| CliError::Usage(format!("{name} takes a whole number, not `{text}`")))
}
