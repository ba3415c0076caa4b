//! What can be wrong with a settings file.

use std::fmt;

/// One problem: where, what, and what to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsProblem {
    /// The key, with its table: `membership.probe_interval_ms`.
    pub key: String,
    /// What is wrong.
    pub message: String,
    /// What to do.
    pub remedy: String,
}

impl fmt::Display for SettingsProblem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}; {}", self.key, self.message, self.remedy)
    }
}

/// Why settings were refused.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The text is not TOML.
    #[error("the settings are not TOML; mend this line: {0}")]
    Syntax(#[from] toml::de::Error),
    /// Values are missing or wrong; all of them are listed.
    #[error("{} in the settings:\n{}", count(.0), list(.0))]
    Values(Vec<SettingsProblem>),
}

impl SettingsError {
    /// The problems of the values; empty where the text is not TOML.
    pub fn problems(&self) -> &[SettingsProblem] {
        match self {
            Self::Syntax(_) => &[],
            Self::Values(problems) => problems,
        }
    }
}

fn count(problems: &[SettingsProblem]) -> String {
    match problems.len() {
        1 => "1 problem".to_owned(),
        many => format!("{many} problems"),
    }
}

fn list(problems: &[SettingsProblem]) -> String {
    let lines: Vec<String> = problems.iter().map(|problem| format!("  {problem}")).collect();
    lines.join("\n")
}
