//! `lichenpulley`: the command line tool for operators.
//!
//! Exits with 2 if the command line or an input file is invalid and with 1 on every other failure.

use std::process::ExitCode;

use lichenpulley_cli::arguments::{Environment, Invocation};
use lichenpulley_cli::error::CliError;
use lichenpulley_cli::output::Output;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let json = arguments.iter().any(|argument| argument == "--json");
    match execute(&arguments).await {
        Ok(()) => ExitCode::SUCCESS,
        // The reader of a pipe, such as `head`, closed it; this is not a failure.
        Err(error) if error.is_closed_output() => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}", error.describe(json));
            ExitCode::from(error.exit_code())
        }
    }
}

async fn execute(arguments: &[String]) -> Result<(), CliError> {
    let invocation = Invocation::parse(arguments, &Environment::of_process())?;
    let mut standard_output = std::io::stdout();
    let mut standard_error = std::io::stderr();
    let mut output = Output::new(&mut standard_output, &mut standard_error, invocation.options.json);
    lichenpulley_cli::run(invocation, &mut output).await
}
