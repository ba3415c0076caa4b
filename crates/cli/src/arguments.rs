//! The command line.

use std::fs;
use std::io::Read;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use getopts::{Matches, Options, ParsingStyle};
use lichenpulley_core::identity::{JobId, PoolName, ReplicaId, Revision};
use lichenpulley_core::quarantine::Fingerprint;
use lichenpulley_protocol::caller::JobSpecification;

use crate::client::Interface;
use crate::commands::account::Account;
use crate::commands::config::{Selection, Setting, SettingChange};
use crate::commands::trace::Trace;
use crate::commands::watch::WatchOptions;
use crate::error::CliError;

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// What the command reads from its environment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Environment {
    /// `LICHENPULLEY_OPERATORS`.
    pub operators: Option<String>,
    /// `LICHENPULLEY_CALLERS`.
    pub callers: Option<String>,
}

impl Environment {
    /// The environment of this process.
    pub fn of_process() -> Self {
        Self {
            operators: std::env::var(Interface::Operators.variable()).ok(),
            callers: std::env::var(Interface::Callers.variable()).ok(),
        }
    }
}

/// Options that every command takes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommonOptions {
    /// Operators' addresses; the first that takes a connection is asked, `watch` follows all.
    pub operators: Vec<SocketAddr>,
    /// Callers' addresses; the first that takes a connection is asked.
    pub callers: Vec<SocketAddr>,
    /// Print JSON in place of tables.
    pub json: bool,
    /// How long to wait for an answer.
    pub timeout: Duration,
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Print this help.
    Help(String),
    /// Print the version.
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
    /// `replicas [SERVICE]`
    Replicas(Option<String>),
    /// `drain REPLICA`
    Drain(ReplicaId),
    /// `undrain REPLICA`
    Undrain(ReplicaId),
    /// `zones`
    Zones,
    /// `evacuate ZONE`
    Evacuate(String),
    /// `return ZONE`
    Return(String),
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

/// A command with its options.
#[derive(Clone, Debug, PartialEq)]
pub struct Invocation {
    /// Options that every command takes.
    pub options: CommonOptions,
    /// What to do.
    pub command: Command,
}

/// How one command is written.
struct Syntax {
    words: &'static [&'static str],
    arguments: &'static str,
    help: &'static str,
    add_options: fn(&mut Options),
    read: fn(&Matches) -> Result<Command, CliError>,
}

const SYNTAXES: &[Syntax] = &[
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

impl Invocation {
    /// Reads a command line, without the program's name.
    ///
    /// # Errors
    /// [`CliError::Usage`] with what is wrong; [`CliError::File`] where a named file can't be used.
    pub fn parse(arguments: &[String], environment: &Environment) -> Result<Self, CliError> {
        let mut leading = common_options();
        leading.optflag("V", "version", "print the version and end");
        leading.parsing_style(ParsingStyle::StopAtFirstFree);
        let before = parse(&leading, arguments)?;
        let words = &before.free;
        let Some(syntax) = SYNTAXES.iter().find(|syntax| starts_with(words, syntax.words)) else {
            return Self::without_command(&before, environment);
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

    fn without_command(matches: &Matches, environment: &Environment) -> Result<Self, CliError> {
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
    /// Later matches go before earlier ones, and flags before the environment.
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

/// The text of `lichenpulley --help`.
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

/// A value as JSON; what is not JSON is a text, so that names need no quotes.
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
    let unusable = |cause: String| CliError::File { path: path.clone(), cause };
    let text = read_text(&path).map_err(|error| unusable(error.to_string()))?;
    let specification = serde_json::from_str(&text).map_err(|error| unusable(error.to_string()))?;
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

fn parse(options: &Options, arguments: &[String]) -> Result<Matches, CliError> {
    options.parse(arguments).map_err(|error| CliError::Usage(error.to_string()))
}

fn starts_with(arguments: &[String], words: &[&str]) -> bool {
    arguments.len() >= words.len() && words.iter().zip(arguments).all(|(word, argument)| word == argument)
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

fn parse_addresses(texts: &[String]) -> Result<Vec<SocketAddr>, CliError> {
    texts.iter().flat_map(|text| text.split(',')).map(parse_address).collect()
}

fn parse_address(text: &str) -> Result<SocketAddr, CliError> {
    let bare = text.trim().trim_start_matches("http://").trim_end_matches('/');
    let wrong = || CliError::Usage(format!("`{text}` is no address; give an IP number and a port"));
    bare.parse().map_err(|_| wrong())
}

fn parse_number<Number: FromStr>(name: &str, text: &str) -> Result<Number, CliError> {
    text.parse().map_err(|_| CliError::Usage(format!("{name} takes a whole number, not `{text}`")))
}
