//! Snapshots of the ledger: records that reproduce it.
//!
//! A snapshot is as long as the state. Its records are encoded one at a time, so that no second copy of the state is
//! held while it is written.

use speedy::{Readable, Writable};

use super::ledger::{JobState, LastOrder, Ledger};
use super::record::Record;

/// A decoded snapshot.
#[derive(Debug, Readable)]
struct Snapshot {
    records: Vec<Record>,
}

/// An encoded [`Snapshot`]: the number of records and the records.
struct SnapshotEncoder {
    bytes: Vec<u8>,
    records: u32,
}

impl SnapshotEncoder {
    fn new() -> Result<Self, speedy::Error> {
        Ok(Self { bytes: 0_u32.write_to_vec()?, records: 0 })
    }

    fn push(&mut self, record: &Record) -> Result<(), speedy::Error> {
        record.write_to_stream(&mut self.bytes)?;
        self.records += 1;
        Ok(())
    }

    fn finish(mut self) -> Result<Vec<u8>, speedy::Error> {
        let number = self.records.write_to_vec()?;
        self.bytes[..number.len()].copy_from_slice(&number);
        Ok(self.bytes)
    }
}

impl Ledger {
    /// Encodes the ledger as a snapshot.
    ///
    /// # Errors
    /// Fails when the ledger is too long for the codec.
    pub fn to_snapshot(&self) -> Result<Vec<u8>, speedy::Error> {
        let mut encoder = SnapshotEncoder::new()?;
        let mut by_age: Vec<&JobState> = self.jobs.values().collect();
        by_age.sort_by_key(|job| job.accepted_at_ms);
        for job in by_age {
            encoder.push(&Record::Clock(job.accepted_at_ms))?;
            encode_job(job, &mut encoder)?;
        }
        let mut orders: Vec<(&String, &LastOrder)> = self.orders.iter().collect();
        orders.sort_by_key(|(_, order)| order.at_ms);
        for (replica, order) in orders {
            let (replica, holder) = (replica.clone(), order.holder.clone());
            encoder.push(&Record::Ordered { replica, holder, at_ms: order.at_ms })?;
        }
        for ((service, zone), desired) in self.scaled() {
            let (service, zone) = (service.clone(), zone.clone());
            encoder.push(&Record::Scaled { service, zone, desired: *desired })?;
        }
        encoder.push(&Record::Usage(self.usage().parts()))?;
        encoder.push(&Record::Clock(self.clock_ms()))?;
        encoder.finish()
    }

    /// Decodes the records of a snapshot.
    pub(super) fn snapshot_records(bytes: &[u8]) -> Result<Vec<Record>, speedy::Error> {
        Ok(Snapshot::read_from_buffer(bytes)?.records)
    }
}

fn encode_job(job: &JobState, encoder: &mut SnapshotEncoder) -> Result<(), speedy::Error> {
    let batch = &job.job.id;
    encoder.push(&Record::Accepted(job.job.clone()))?;
    for result in &job.results {
        encoder.push(&Record::Listed { batch: batch.clone(), result: result.clone() })?;
    }
    for (state, item) in job.items.iter().zip(0..) {
        if state.failures > 0 {
            encoder.push(&Record::Failed { batch: batch.clone(), item, failures: state.failures })?;
        }
        if state.is_generated {
            let events = state.events.clone();
            encoder.push(&Record::Generated { batch: batch.clone(), item, events, replaces: true })?;
        } else if !state.events.is_empty() {
            encoder.push(&Record::Progress { batch: batch.clone(), item, events: state.events.clone() })?;
        }
    }
    for (state, item) in job.items.iter().zip(0..).filter(|(state, _)| state.score_failures > 0) {
        let failures = state.score_failures;
        encoder.push(&Record::ScoreFailed { batch: batch.clone(), item, failures })?;
    }
    if job.is_ended {
        encoder.push(&Record::Ended(batch.clone()))?;
    }
    Ok(())
}
