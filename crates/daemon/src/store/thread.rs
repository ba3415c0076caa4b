//! The life of the store's thread.
//!
//! Owns the thread's handle; the folder is free once the last handle of the store is dropped.

use std::thread::{Builder, JoinHandle};

use super::StoreError;

/// The thread that owns the store's file, which ends when nobody can send it work any more.
///
/// Dropping it waits for that end, so that the folder is free once the node has ended. The senders of work
/// must be gone by then: a struct that holds both names them in that order.
pub(super) struct StoreThread {
    handle: Option<JoinHandle<()>>,
}

impl StoreThread {
    /// Starts the thread.
    pub(super) fn start(work: impl FnOnce() + Send + 'static) -> Result<Self, StoreError> {
        let handle = Builder::new().name("store".to_owned()).spawn(work).map_err(StoreError::Thread)?;
        Ok(Self { handle: Some(handle) })
    }
}

impl Drop for StoreThread {
    fn drop(&mut self) {
        let Some(handle) = self.handle.take() else { return };
        if handle.join().is_err() {
            log::error!(target: "store", "The store's thread panicked; its file is checked at the next start.");
        }
    }
}
