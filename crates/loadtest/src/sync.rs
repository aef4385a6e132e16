//! Locks of state that the tasks of a run share.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also one whose holder panicked: a panic ends the run, and no reader of a result relies
/// on what a panicked holder left half done.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
