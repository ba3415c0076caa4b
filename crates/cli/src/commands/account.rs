//! `account`: prints the time breakdown of a trainer's steps from the logs of the nodes.
//!
//! `step_account` computes the durations.

use crate::account_plot;
use crate::error::CliError;
use crate::log_lines::read_all;
use crate::output::Output;
use crate::step_account::{self, StepAccount};
use crate::table::Table;

/// Arguments of `account`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Log files; `-` is standard input.
    pub files: Vec<String>,
    /// Path to which an SVG plot is written.
    pub plot: Option<String>,
}

/// Prints the time breakdown of each step and writes the plot.
///
/// # Errors
/// Returns [`CliError::File`] if a log can't be read or the plot can't be written.
pub fn account(account: &Account, output: &mut Output<'_>) -> Result<(), CliError> {
    let accounts = step_account::account_steps(&read_all(&account.files)?);
    if accounts.is_empty() {
        output.note("no log line records that a batch job was taken; give the logs of every gateway")?;
    }
    if let Some(path) = &account.plot {
        let file_error =
            |error: std::io::Error| CliError::File { path: path.clone(), cause: error.to_string() };
        std::fs::write(path, account_plot::render(&accounts)).map_err(file_error)?;
    }
    output.result(&accounts, || describe(&accounts))
}

fn describe(accounts: &[StepAccount]) -> String {
    let mut table = Table::new(&[
        "STEP", "TAKEN", "GROUPS", "WAIT", "RUN", "GAP", "SCORE", "LIST", "READ", "TOTAL", "OWNERS", "ITEM",
        "RUNS",
    ]);
    for account in accounts {
        let runs: Vec<String> = account
            .runs
            .iter()
            .map(|run| format!("{} {} {}", run.replica, seconds(run.run_ms), run.end).trim_end().to_owned())
            .collect();
        table.row(vec![
            account.step.clone(),
            seconds(account.taken_ms),
            format!("{}/{}", account.whole, account.desired),
            seconds(account.wait_ms),
            seconds(account.run_ms),
            seconds(account.gap_ms),
            seconds(account.score_ms),
            seconds(account.list_ms),
            seconds(account.read_ms),
            seconds(account.total_ms),
            account.takeovers.to_string(),
            account.item.clone(),
            runs.join(", "),
        ]);
    }
    table.render()
}

fn seconds(milliseconds: u64) -> String {
    format!("{:.2}", milliseconds as f64 / 1_000.0)
}
