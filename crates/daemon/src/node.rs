//! Puts the parts of a node together.
