//! The command line of `lichenpulleyd`: flags over a settings file.
//!
//! Owns the flags and the key that each sets; what the values mean is checked by `settings`. Reads no file.

use std::path::PathBuf;

use getopts::{Matches, Options};
use toml::{Table, Value};

/// What the command line asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Invocation {
    /// Print the help text.
    Help(String),
    /// Print the version.
    Version,
    /// Test the settings and start nothing.
    Check(Arguments),
    /// Run a node.
    Run(Arguments),
}

/// A settings file, and flags over it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Arguments {
    /// The settings file; without one, flags give everything.
    pub settings_file: Option<PathBuf>,
    /// Where to write the bound addresses as JSON once everything listens.
    pub addresses_file: Option<PathBuf>,
    /// Keys that flags set.
    pub overrides: Table,
}

/// Why a command line was refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{message}; see `lichenpulleyd --help`")]
pub struct UsageError {
    /// What is wrong.
    pub message: String,
}

/// A flag that sets one key.
struct KeyFlag {
    flag: &'static str,
    key: &'static str,
    hint: &'static str,
    description: &'static str,
    many: bool,
}

const fn one(
    flag: &'static str,
    key: &'static str,
    hint: &'static str,
    description: &'static str,
) -> KeyFlag {
    KeyFlag { flag, key, hint, description, many: false }
}

const fn many(
    flag: &'static str,
    key: &'static str,
    hint: &'static str,
    description: &'static str,
) -> KeyFlag {
    KeyFlag { flag, key, hint, description, many: true }
}

const KEY_FLAGS: [KeyFlag; 12] = [
    one("node", "node", "NAME", "this node's name, unique in the cluster"),
    one("zone", "zone", "NAME", "this node's zone"),
    many("role", "roles", "ROLE", "gateway, coordinator or store; may be repeated"),
    one("callers", "addresses.callers", "IP:PORT", "where callers reach this node"),
    one("operators", "addresses.operators", "IP:PORT", "where operators reach this node"),
    one("peers", "addresses.peers", "IP:PORT", "where other nodes reach this node"),
    one("data-folder", "data_folder", "FOLDER", "where the store role keeps its logs"),
    many("seed", "peers.seeds", "IP:PORT", "the peers' address of another node; may be repeated"),
    one("object-api", "platform.object_api", "IP:PORT", "the platform's object API"),
    one("machine-list", "platform.machine_list", "IP:PORT", "the platform's machine list"),
    one("weight-store", "platform.weight_store", "IP:PORT", "the platform's weight store"),
    one("scorer", "platform.scorer", "IP:PORT", "the service that scores answers"),
];

/// Reads a command line, without the program's name.
///
/// # Errors
/// When a flag is unknown or lacks its value.
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
        return Err(UsageError { message: format!("\"{extra}\" is no flag") });
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
    /// The settings that result: the file's, with the flags over them.
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
    options.optopt("", "addresses-file", "write the bound addresses there as JSON, once all listen", "FILE");
    for flag in KEY_FLAGS {
        if flag.many {
            options.optmulti("", flag.flag, flag.description, flag.hint);
        } else {
            options.optopt("", flag.flag, flag.description, flag.hint);
        }
    }
    options.optmulti("", "set", "any other key, such as membership.probe_interval_ms=500", "KEY=VALUE");
    options.optflag("", "check", "test the settings and start nothing");
    options.optflag("h", "help", "print this text");
    options.optflag("V", "version", "print the version");
    options
}

fn overrides(matches: &Matches) -> Result<Table, UsageError> {
    let mut table = Table::new();
    for flag in KEY_FLAGS {
        let texts = matches.opt_strs(flag.flag);
        let mut values = texts.into_iter().map(Value::String);
        if flag.many {
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
            return Err(UsageError { message: format!("\"{assignment}\" is not KEY=VALUE") });
        };
        insert(&mut table, key.trim(), parse_value(text.trim()))?;
    }
    Ok(table)
}

/// A value as TOML writes it; what is no TOML value is taken as text.
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
