//! The settings tree, its revisions and how they spread between nodes (brief point 9).
