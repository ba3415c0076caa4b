//! Errors of a settings file.

use std::fmt;

/// One problem of a settings file, with its key and a remedy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsProblem {
    /// The key with its table, such as `membership.probe_interval_ms`.
    pub key: String,
    /// Description of the problem.
    pub message: String,
    /// How to correct it.
    pub remedy: String,
}

impl fmt::Display for SettingsProblem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}; {}", self.key, self.message, self.remedy)
    }
}

/// Error of reading the settings.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The text is not valid TOML.
    #[error("the settings are not valid TOML; correct this line: {0}")]
    Syntax(#[from] toml::de::Error),
    /// Values are missing or invalid; lists all of them.
    #[error("{} in the settings:\n{}", describe_count(.0), format_problems(.0))]
    Values(Vec<SettingsProblem>),
}

impl SettingsError {
    /// Returns the problems of the values; empty for a syntax error.
    pub fn problems(&self) -> &[SettingsProblem] {
        match self {
            Self::Syntax(_) => &[],
            Self::Values(problems) => problems,
        }
    }
}

fn describe_count(problems: &[SettingsProblem]) -> String {
    match problems.len() {
        1 => "1 problem".to_owned(),
        many => format!("{many} problems"),
    }
}

fn format_problems(problems: &[SettingsProblem]) -> String {
    let lines: Vec<String> = problems.iter().map(|problem| format!("  {problem}")).collect();
    lines.join("\n")
}
