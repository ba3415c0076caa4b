//! HTTP servers and clients, by `hyper`.
