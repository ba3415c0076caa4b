//! Errors of the lab's commands, each with its remedy and its exit code.

use std::path::PathBuf;

/// Why a command of the lab ended without success.
#[derive(Debug, thiserror::Error)]
pub enum LabError {
    /// The command line can't be understood.
    #[error("{0}; see `lichenpulley-lab COMMAND --help`")]
    Usage(String),
    /// A socket or file could not be used.
    #[error("{action}: {source}; {remedy}")]
    Io {
        /// What was tried, such as `listen on 127.0.0.1:80`.
        action: String,
        /// What the reader can do.
        remedy: &'static str,
        /// The system's error.
        source: std::io::Error,
    },
    /// The file for the bound addresses could not be written.
    #[error(
        "write {path}: {source}; give --addresses-file a path in a folder that exists and can be written"
    )]
    AddressesFile {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// A command ran, and what it checks does not hold.
    #[error("{0}")]
    CheckFailed(String),
    /// A part that the command needs failed.
    #[error("{part}: {message}")]
    Part {
        /// The part, such as `weight store`.
        part: &'static str,
        /// What it said, with its remedy.
        message: String,
    },
}

impl LabError {
    /// The process's exit code: 2 where the command line is wrong, 1 for every other failure.
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => 2,
            Self::Io { .. } | Self::AddressesFile { .. } | Self::CheckFailed(_) | Self::Part { .. } => 1,
        }
    }
}
