//! Syntax of each command: its words, arguments, options and help text, and how its arguments are parsed.

use std::fs;
use std::io::Read;
use std::str::FromStr;
use std::time::Duration;

use getopts::{Matches, Options};
use lichenpulley_core::identity::{JobId, PoolName, ReplicaId, Revision};
use lichenpulley_core::quarantine::Fingerprint;

use super::{Command, parse_number};
use crate::commands::account::Account;
use crate::commands::config::{Selection, Setting, SettingChange};
use crate::commands::trace::Trace;
use crate::commands::watch::WatchOptions;
use crate::error::CliError;

/// Syntax of one command.
pub(super) struct Syntax {
    pub(super) words: &'static [&'static str],
    pub(super) arguments: &'static str,
    pub(super) help: &'static str,
    pub(super) add_options: fn(&mut Options),
    pub(super) read: fn(&Matches) -> Result<Command, CliError>,
}

/// Syntax of all commands, in the order of the help text.
pub(super) const SYNTAXES: &[Syntax] = &[
    Syntax {
        words: &["config", "get"],
        arguments: "[LEVEL [KEY]]",
        help: "show the values that are set, each at its level",
        add_options: no_options,
        read: read_config_get,
    },
    Syntax {
        words: &["config", "set"],
        arguments: "LEVEL KEY VALUE",
        help: "set a value at a level; with --remove and no VALUE, inherit again",
        add_options: add_config_set_options,
        read: read_config_set,
    },
    Syntax {
        words: &["config", "explain"],
        arguments: "LEVEL KEY",
        help: "show the value in force and the level that it comes from",
        add_options: no_options,
        read: read_config_explain,
    },
    Syntax {
        words: &["job", "submit"],
        arguments: "FILE",
        help: "create a rollout job from a JSON file; - reads standard input",
        add_options: no_options,
        read: read_job_submit,
    },
    Syntax {
        words: &["job", "status"],
        arguments: "JOB",
        help: "show how a job stands",
        add_options: no_options,
        read: |matches| Ok(Command::JobStatus(JobId::new(one_argument(matches, "JOB")?))),
    },
    Syntax {
        words: &["replicas"],
        arguments: "[SERVICE]",
        help: "show what a gateway may send to each replica that the platform lists",
        add_options: no_options,
        read: read_replicas,
    },
    Syntax {
        words: &["pool", "list"],
        arguments: "[POOL]",
        help: "show pools and their replicas as a node sees them",
        add_options: no_options,
        read: read_pool_list,
    },
    Syntax {
        words: &["queue"],
        arguments: "[SERVICE]",
        help: "show the waiting work of batch jobs by service, priority and trainer, as the owners report it",
        add_options: no_options,
        read: read_queue,
    },
    Syntax {
        words: &["regions"],
        arguments: "",
        help: "show what stands in each region, who owns the batch jobs bound to some, and what was refused",
        add_options: no_options,
        read: |matches| at_most(matches, 0).map(|()| Command::Regions),
    },
    Syntax {
        words: &["drain"],
        arguments: "REPLICA",
        help: "order a replica to finish what runs and to take nothing new",
        add_options: no_options,
        read: |matches| Ok(Command::Drain(ReplicaId::new(one_argument(matches, "REPLICA")?))),
    },
    Syntax {
        words: &["undrain"],
        arguments: "REPLICA",
        help: "order a drained replica to take work again",
        add_options: no_options,
        read: |matches| Ok(Command::Undrain(ReplicaId::new(one_argument(matches, "REPLICA")?))),
    },
    Syntax {
        words: &["tenants"],
        arguments: "",
        help: "show the tenants of the configuration that a node has in force",
        add_options: no_options,
        read: |matches| at_most(matches, 0).map(|()| Command::Tenants),
    },
    Syntax {
        words: &["zones"],
        arguments: "",
        help: "show which zones are evacuated, as a node sees them",
        add_options: no_options,
        read: |matches| at_most(matches, 0).map(|()| Command::Zones),
    },
    Syntax {
        words: &["evacuate"],
        arguments: "ZONE",
        help: "send nothing new to the replicas of a zone",
        add_options: no_options,
        read: |matches| Ok(Command::Evacuate(one_argument(matches, "ZONE")?)),
    },
    Syntax {
        words: &["return"],
        arguments: "ZONE",
        help: "give an evacuated zone back",
        add_options: no_options,
        read: |matches| Ok(Command::Return(one_argument(matches, "ZONE")?)),
    },
    Syntax {
        words: &["quarantine"],
        arguments: "",
        help: "show which requests a node keeps from all replicas, since replicas ended under them",
        add_options: no_options,
        read: |matches| at_most(matches, 0).map(|()| Command::Quarantine),
    },
    Syntax {
        words: &["ends"],
        arguments: "",
        help: "show which ends of jobs a node has read that are not known to be kept",
        add_options: no_options,
        read: |matches| at_most(matches, 0).map(|()| Command::Ends),
    },
    Syntax {
        words: &["release"],
        arguments: "FINGERPRINT",
        help: "let a request through again that is kept from all replicas",
        add_options: no_options,
        read: |matches| read_fingerprint(matches).map(Command::Release),
    },
    Syntax {
        words: &["account"],
        arguments: "FILE...",
        help: "split the time of a trainer's steps, from the nodes' logs; - reads standard input",
        add_options: |options| {
            options.optopt("", "plot", "write the bars as SVG to this file", "FILE");
        },
        read: read_account,
    },
    Syntax {
        words: &["trace"],
        arguments: "ID FILE...",
        help: "show what was decided about a request, batch job or item, from the nodes' logs; - reads standard input",
        add_options: no_options,
        read: read_trace,
    },
    Syntax {
        words: &["watch"],
        arguments: "",
        help: "show decisions with their reasons as they are made",
        add_options: add_watch_options,
        read: read_watch,
    },
];

fn no_options(_: &mut Options) {}

fn read_account(matches: &Matches) -> Result<Command, CliError> {
    if matches.free.is_empty() {
        return Err(CliError::Usage("`account` needs at least one FILE".to_owned()));
    }
    Ok(Command::Account(Account { files: matches.free.clone(), plot: matches.opt_str("plot") }))
}

fn read_trace(matches: &Matches) -> Result<Command, CliError> {
    match matches.free.as_slice() {
        [id, files @ ..] if !files.is_empty() => {
            Ok(Command::Trace(Trace { id: id.clone(), files: files.to_vec() }))
        }
        _ => Err(CliError::Usage("`trace` needs an ID and at least one FILE".to_owned())),
    }
}

fn add_config_set_options(options: &mut Options) {
    options.optopt("", "base", "the revision the change is based on (default: the present one)", "REVISION");
    options.optopt("", "change-id", "names the change; repeating it takes effect once", "ID");
    options.optflag("", "remove", "remove the value, so that the level inherits again");
}

fn add_watch_options(options: &mut Options) {
    options.optopt("", "component", "only decisions of this part, such as routing", "NAME");
    options.optopt("", "action", "only decisions with this action, such as refused", "NAME");
    options.optopt("", "reason", "only decisions with this reason", "NAME");
    options.optopt("", "subject", "only decisions about a subject that contains this", "TEXT");
    options.optopt("n", "count", "end after so many decisions", "NUMBER");
    options.optopt("", "for-ms", "end after this time", "MS");
}

fn read_config_get(matches: &Matches) -> Result<Command, CliError> {
    at_most(matches, 2)?;
    let mut words = matches.free.iter().cloned();
    Ok(Command::ConfigGet(Selection { path: words.next(), key: words.next() }))
}

fn read_config_set(matches: &Matches) -> Result<Command, CliError> {
    let remove = matches.opt_present("remove");
    let (path, key, value) = match (matches.free.as_slice(), remove) {
        ([path, key], true) => (path, key, None),
        ([path, key, value], false) => (path, key, Some(parse_value(value))),
        (_, true) => return Err(CliError::Usage("config set --remove takes LEVEL KEY".to_owned())),
        (_, false) => return Err(CliError::Usage("config set takes LEVEL KEY VALUE".to_owned())),
    };
    let base = match matches.opt_str("base") {
        Some(text) => Some(Revision(parse_number("--base", &text)?)),
        None => None,
    };
    let setting = Setting { path: path.clone(), key: key.clone() };
    Ok(Command::ConfigSet(SettingChange { setting, value, base, change_id: matches.opt_str("change-id") }))
}

/// Parses a value as JSON. Text that is not valid JSON becomes a string, so that names need no quotes.
fn parse_value(text: &str) -> serde_json::Value {
    serde_json::from_str(text).unwrap_or_else(|_| serde_json::Value::String(text.to_owned()))
}

fn read_config_explain(matches: &Matches) -> Result<Command, CliError> {
    let [path, key] = matches.free.as_slice() else {
        return Err(CliError::Usage("config explain takes LEVEL KEY".to_owned()));
    };
    Ok(Command::ConfigExplain(Setting { path: path.clone(), key: key.clone() }))
}

fn read_job_submit(matches: &Matches) -> Result<Command, CliError> {
    let path = one_argument(matches, "FILE")?;
    let file_error = |cause: String| CliError::File { path: path.clone(), cause };
    let text = read_text(&path).map_err(|error| file_error(error.to_string()))?;
    let specification = serde_json::from_str(&text).map_err(|error| file_error(error.to_string()))?;
    Ok(Command::JobSubmit(specification))
}

fn read_text(path: &str) -> std::io::Result<String> {
    if path != "-" {
        return fs::read_to_string(path);
    }
    let mut text = String::new();
    std::io::stdin().read_to_string(&mut text)?;
    Ok(text)
}

fn read_pool_list(matches: &Matches) -> Result<Command, CliError> {
    at_most(matches, 1)?;
    Ok(Command::PoolList(matches.free.first().map(PoolName::new)))
}

fn read_replicas(matches: &Matches) -> Result<Command, CliError> {
    at_most(matches, 1)?;
    Ok(Command::Replicas(matches.free.first().cloned()))
}

fn read_queue(matches: &Matches) -> Result<Command, CliError> {
    at_most(matches, 1)?;
    Ok(Command::Queue(matches.free.first().cloned()))
}

fn read_watch(matches: &Matches) -> Result<Command, CliError> {
    at_most(matches, 0)?;
    let number = |name: &str| match matches.opt_str(name) {
        Some(text) => parse_number(&format!("--{name}"), &text).map(Some),
        None => Ok(None),
    };
    Ok(Command::Watch(WatchOptions {
        component: matches.opt_str("component"),
        action: matches.opt_str("action"),
        reason: matches.opt_str("reason"),
        subject: matches.opt_str("subject"),
        count: number("count")?,
        duration: number("for-ms")?.map(Duration::from_millis),
    }))
}

fn read_fingerprint(matches: &Matches) -> Result<Fingerprint, CliError> {
    let text = one_argument(matches, "FINGERPRINT")?;
    Fingerprint::from_str(&text).map_err(|error| CliError::Usage(format!("`{text}`: {error}")))
}

fn one_argument(matches: &Matches, name: &str) -> Result<String, CliError> {
    match matches.free.as_slice() {
        [argument] => Ok(argument.clone()),
        [] => Err(CliError::Usage(format!("{name} is missing"))),
        [_, surplus, ..] => Err(CliError::Usage(format!("unexpected argument `{surplus}`"))),
    }
}

fn at_most(matches: &Matches, count: usize) -> Result<(), CliError> {
    match matches.free.get(count) {
        Some(surplus) => Err(CliError::Usage(format!("unexpected argument `{surplus}`"))),
        None => Ok(()),
    }
}
