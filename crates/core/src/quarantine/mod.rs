//! Requests under which replicas end, told apart from those that only ran there.

mod fingerprint;

pub use fingerprint::{Fingerprint, FingerprintError, RequestContent};
