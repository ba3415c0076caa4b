//! Why a store can't start or can't use its disk.
//!
//! Each error names its remedy; errors of the database are sorted into full, damaged and failed.

use std::path::PathBuf;

/// Why a store did not start.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The data folder can't be made or read.
    #[error("data folder {folder}: {source}; make it a folder that this process can read and write")]
    Folder {
        /// The folder.
        folder: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The data folder holds files of something else.
    #[error("data folder {folder} holds {found}, which is not ours; name an empty folder")]
    Foreign {
        /// The folder.
        folder: PathBuf,
        /// A file found in it.
        found: String,
    },
    /// Another process has the folder open.
    #[error("data folder {folder} is in use; stop the other process or name another folder")]
    InUse {
        /// The folder.
        folder: PathBuf,
    },
    /// The file was written by a release that this one can't read.
    #[error("data folder {folder} has format {found}, this release reads {readable}; run a matching release")]
    Format {
        /// The folder.
        folder: PathBuf,
        /// The format found.
        found: u64,
        /// The format that this release reads.
        readable: u64,
    },
    /// The file is torn or damaged beyond what its checksums can mend.
    #[error("data folder {folder} is damaged: {reason}; empty it, and the store joins as a new one")]
    Damaged {
        /// The folder.
        folder: PathBuf,
        /// What was found.
        reason: String,
    },
    /// The settings for claims contradict each other.
    #[error(transparent)]
    ClaimWindow(#[from] lichenpulley_core::replication::claims::ClaimWindowError),
    /// The system gave no thread.
    #[error("no thread for the store: {0}; raise the limit of threads")]
    Thread(std::io::Error),
}

/// Why a transaction could not be done. It left nothing behind.
#[derive(Debug, thiserror::Error)]
pub enum DiskError {
    /// The disk has no room.
    #[error("the disk is full; free space under the data folder")]
    Full,
    /// What is on the disk can't be read.
    #[error("the store's state is damaged: {0}; replace the store")]
    Damaged(String),
    /// The disk failed.
    #[error("the disk failed: {0}; replace the store if it goes on")]
    Failed(String),
}

impl From<redb::StorageError> for DiskError {
    fn from(error: redb::StorageError) -> Self {
        match error {
            redb::StorageError::Io(error) if error.kind() == std::io::ErrorKind::StorageFull => Self::Full,
            redb::StorageError::Io(error) if error.kind() == std::io::ErrorKind::QuotaExceeded => Self::Full,
            redb::StorageError::Corrupted(reason) => Self::Damaged(reason),
            other => Self::Failed(other.to_string()),
        }
    }
}

impl From<redb::TableError> for DiskError {
    fn from(error: redb::TableError) -> Self {
        match error {
            redb::TableError::Storage(error) => error.into(),
            other => Self::Damaged(other.to_string()),
        }
    }
}

impl From<redb::TransactionError> for DiskError {
    fn from(error: redb::TransactionError) -> Self {
        match error {
            redb::TransactionError::Storage(error) => error.into(),
            other => Self::Failed(other.to_string()),
        }
    }
}

impl From<redb::CommitError> for DiskError {
    fn from(error: redb::CommitError) -> Self {
        match error {
            redb::CommitError::Storage(error) => error.into(),
            other => Self::Failed(other.to_string()),
        }
    }
}
