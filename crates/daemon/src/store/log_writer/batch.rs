//! Divides queued appends into writes of limited size.
//!
//! The owner counts as confirmed from the start of its last committed write, and only for a short time. A write that
//! takes the owner's link longer than that would leave it unconfirmed, and all work would stop until a later one.

#[cfg(test)]
mod tests;

/// Size at which a write is complete, in bytes. A larger append is written alone.
const MAX_WRITE_BYTES: usize = 256 << 10;

/// An append with its encoded records.
#[derive(Debug)]
pub(super) struct EncodedAppend {
    /// Whether it may be refused when the disks are full.
    pub(super) is_refusable: bool,
    pub(super) records: Vec<Vec<u8>>,
}

/// Appends that are written together.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Batch {
    /// Number of appends.
    pub(super) appends: usize,
    /// Whether they may be refused when the disks are full.
    pub(super) is_refusable: bool,
    /// The encoded records of all of them, in order.
    pub(super) records: Vec<Vec<u8>>,
    /// Size of the records.
    pub(super) bytes: usize,
}

/// Divides appends into batches. The order is kept and no append is divided. Appends that may be refused are not
/// mixed with others.
pub(super) fn batches(appends: impl Iterator<Item = EncodedAppend>) -> Vec<Batch> {
    let mut batches: Vec<Batch> = Vec::new();
    for EncodedAppend { is_refusable, records } in appends {
        let bytes: usize = records.iter().map(Vec::len).sum();
        let fits =
            |batch: &&mut Batch| batch.is_refusable == is_refusable && batch.bytes + bytes <= MAX_WRITE_BYTES;
        match batches.last_mut().filter(fits) {
            Some(batch) => {
                batch.appends += 1;
                batch.bytes += bytes;
                batch.records.extend(records);
            }
            None => batches.push(Batch { appends: 1, is_refusable, records, bytes }),
        }
    }
    batches
}
