//! Tests of command line parsing: accepted and rejected command lines.

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
fn common_options_are_accepted_before_and_after_the_command() {
    let before = parse("--json -o 127.0.0.1:1 pool list").expect("a valid command line");
    let after = parse("pool list --json -o 127.0.0.1:1").expect("a valid command line");
    assert_eq!(before, after);
    assert!(before.options.json);
}

#[test]
fn a_flag_overrides_the_environment() {
    let environment = Environment { operators: Some("127.0.0.1:9,127.0.0.1:8".to_owned()), callers: None };
    let from_environment = parse_with("watch", &environment).expect("a valid command line");
    assert_eq!(from_environment.options.operators.len(), 2);
    let from_flag = parse_with("watch -o 127.0.0.1:1", &environment).expect("a valid command line");
    assert_eq!(from_flag.options.operators, ["127.0.0.1:1".parse().expect("an address")]);
}

#[test]
fn watch_takes_filters_and_limits() {
    let invocation = parse("watch --component routing --reason least_load -n 3 --for-ms 50")
        .expect("a valid command line");
    let Command::Watch(options) = invocation.command else { panic!("{:?}", invocation.command) };
    assert_eq!(options.component.as_deref(), Some("routing"));
    assert_eq!(options.reason.as_deref(), Some("least_load"));
    assert_eq!((options.count, options.duration), (Some(3), Some(Duration::from_millis(50))));
}

#[test]
fn help_lists_the_commands() {
    let Command::Help(text) = parse("--help").expect("a valid command line").command else {
        panic!("no help")
    };
    for command in
        ["config get", "config set", "config explain", "job submit", "job status", "pool list", "replicas"]
    {
        assert!(text.contains(command), "{command} is missing in\n{text}");
    }
    assert!(matches!(parse("config set --help").expect("a valid command line").command, Command::Help(_)));
}

#[test]
fn invalid_command_lines_exit_with_code_2() {
    let invalid = [
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
    for line in invalid {
        let error = parse(line).expect_err(line);
        assert_eq!(error.exit_code(), 2, "{line}: {error}");
    }
}
