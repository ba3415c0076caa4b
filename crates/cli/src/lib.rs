//! Command line tool for operators: settings, jobs, pools, drains and the stream of decisions.
//!
//! The commands are in a library so that tests can call [`run`] in their own process.

mod account_plot;
pub mod arguments;
mod client;
pub mod commands;
pub mod error;
pub mod event_stream;
pub mod log_lines;
pub mod output;
mod sequence;
pub mod step_account;
mod table;

use arguments::{Command, Invocation};
use client::{Client, Interface};
use error::CliError;
use output::Output;

/// Runs one command and writes its result to `output`.
///
/// # Errors
/// Returns a [`CliError`], which gives the remedy and the exit code.
pub async fn run(invocation: Invocation, output: &mut Output<'_>) -> Result<(), CliError> {
    let options = &invocation.options;
    let operators = || Client::new(Interface::Operators, &options.operators, options.timeout);
    let callers = || Client::new(Interface::Callers, &options.callers, options.timeout);
    match invocation.command {
        Command::Help(text) => output.line(&text),
        Command::Version => output.line(concat!("lichenpulley ", env!("CARGO_PKG_VERSION"))),
        Command::ConfigGet(selection) => commands::config::get(&operators()?, &selection, output).await,
        Command::ConfigSet(change) => commands::config::set(&operators()?, &change, output).await,
        Command::ConfigExplain(setting) => commands::config::explain(&operators()?, &setting, output).await,
        Command::JobSubmit(specification) => commands::job::submit(&callers()?, &specification, output).await,
        Command::JobStatus(job) => commands::job::status(&callers()?, &job, output).await,
        Command::Replicas(service) => {
            commands::replicas::list(&operators()?, service.as_deref(), output).await
        }
        Command::PoolList(pool) => commands::pool::list(&operators()?, pool.as_ref(), output).await,
        Command::Queue(service) => commands::queue::list(&operators()?, service.as_deref(), output).await,
        Command::Regions => commands::regions::list(&operators()?, output).await,
        Command::Drain(replica) => commands::drain::drain(&operators()?, &replica, output).await,
        Command::Undrain(replica) => commands::drain::undrain(&operators()?, &replica, output).await,
        Command::Tenants => commands::tenants::list(&operators()?, output).await,
        Command::Zones => commands::zones::list(&operators()?, output).await,
        Command::Evacuate(zone) => commands::zones::evacuate(&operators()?, &zone, output).await,
        Command::Return(zone) => commands::zones::readmit(&operators()?, &zone, output).await,
        Command::Ends => commands::ends::list(&operators()?, output).await,
        Command::Quarantine => commands::quarantine::list(&operators()?, output).await,
        Command::Release(fingerprint) => {
            commands::quarantine::release(&operators()?, &fingerprint, output).await
        }
        Command::Account(account) => commands::account::account(&account, output),
        Command::Trace(trace) => commands::trace::trace(&trace, output),
        Command::Watch(watch) => commands::watch::watch(&operators()?, &watch, output).await,
    }
}
