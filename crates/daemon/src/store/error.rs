//! Errors of opening and using the store file.
//!
//! Each message names the remedy. Database errors are classified as full, damaged or failed.

use std::path::PathBuf;

/// Error returned when a store fails to start.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The data folder can't be created or read.
    #[error("data folder {folder}: {source}; give this process read and write access to it")]
    Folder {
        /// The folder.
        folder: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The data folder contains files that don't belong to a store.
    #[error("data folder {folder} holds {found}, which is not ours; name an empty folder")]
    Foreign {
        /// The folder.
        folder: PathBuf,
        /// Name of such a file.
        found: String,
    },
    /// Another process has the folder open.
    #[error("data folder {folder} is in use; stop the other process or configure another folder")]
    InUse {
        /// The folder.
        folder: PathBuf,
    },
    /// The file has a format version that this release can't read.
    #[error("data folder {folder} has format {found}, this release reads {readable}; run a matching release")]
    Format {
        /// The folder.
        folder: PathBuf,
        /// Format version of the file.
        found: u64,
        /// Format version that this release reads.
        readable: u64,
    },
    /// The file is truncated or damaged beyond recovery.
    #[error(
        "data folder {folder} is damaged: {reason}; empty the folder so that the store joins with a new id"
    )]
    Damaged {
        /// The folder.
        folder: PathBuf,
        /// Description of the damage.
        reason: String,
    },
    /// The settings for claims contradict each other.
    #[error(transparent)]
    ClaimWindow(#[from] lichenpulley_core::replication::claims::ClaimWindowError),
    /// The store thread can't be started.
    #[error("failed to start the store thread: {0}; raise the thread limit")]
    Thread(std::io::Error),
}

/// Error of a transaction. A failed transaction has no effect.
#[derive(Debug, thiserror::Error)]
pub enum DiskError {
    /// The disk is full.
    #[error("the disk is full; free space under the data folder")]
    Full,
    /// Stored data can't be read.
    #[error("the store's state is damaged: {0}; replace the store")]
    Damaged(String),
    /// The disk or the database returned another error.
    #[error("the disk failed: {0}; replace the store if the error persists")]
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
