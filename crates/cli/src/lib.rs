//! The operators' command.
