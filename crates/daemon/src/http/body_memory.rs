//! The memory for request bodies of one node, shared by its servers. The core's `intake::bodies` decides who holds it.

use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use lichenpulley_core::intake::bodies::{BodyBudget, BodyLimit, BodyNumber, Growth};
use lichenpulley_core::time::Timestamp;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Memory of one body beyond its bytes: the head of its request, and bookkeeping.
const BODY_OVERHEAD_BYTES: u64 = 1 << 10;
/// Memory is taken in blocks of this size, or of the next power of two by smaller bodies.
const BLOCK_BYTES: u64 = 64 << 10;

/// The memory for request bodies. Cheap to clone.
#[derive(Clone)]
pub struct BodyMemory(Arc<State>);

struct State {
    origin: Instant,
    table: Mutex<Table>,
    /// Notified when a body returns its memory.
    released: Notify,
}

struct Table {
    budget: BodyBudget,
    /// Of the bodies that are arriving.
    evictions: HashMap<BodyNumber, CancellationToken>,
}

/// There is no memory for a body: others hold it, and this one is further behind than those that are still arriving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("request bodies hold all memory for them; send it again later, or give the machine more memory")]
pub struct NoBodyMemory;

impl BodyMemory {
    /// Creates the memory for bodies on a machine with this memory.
    pub fn for_machine(memory_bytes: u64) -> Self {
        let budget = BodyBudget::new(BodyLimit::for_memory(memory_bytes));
        let table = Mutex::new(Table { budget, evictions: HashMap::new() });
        Self(Arc::new(State { origin: Instant::now(), table, released: Notify::new() }))
    }

    /// Returns the bytes that bodies hold.
    pub fn held_bytes(&self) -> u64 {
        self.table().budget.held_bytes()
    }

    /// Begins to count a body, which holds nothing yet.
    pub(super) fn begin(&self) -> BodyHold {
        self.begin_for(CancellationToken::new())
    }

    /// Begins to count a body, which holds nothing yet. Cancels `evicted` when it has to return its memory.
    pub(crate) fn begin_for(&self, evicted: CancellationToken) -> BodyHold {
        let mut table = self.table();
        let number = table.budget.begin(self.now());
        table.evictions.insert(number, evicted.clone());
        drop(table);
        BodyHold { memory: self.clone(), number, evicted, held_bytes: 0 }
    }

    /// Begins to count the accepted jobs of a shard that this node owns.
    pub(crate) fn count_jobs(&self) -> JobBytes {
        JobBytes { memory: self.clone(), bytes: 0 }
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.0.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Timestamp {
        let elapsed: Duration = self.0.origin.elapsed();
        Timestamp::ORIGIN + elapsed
    }
}

impl fmt::Debug for BodyMemory {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "BodyMemory({} bytes held)", self.held_bytes())
    }
}

/// Bytes of the accepted jobs of one shard, until this value is dropped.
pub(crate) struct JobBytes {
    memory: BodyMemory,
    bytes: u64,
}

impl JobBytes {
    pub(crate) fn set(&mut self, bytes: usize) {
        let bytes = bytes as u64;
        self.memory.table().budget.replace_job_bytes(self.bytes, bytes);
        self.bytes = bytes;
    }
}

impl Drop for JobBytes {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// The memory that one body holds, which is returned when this value is dropped.
pub struct BodyHold {
    memory: BodyMemory,
    number: BodyNumber,
    evicted: CancellationToken,
    held_bytes: u64,
}

impl BodyHold {
    /// Waits until the body has to return its memory.
    pub(super) async fn evicted(&self) {
        self.evicted.cancelled().await;
    }

    /// Takes memory until this hold covers `bytes`, of which `received_bytes` have arrived. Waits for bodies that are evicted for
    /// it.
    ///
    /// # Errors
    /// When there is no memory, or this body is evicted itself.
    pub(super) async fn cover(&mut self, bytes: u64, received_bytes: u64) -> Result<(), NoBodyMemory> {
        if bytes + BODY_OVERHEAD_BYTES <= self.held_bytes {
            return Ok(());
        }
        let wanted_bytes = rounded(bytes) + BODY_OVERHEAD_BYTES;
        loop {
            let memory = self.memory.clone();
            let released = memory.0.released.notified();
            if self.try_grow(wanted_bytes, received_bytes)? {
                return Ok(());
            }
            tokio::select! {
                () = released => {}
                () = self.evicted() => return Err(NoBodyMemory),
            }
        }
    }

    /// Takes memory like [`Self::cover`] and doesn't wait: until evicted bodies have returned theirs, it holds less than it covers.
    /// Returns whether more may arrive.
    pub(crate) fn cover_now(&mut self, bytes: u64) -> bool {
        let wanted_bytes = rounded(bytes) + BODY_OVERHEAD_BYTES;
        wanted_bytes <= self.held_bytes || self.try_grow(wanted_bytes, bytes).is_ok()
    }

    /// Returns whether the memory was granted; otherwise it may be once other bodies have returned theirs.
    fn try_grow(&mut self, bytes: u64, received_bytes: u64) -> Result<bool, NoBodyMemory> {
        let now = self.memory.now();
        let mut table = self.memory.table();
        match table.budget.grow(self.number, bytes, received_bytes, now) {
            Growth::Granted => {
                self.held_bytes = bytes;
                Ok(true)
            }
            Growth::AfterEviction(evicted) => {
                evicted.iter().filter_map(|body| table.evictions.remove(body)).for_each(|body| body.cancel());
                Ok(false)
            }
            Growth::Refused => Err(NoBodyMemory),
        }
    }

    /// Records that the body is whole, after which it is not evicted.
    ///
    /// # Errors
    /// When it has been evicted.
    pub(super) fn complete(&mut self) -> Result<(), NoBodyMemory> {
        let mut table = self.memory.table();
        table.evictions.remove(&self.number);
        if table.budget.complete(self.number) { Ok(()) } else { Err(NoBodyMemory) }
    }
}

impl Drop for BodyHold {
    fn drop(&mut self) {
        let mut table = self.memory.table();
        table.evictions.remove(&self.number);
        table.budget.release(self.number);
        drop(table);
        self.memory.0.released.notify_waiters();
    }
}

fn rounded(bytes: u64) -> u64 {
    if bytes < BLOCK_BYTES { bytes.next_power_of_two() } else { bytes.next_multiple_of(BLOCK_BYTES) }
}
