//! A seeded network of state machines on a virtual clock.
