//! The memory for request bodies of one node, shared by its servers. The core's `intake::bodies` decides who holds it.

use std::collections::HashMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

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

    /// Begins to count a body, which holds nothing yet. Cancels `evicted` when it has to return its memory.
    pub(crate) fn begin(&self, evicted: CancellationToken) -> BodyHold {
        let mut table = self.table();
        let number = table.budget.begin(self.now());
        table.evictions.insert(number, evicted);
        drop(table);
        BodyHold { memory: self.clone(), number, held_bytes: 0 }
    }

    /// Begins to count the accepted jobs of a shard that this node owns.
    pub(crate) fn count_jobs(&self) -> JobBytes {
        JobBytes { memory: self.clone(), bytes: 0 }
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.0.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Timestamp {
        Timestamp::ORIGIN + self.0.origin.elapsed()
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
    held_bytes: u64,
}

impl BodyHold {
    /// Takes memory until this hold covers `bytes`, of which `received_bytes` have arrived. Waits for bodies that are evicted for
    /// it.
    ///
    /// # Errors
    /// When there is no memory, or this body is evicted itself.
    pub(super) async fn cover(&mut self, bytes: u64, received_bytes: u64) -> Result<(), NoBodyMemory> {
        while !self.covers(bytes) {
            let memory = self.memory.clone();
            let released = memory.0.released.notified();
            if !self.try_cover(bytes, received_bytes)? {
                released.await;
            }
        }
        Ok(())
    }

    /// Takes memory like [`Self::cover`] and doesn't wait. Returns whether it is covered; otherwise it may be once evicted bodies
    /// have returned their memory.
    ///
    /// # Errors
    /// When there is no memory, or this body is evicted itself.
    pub(crate) fn try_cover(&mut self, bytes: u64, received_bytes: u64) -> Result<bool, NoBodyMemory> {
        if self.covers(bytes) {
            return Ok(true);
        }
        let wanted_bytes = taken_for(bytes);
        let now = self.memory.now();
        let mut table = self.memory.table();
        match table.budget.grow(self.number, wanted_bytes, received_bytes, now) {
            Growth::Granted => {
                self.held_bytes = wanted_bytes;
                Ok(true)
            }
            Growth::AfterEviction(evicted) => {
                evicted.iter().filter_map(|body| table.evictions.remove(body)).for_each(|body| body.cancel());
                Ok(false)
            }
            Growth::Refused => Err(NoBodyMemory),
        }
    }

    const fn covers(&self, bytes: u64) -> bool {
        taken_for(bytes) <= self.held_bytes
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

/// Returns the memory that is taken for a body of this length.
const fn taken_for(bytes: u64) -> u64 {
    let rounded =
        if bytes < BLOCK_BYTES { bytes.next_power_of_two() } else { bytes.next_multiple_of(BLOCK_BYTES) };
    rounded + BODY_OVERHEAD_BYTES
}
