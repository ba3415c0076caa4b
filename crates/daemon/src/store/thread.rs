//! Join handle of the store thread. Dropping the last handle of the store frees its folder.

use std::thread::{Builder, JoinHandle};

use super::StoreError;

/// Handle of the thread that owns the store file. The thread ends once all senders of its queue are dropped.
///
/// Dropping this waits for the thread, so that the folder is free afterwards. The senders must be dropped
/// first: a struct with both fields declares the sender before the thread.
pub(super) struct StoreThread {
    handle: Option<JoinHandle<()>>,
}

impl StoreThread {
    /// Starts the thread with `work` as its body.
    pub(super) fn start(work: impl FnOnce() + Send + 'static) -> Result<Self, StoreError> {
        let handle = Builder::new().name("store".to_owned()).spawn(work).map_err(StoreError::Thread)?;
        Ok(Self { handle: Some(handle) })
    }
}

impl Drop for StoreThread {
    fn drop(&mut self) {
        let Some(handle) = self.handle.take() else { return };
        if handle.join().is_err() {
            log::error!(target: "store", "The store thread panicked; the store file is verified at the next start.");
        }
    }
}
