//! The operators' interface over HTTP.
