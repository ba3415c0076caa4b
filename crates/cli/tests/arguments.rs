//! Command lines that are understood, and those that are refused.

use std::time::Duration;

use lichenpulley_cli::arguments::{Command, Environment, Invocation};
use lichenpulley_cli::error::CliError;

fn parse(line: &str) -> Result<Invocation, CliError> {
    parse_with(line, &Environment::default())
}

fn parse_with(line: &str, environment: &Environment) -> Result<Invocation, CliError> {
    let arguments: Vec<String> = line.split_whitespace().map(str::to_owned).collect();
    Invocation::parse(&arguments, environment)
}

#[test]
fn common_options_stand_before_or_after_the_command() {
    let before = parse("--json -o 127.0.0.1:1 pool list").expect("understood");
    let after = parse("pool list --json -o 127.0.0.1:1").expect("understood");
    assert_eq!(before, after);
    assert!(before.options.json);
}

#[test]
fn a_flag_goes_before_the_environment() {
    let environment = Environment { operators: Some("127.0.0.1:9,127.0.0.1:8".to_owned()), callers: None };
    let from_environment = parse_with("watch", &environment).expect("understood");
    assert_eq!(from_environment.options.operators.len(), 2);
    let from_flag = parse_with("watch -o 127.0.0.1:1", &environment).expect("understood");
    assert_eq!(from_flag.options.operators, ["127.0.0.1:1".parse().expect("an address")]);
}

#[test]
fn watch_takes_filters_and_limits() {
    let invocation =
        parse("watch --component routing --reason least_load -n 3 --for-ms 50").expect("understood");
    let Command::Watch(options) = invocation.command else { panic!("{:?}", invocation.command) };
    assert_eq!(options.component.as_deref(), Some("routing"));
    assert_eq!(options.reason.as_deref(), Some("least_load"));
    assert_eq!((options.count, options.duration), (Some(3), Some(Duration::from_millis(50))));
}

#[test]
fn help_names_every_command() {
    let Command::Help(text) = parse("--help").expect("understood").command else { panic!("no help") };
    for command in
        ["config get", "config set", "config explain", "job submit", "job status", "pool list", "replicas"]
    {
        assert!(text.contains(command), "{command} is missing in\n{text}");
    }
    assert!(matches!(parse("config set --help").expect("understood").command, Command::Help(_)));
}

#[test]
fn wrong_command_lines_end_with_code_2() {
    let wrong = [
        "",
        "config",
        "configure",
        "config set /",
        "config set / k",
        "config set --remove / k v",
        "config set / k 1 --base x",
        "config explain /",
        "job status",
        "job status a b",
        "drain",
        "undrain",
        "watch now",
        "watch --count many",
        "pool list --nothing",
        "pool list -o localhost:80",
        "pool list -o 127.0.0.1",
        "--timeout-ms soon pool list",
    ];
    for line in wrong {
        let error = parse(line).expect_err(line);
        assert_eq!(error.exit_code(), 2, "{line}: {error}");
    }
}
