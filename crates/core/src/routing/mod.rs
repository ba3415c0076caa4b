//! Which replica serves a request: eligibility, load, prefix affinity and concurrency limits.
