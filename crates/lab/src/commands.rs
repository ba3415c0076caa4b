//! The commands of `lichenpulley-lab`.

use futures::future::BoxFuture;

use crate::error::LabError;
use crate::weights_simulation;
use crate::{
    demo, engine, machine_list, object_api, requests, rollout_simulation, scorer, simulate_replication,
    trainer, weight_store,
};

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
        entry: |arguments| Box::pin(crate::soak::run(arguments)),
    },
    Command {
        name: "object-api",
        help: "stand-in for the platform's object API",
        entry: |arguments| Box::pin(object_api::run(arguments)),
    },
    Command {
        name: "simulate-configuration",
        help: "run the configuration under seeded faults on a virtual clock",
        entry: |arguments| Box::pin(crate::configuration_simulation::run(arguments)),
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
    Command {
        name: "simulate-requests",
        help: "requests under faults on a virtual clock, checked at every schedule",
        entry: |arguments| Box::pin(requests::run(arguments)),
    },
    Command {
        name: "simulate-rollout",
        help: "rollout jobs under seeded faults on a virtual clock",
        entry: |arguments| Box::pin(rollout_simulation::run(arguments)),
    },
    Command {
        name: "simulate-weights",
        help: "weight waves under seeded faults, or timed over replicas without engines",
        entry: |arguments| Box::pin(weights_simulation::run(arguments)),
    },
    Command {
        name: "simulate-replication",
        help: "try seeded schedules of faults on logs, claims and replica sets",
        entry: |arguments| Box::pin(simulate_replication::run(arguments)),
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
