//! Serves callers: takes a request, picks a replica, brings the whole answer back.

pub mod dispatcher;

pub use dispatcher::{Dispatcher, Generation, Repetition};
