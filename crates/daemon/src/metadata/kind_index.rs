//! Index of each kind of metadata in arrays with one element for each kind.
//!
//! The handle, the freshness state and the watchers rely on the same order.

use lichenpulley_protocol::internal::MetadataKind;

/// Returns the index of a kind, less than the number of kinds.
pub(super) const fn kind_index(kind: MetadataKind) -> usize {
    match kind {
        MetadataKind::Configuration => 0,
        MetadataKind::Replicas => 1,
        MetadataKind::Versions => 2,
        MetadataKind::Evacuations => 3,
        MetadataKind::Quarantine => 4,
    }
}
