//! `lichenpulley-lab`: one command for each stand-in, simulation or check.

use std::process::ExitCode;

use lichenpulley_lab::commands;
use lichenpulley_lab::error::LabError;

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match dispatch(&arguments).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lichenpulley-lab: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

async fn dispatch(arguments: &[String]) -> Result<(), LabError> {
    let Some((name, rest)) = arguments.split_first() else {
        return Err(LabError::Usage("no command given".to_owned()));
    };
    match name.as_str() {
        "--help" | "-h" | "help" => println!("{}", commands::help()),
        "--version" | "-V" => println!("lichenpulley-lab {}", env!("CARGO_PKG_VERSION")),
        _ => {
            let command =
                commands::find(name).ok_or_else(|| LabError::Usage(format!("unknown command `{name}`")))?;
            (command.entry)(rest).await?;
        }
    }
    Ok(())
}
