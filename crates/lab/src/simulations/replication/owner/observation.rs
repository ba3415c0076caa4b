//! What owners observed, for the checks at the end of a run, and how their records are written.

use lichenpulley_core::identity::Epoch;
use lichenpulley_core::replication::log::RecoveredLog;
use lichenpulley_core::time::Timestamp;

/// Bytes of one record.
const RECORD_BYTES: usize = 8;

/// What an owner observed, for the check afterwards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// When.
    pub at: Timestamp,
    /// Which epoch.
    pub epoch: Epoch,
    /// What.
    pub kind: ObservationKind,
}

/// A step of an owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ObservationKind {
    /// It began to take the log over.
    Began,
    /// It took the log over and found these records.
    Recovered(Vec<u64>),
    /// It goes on in another set of stores.
    Continued,
    /// It asked for this record to be appended.
    Appending(u64),
    /// This many records, with these at the end, are acknowledged.
    Acknowledged {
        /// How many there are in all.
        length: usize,
        /// The last of them.
        records: Vec<u64>,
    },
}

/// Tells the records of owners apart.
pub(super) fn name_bits(name: &str) -> u64 {
    name.bytes().last().map_or(0, |byte| u64::from(byte) << 56)
}

pub(super) fn encode(records: &[u64]) -> Vec<u8> {
    records.iter().flat_map(|record| record.to_le_bytes()).collect()
}

fn decode(bytes: &[u8]) -> Vec<u64> {
    let (records, _) = bytes.as_chunks::<RECORD_BYTES>();
    records.iter().map(|record| u64::from_le_bytes(*record)).collect()
}

pub(super) fn decode_log(recovered: &RecoveredLog) -> Vec<u64> {
    let snapshot = recovered.snapshot.as_deref().map(decode).unwrap_or_default();
    let records = recovered.records.iter().flat_map(|record| decode(record));
    snapshot.into_iter().chain(records).collect()
}
