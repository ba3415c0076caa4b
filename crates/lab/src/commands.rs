//! The commands of `lichenpulley-lab`.

use futures::future::BoxFuture;

use crate::error::LabError;
use crate::{demo, engine, machine_list, object_api, scorer, simulations, soak, trainer, weight_store};

/// What runs a command: takes the arguments after its name.
pub type Entry = for<'a> fn(&'a [String]) -> BoxFuture<'a, Result<(), LabError>>;

/// One command.
pub struct Command {
    /// Its name on the command line.
    pub name: &'static str,
    /// One line of help.
    pub help: &'static str,
    /// What runs it.
    pub entry: Entry,
}

/// Every command, in the order in which help lists them. An entry reads
/// `Command { name: "engine", help: "…", entry: |arguments| Box::pin(engine::run(arguments)) }`.
pub const COMMANDS: &[Command] = &[
    Command {
        name: "demo",
        help: "three zones, live requests and a rollout job in one process, ending in a summary",
        entry: |arguments| Box::pin(demo::run(arguments)),
    },
    Command {
        name: "soak",
        help: "run real processes under random faults from outside, and check the promises meanwhile",
        entry: |arguments| Box::pin(soak::run(arguments)),
    },
    Command {
        name: "simulate",
        help: "try the schedules of many seeds on a virtual clock, and check the promises",
        entry: |arguments| Box::pin(simulations::run(arguments)),
    },
    Command {
        name: "object-api",
        help: "stand-in for the platform's object API",
        entry: |arguments| Box::pin(object_api::run(arguments)),
    },
    Command {
        name: "machine-list",
        help: "stand-in for the platform's machine list",
        entry: |arguments| Box::pin(machine_list::run(arguments)),
    },
    Command {
        name: "engine",
        help: "stand-in for a model engine",
        entry: |arguments| Box::pin(engine::run(arguments)),
    },
    Command {
        name: "weight-store",
        help: "stand-in for the platform's weight store",
        entry: |arguments| Box::pin(weight_store::run(arguments)),
    },
    Command {
        name: "scorer",
        help: "stand-in for the service that scores answers",
        entry: |arguments| Box::pin(scorer::run(arguments)),
    },
    Command {
        name: "trainer",
        help: "stand-in for a trainer",
        entry: |arguments| Box::pin(trainer::run(arguments)),
    },
];

/// The command with this name.
pub fn find(name: &str) -> Option<&'static Command> {
    COMMANDS.iter().find(|command| command.name == name)
}

/// The text of `lichenpulley-lab --help`.
pub fn help() -> String {
    let mut text = "usage: lichenpulley-lab COMMAND [options]\n\n\
                    Stand-ins for what surrounds lichenpulley, and simulations.\n\nCommands:\n"
        .to_owned();
    let width = COMMANDS.iter().map(|command| command.name.len()).max().unwrap_or(0);
    for command in COMMANDS {
        text.push_str(&format!("  {:width$}  {}\n", command.name, command.help));
    }
    text.push_str("\n`lichenpulley-lab COMMAND --help` lists a command's options.");
    text
}
