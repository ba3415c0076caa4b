//! Locks of the lab's shared states.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a state that is whole after every step, so that a panic elsewhere does not spoil it.
pub fn lock<Value: ?Sized>(mutex: &Mutex<Value>) -> MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
