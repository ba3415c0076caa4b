//! The place of each kind of metadata in the arrays that are kept by kind.
//!
//! The handle, its times of confirmation and the watchers rely on the same order.

use lichenpulley_protocol::internal::MetadataKind;

/// The place of a kind, below the number of kinds.
pub(super) const fn kind_index(kind: MetadataKind) -> usize {
    match kind {
        MetadataKind::Configuration => 0,
        MetadataKind::Replicas => 1,
        MetadataKind::Versions => 2,
        MetadataKind::Evacuations => 3,
        MetadataKind::Quarantine => 4,
    }
}
