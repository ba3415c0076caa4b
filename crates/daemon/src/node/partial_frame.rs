//! Bounds the memory of frames that arrive from other nodes and are not complete.
//!
//! A frame is announced with its length and may have 16 MiB. A connection that stops within its frame would keep that memory
//! for as long as it stays open.

use tokio_util::sync::CancellationToken;

use crate::http::body_memory::{BodyHold, BodyMemory};

/// Longest part of a frame that is not counted: frames of usual size arrive whole, or in few parts.
const UNCOUNTED_BYTES: usize = 64 << 10;

/// The frame that arrives on one connection.
pub(super) struct PartialFrame {
    memory: BodyMemory,
    evicted: CancellationToken,
    hold: Option<BodyHold>,
}

impl PartialFrame {
    /// Creates the state of a connection. `evicted` is cancelled when the connection has to be closed.
    pub(super) const fn new(memory: BodyMemory, evicted: CancellationToken) -> Self {
        Self { memory, evicted, hold: None }
    }

    /// Takes memory for a frame of which `bytes` have arrived; 0 once it is complete. Returns whether more of it may arrive.
    pub(super) fn admit(&mut self, bytes: usize) -> bool {
        if bytes <= UNCOUNTED_BYTES {
            self.hold = None;
            return true;
        }
        let hold = self.hold.get_or_insert_with(|| self.memory.begin(self.evicted.clone()));
        // While evicted frames return their memory, this one goes on and asks again with its next bytes.
        hold.try_cover(bytes as u64, bytes as u64).is_ok()
    }
}
