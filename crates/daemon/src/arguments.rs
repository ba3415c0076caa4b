//! Command line of `lichenpulleyd`: flags that override keys of the settings file.
//!
//! Defines the flags and the key that each one sets. The module `settings` validates the values. Reads no file.

use std::path::PathBuf;

use getopts::{Matches, Options};
use toml::{Table, Value};

/// The action that the command line requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Invocation {
    /// Print the help text.
    Help(String),
    /// Print the version.
    Version,
    /// Validate the settings without starting a node.
    Check(Arguments),
    /// Run a node.
    Run(Arguments),
}

/// A settings file and the flags that override it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Arguments {
    /// The settings file. Without one, all settings come from flags.
    pub settings_file: Option<PathBuf>,
    /// The file to which the bound addresses are written as JSON once all sockets are listening.
    pub addresses_file: Option<PathBuf>,
    /// Keys set by flags.
    pub overrides: Table,
}

/// Error for an invalid command line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{message}; see `lichenpulleyd --help`")]
pub struct UsageError {
    /// Describes the problem.
    pub message: String,
}

/// A flag that sets one key of the settings.
struct KeyFlag {
    flag: &'static str,
    key: &'static str,
    hint: &'static str,
    description: &'static str,
    is_repeatable: bool,
}

const fn single(
    flag: &'static str,
    key: &'static str,
    hint: &'static str,
    description: &'static str,
) -> KeyFlag {
    KeyFlag { flag, key, hint, description, is_repeatable: false }
}

const fn repeatable(
    flag: &'static str,
    key: &'static str,
    hint: &'static str,
    description: &'static str,
) -> KeyFlag {
    KeyFlag { flag, key, hint, description, is_repeatable: true }
}

const KEY_FLAGS: [KeyFlag; 12] = [
    single("node", "node", "NAME", "this node's name, unique in the cluster"),
    single("zone", "zone", "NAME", "this node's zone"),
    repeatable("role", "roles", "ROLE", "gateway, coordinator or store; may be repeated"),
    single("callers", "addresses.callers", "IP:PORT", "address on which this node serves callers"),
    single("operators", "addresses.operators", "IP:PORT", "address on which this node serves operators"),
    single("peers", "addresses.peers", "IP:PORT", "address on which this node serves its peers"),
    single("data-folder", "data_folder", "FOLDER", "folder in which the store role keeps its logs"),
    repeatable("seed", "peers.seeds", "IP:PORT", "peer address of another node; may be repeated"),
    single("object-api", "platform.object_api", "IP:PORT", "the platform's object API"),
    single("machine-list", "platform.machine_list", "IP:PORT", "the platform's machine list"),
    single("weight-store", "platform.weight_store", "IP:PORT", "the platform's weight store"),
    single("scorer", "platform.scorer", "IP:PORT", "the service that scores outputs"),
];

/// Parses a command line, without the program name.
///
/// # Errors
/// When a flag is unknown, lacks its value or sets a key inconsistently, or an argument is not a flag.
pub fn parse(arguments: &[String]) -> Result<Invocation, UsageError> {
    let options = options();
    let matches = options.parse(arguments).map_err(|error| UsageError { message: error.to_string() })?;
    if matches.opt_present("help") {
        return Ok(Invocation::Help(options.usage("Usage: lichenpulleyd [--settings FILE] [FLAGS]")));
    }
    if matches.opt_present("version") {
        return Ok(Invocation::Version);
    }
    if let Some(extra) = matches.free.first() {
        return Err(UsageError { message: format!("unexpected argument \"{extra}\"") });
    }
    let arguments = Arguments {
        settings_file: matches.opt_str("settings").map(PathBuf::from),
        addresses_file: matches.opt_str("addresses-file").map(PathBuf::from),
        overrides: overrides(&matches)?,
    };
    if matches.opt_present("check") {
        return Ok(Invocation::Check(arguments));
    }
    Ok(Invocation::Run(arguments))
}

impl Arguments {
    /// Returns the settings of the file, overridden by the flags.
    pub fn apply_overrides(&self, mut file: Table) -> Table {
        for (name, value) in &self.overrides {
            match (file.get_mut(name), value) {
                (Some(Value::Table(inner)), Value::Table(over)) => inner.extend(over.clone()),
                _ => {
                    file.insert(name.clone(), value.clone());
                }
            }
        }
        file
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("s", "settings", "the settings file (TOML)", "FILE");
    options.optopt(
        "",
        "addresses-file",
        "write the bound addresses to this file as JSON once all sockets are listening",
        "FILE",
    );
    for flag in KEY_FLAGS {
        if flag.is_repeatable {
            options.optmulti("", flag.flag, flag.description, flag.hint);
        } else {
            options.optopt("", flag.flag, flag.description, flag.hint);
        }
    }
    options.optmulti("", "set", "set any other key, such as membership.probe_interval_ms=500", "KEY=VALUE");
    options.optflag("", "check", "validate the settings without starting a node");
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options
}

fn overrides(matches: &Matches) -> Result<Table, UsageError> {
    let mut table = Table::new();
    for flag in KEY_FLAGS {
        let texts = matches.opt_strs(flag.flag);
        let mut values = texts.into_iter().map(Value::String);
        if flag.is_repeatable {
            let values: Vec<Value> = values.collect();
            if !values.is_empty() {
                insert(&mut table, flag.key, Value::Array(values))?;
            }
        } else if let Some(value) = values.next() {
            insert(&mut table, flag.key, value)?;
        }
    }
    for assignment in matches.opt_strs("set") {
        let Some((key, text)) = assignment.split_once('=') else {
            return Err(UsageError { message: format!("\"{assignment}\" is not of the form KEY=VALUE") });
        };
        insert(&mut table, key.trim(), parse_value(text.trim()))?;
    }
    Ok(table)
}

/// Parses a TOML value. Text that is no valid TOML value becomes a string.
fn parse_value(text: &str) -> Value {
    let parsed = format!("value = {text}").parse::<Table>();
    let value = parsed.ok().and_then(|mut table| table.remove("value"));
    value.unwrap_or_else(|| Value::String(text.to_owned()))
}

fn insert(table: &mut Table, key: &str, value: Value) -> Result<(), UsageError> {
    let Some((outer, inner)) = key.split_once('.') else {
        table.insert(key.to_owned(), value);
        return Ok(());
    };
    let entry = table.entry(outer.to_owned()).or_insert_with(|| Value::Table(Table::new()));
    let Some(nested) = entry.as_table_mut() else {
        return Err(UsageError { message: format!("\"{outer}\" is set both as a value and as a table") });
    };
    nested.insert(inner.to_owned(), value);
    Ok(())
}
