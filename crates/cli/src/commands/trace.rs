//! `trace`: the decisions about one request, batch job or item, in order across the logs of several nodes.
//!
//! Relies on the names of decisions as nodes write them, also of the batch job that an item belongs to.

use std::collections::BTreeSet;

use crate::error::CliError;
use crate::log_lines::{LogLine, read_all, text};
use crate::output::Output;
use crate::table::Table;

/// What to trace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trace {
    /// The id of a request, a batch job or an item.
    pub id: String,
    /// Files with log lines; `-` is standard input.
    pub files: Vec<String>,
}

/// Fields that have columns of their own, or say nothing about a decision.
const PLAIN_FIELDS: [&str; 7] = ["time", "node", "part", "message", "reason", "id", "level"];
/// The field of an item's decisions that names its batch job.
const BATCH_FIELD: &str = "batch";
/// Decisions about the ownership of the batch jobs, which explain gaps in what became of an item.
const OWNERSHIP: [&str; 2] = ["taking_over", "taken_over"];
/// Decisions about a batch job as a whole.
const BATCH_DECISIONS: [&str; 3] = ["batch_taken", "batch_ended", "batch_refused"];

/// Shows the decisions.
///
/// # Errors
/// When a file can't be read.
pub fn trace(trace: &Trace, output: &mut Output<'_>) -> Result<(), CliError> {
    let lines = read_all(&trace.files)?;
    let found = select(&lines, &trace.id);
    if found.is_empty() {
        output.note(&format!("no line names {}; check the id, and give the logs of every node", trace.id))?;
    }
    output.result(&found, || describe(&found))
}

fn select(lines: &[LogLine], id: &str) -> Vec<LogLine> {
    let names = |line: &&LogLine| line.values().any(|value| value.as_str() == Some(id));
    let about: Vec<&LogLine> = lines.iter().filter(names).collect();
    let batches: BTreeSet<&str> =
        about.iter().map(|line| text(line, BATCH_FIELD)).filter(|batch| !batch.is_empty()).collect();
    let first = about.iter().map(|line| text(line, "time")).min().unwrap_or_default();
    let last = about.iter().map(|line| text(line, "time")).max().unwrap_or_default();
    let is_related = |line: &&LogLine| {
        let message = text(line, "message");
        let is_of_batch = batches.contains(text(line, "id")) && BATCH_DECISIONS.contains(&message);
        let is_meanwhile = (first..=last).contains(&text(line, "time"));
        names(line) || is_of_batch || (!batches.is_empty() && is_meanwhile && OWNERSHIP.contains(&message))
    };
    lines.iter().filter(is_related).cloned().collect()
}

fn describe(lines: &[LogLine]) -> String {
    let mut table = Table::new(&["TIME", "NODE", "DECISION", "REASON", "ABOUT", "INPUTS"]);
    for line in lines {
        let inputs = line.iter().filter(|(name, _)| !PLAIN_FIELDS.contains(&name.as_str()));
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
