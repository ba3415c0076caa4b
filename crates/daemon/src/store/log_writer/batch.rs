//! Divides queued appends into writes of limited size.
//!
//! The owner counts as confirmed from the start of its last committed write, and only for a short time. A write that
//! takes the owner's link longer than that would leave it unconfirmed, and all work would stop until a later one.

#[cfg(test)]
mod tests;

/// Size at which a write is complete, in bytes. A larger append is written alone.
const MAX_WRITE_BYTES: usize = 256 << 10;

/// Appends that are written together.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Batch {
    /// Number of appends.
    pub(super) appends: usize,
    /// The encoded records of all of them, in order.
    pub(super) records: Vec<Vec<u8>>,
    /// Size of the records.
    pub(super) bytes: usize,
}

/// Divides appends, given as their encoded records, into batches. The order is kept and no append is divided.
pub(super) fn batches(appends: impl Iterator<Item = Vec<Vec<u8>>>) -> Vec<Batch> {
    let mut batches: Vec<Batch> = Vec::new();
    for records in appends {
        let bytes: usize = records.iter().map(Vec::len).sum();
        let fits = |batch: &&mut Batch| batch.bytes + bytes <= MAX_WRITE_BYTES;
        match batches.last_mut().filter(fits) {
            Some(batch) => {
                batch.appends += 1;
                batch.bytes += bytes;
                batch.records.extend(records);
            }
            None => batches.push(Batch { appends: 1, records, bytes }),
        }
    }
    batches
}
