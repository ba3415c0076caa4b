//! `trace`: prints the decisions about one request, batch job or item from the logs of several nodes, in order of time.
//!
//! For an item, this includes decisions about its batch job and about the ownership of batch jobs. They are identified by
//! the action names that nodes log.

use std::collections::BTreeSet;

use crate::error::CliError;
use crate::log_lines::{LogLine, read_all, text};
use crate::output::Output;
use crate::table::Table;

/// Arguments of `trace`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trace {
    /// Id of a request, a batch job or an item.
    pub id: String,
    /// Log files; `-` is standard input.
    pub files: Vec<String>,
}

/// Fields that are not listed as inputs: they have columns of their own or don't belong to the decision.
const NON_INPUT_FIELDS: [&str; 7] = ["time", "node", "part", "message", "reason", "id", "level"];
/// Field of an item's decisions that holds the id of its batch job.
const BATCH_FIELD: &str = "batch";
/// Decisions about the ownership of batch jobs, which explain gaps in the history of an item.
const OWNERSHIP_DECISIONS: [&str; 2] = ["taking_over", "taken_over"];
/// Decisions about an entire batch job.
const BATCH_DECISIONS: [&str; 3] = ["batch_taken", "batch_ended", "batch_refused"];

/// Prints the decisions about an id, with the related ones.
///
/// # Errors
/// Returns [`CliError::File`] if a file can't be read.
pub fn trace(trace: &Trace, output: &mut Output<'_>) -> Result<(), CliError> {
    let lines = read_all(&trace.files)?;
    let found = select(&lines, &trace.id);
    if found.is_empty() {
        output
            .note(&format!("no line mentions {}; check the id, and give the logs of every node", trace.id))?;
    }
    output.result(&found, || describe(&found))
}

fn select(lines: &[LogLine], id: &str) -> Vec<LogLine> {
    let mentions_id = |line: &&LogLine| line.values().any(|value| value.as_str() == Some(id));
    let direct: Vec<&LogLine> = lines.iter().filter(mentions_id).collect();
    let batches: BTreeSet<&str> =
        direct.iter().map(|line| text(line, BATCH_FIELD)).filter(|batch| !batch.is_empty()).collect();
    let first = direct.iter().map(|line| text(line, "time")).min().unwrap_or_default();
    let last = direct.iter().map(|line| text(line, "time")).max().unwrap_or_default();
    let is_related = |line: &&LogLine| {
        let message = text(line, "message");
        let is_of_batch = batches.contains(text(line, "id")) && BATCH_DECISIONS.contains(&message);
        let is_in_time_range = (first..=last).contains(&text(line, "time"));
        mentions_id(line)
            || is_of_batch
            || (!batches.is_empty() && is_in_time_range && OWNERSHIP_DECISIONS.contains(&message))
    };
    lines.iter().filter(is_related).cloned().collect()
}

fn describe(lines: &[LogLine]) -> String {
    let mut table = Table::new(&["TIME", "NODE", "DECISION", "REASON", "ABOUT", "INPUTS"]);
    for line in lines {
        let inputs = line.iter().filter(|(name, _)| !NON_INPUT_FIELDS.contains(&name.as_str()));
        let inputs = inputs.map(|(name, value)| match value.as_str() {
            Some(text) => format!("{name}={text}"),
            None => format!("{name}={value}"),
        });
        let inputs: Vec<String> = inputs.collect();
        let column = |field: &str| text(line, field).to_owned();
        table.row(vec![
            column("time"),
            column("node"),
            column("message"),
            column("reason"),
            column("id"),
            inputs.join(" "),
        ]);
    }
    table.render()
}
