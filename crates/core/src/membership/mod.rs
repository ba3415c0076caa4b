//! Which nodes are alive, by probes and refutable suspicion, without a central list.
