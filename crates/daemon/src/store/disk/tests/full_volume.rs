//! Tests of a replica on a volume that refuses to let the store file grow beyond its size.

use lichenpulley_core::identity::{NodeId, ZoneName};
use lichenpulley_core::replication::acceptor::Acceptor;
use lichenpulley_core::replication::ballot::ProposerId;
use lichenpulley_core::replication::claims::ClaimWindow;
use lichenpulley_core::replication::compaction::LogUsage;
use lichenpulley_core::replication::message::{
    Accept, Operation, ReplicaAnswer, ReplicaRequest, ReplicaResponse, StoreRefusal,
};
use lichenpulley_core::replication::proposer::{Proposer, ProposerConfig};
use lichenpulley_core::replication::replica_set::{Generation, ReplicaSet, SetMember};
use lichenpulley_core::time::Timestamp;

use super::*;

const MIB: usize = 1 << 20;
const VOLUME_BYTES: usize = 26 * MIB;
const RECORDS_PER_APPEND: usize = 4;

/// File on a volume that counts the length of its files.
#[derive(Clone, Debug)]
struct LimitedFile {
    bytes: Arc<Mutex<Vec<u8>>>,
    volume_bytes: usize,
    /// Capacity in the settings of the store.
    capacity_bytes: u64,
}

impl LimitedFile {
    fn new(volume_bytes: usize) -> Self {
        Self { bytes: Arc::default(), volume_bytes, capacity_bytes: volume_bytes as u64 }
    }

    fn resize(&self, bytes: &mut Vec<u8>, len: usize) -> io::Result<()> {
        if len > self.volume_bytes {
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        bytes.resize(len, 0);
        Ok(())
    }
}

impl StorageBackend for LimitedFile {
    fn len(&self) -> io::Result<u64> {
        Ok(self.bytes.lock().expect("no panic inside").len() as u64)
    }

    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        let bytes = self.bytes.lock().expect("no panic inside");
        let start = usize::try_from(offset).expect("a small file");
        let read = bytes.get(start..start + len).map(<[u8]>::to_vec);
        read.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut bytes = self.bytes.lock().expect("no panic inside");
        self.resize(&mut bytes, usize::try_from(len).expect("a small file"))
    }

    fn sync_data(&self, _eventual: bool) -> io::Result<()> {
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut bytes = self.bytes.lock().expect("no panic inside");
        let start = usize::try_from(offset).expect("a small file");
        if start + data.len() > bytes.len() {
            self.resize(&mut bytes, start + data.len())?;
        }
        bytes[start..start + data.len()].copy_from_slice(data);
        Ok(())
    }
}

/// The only replica of a log, on a limited volume.
struct Replica {
    file: LimitedFile,
    disk: Option<Disk>,
    acceptor: Acceptor,
}

impl Replica {
    fn new(volume_bytes: usize) -> Self {
        Self::on(LimitedFile::new(volume_bytes))
    }

    fn on(file: LimitedFile) -> Self {
        let disk = Self::open(&file, Growth::default(), true);
        let acceptor = Acceptor::new(disk.store().clone(), ClaimWindow::default());
        Self { file, disk: Some(disk), acceptor }
    }

    fn open(file: &LimitedFile, growth: Growth, is_new: bool) -> Disk {
        let volume = VolumeFile::open(file.clone(), &growth).expect("readable");
        let database = Database::builder().set_cache_size(CACHE_BYTES).create_with_backend(volume);
        let database = database.expect("opens");
        if is_new {
            write_identity(&database).expect("enough space");
        }
        let disk = Disk::from_database(database, PathBuf::from("memory"), file.capacity_bytes, growth);
        disk.expect("readable")
    }

    fn set(&self) -> ReplicaSet {
        let members = vec![SetMember {
            store: self.acceptor.store().clone(),
            node: NodeId::new("node-1"),
            zone: ZoneName::new("zone-1"),
            address: String::new(),
        }];
        ReplicaSet { shard: shard(), generation: Generation::FIRST, members }
    }

    /// Handles a request as the store thread does: a failed transaction is repeated after the file was reopened.
    fn answer(&mut self, request: &ReplicaRequest) -> Result<ReplicaAnswer, DiskError> {
        match self.try_answer(request) {
            Err(_) => self.try_answer(request),
            answer => answer,
        }
    }

    fn request(&mut self, set: &ReplicaSet, operation: Operation) -> ReplicaAnswer {
        let (shard, generation) = (set.shard.clone(), set.generation);
        let store = self.acceptor.store().clone();
        self.answer(&ReplicaRequest { shard, generation, store, operation }).expect("room for small writes")
    }

    fn try_answer(&mut self, request: &ReplicaRequest) -> Result<ReplicaAnswer, DiskError> {
        let disk = self.disk.as_ref().expect("open");
        let answer = |disk: &mut Transaction<'_>| self.acceptor.answer(disk, 0, request.clone());
        match disk.transact(answer) {
            Ok(response) => Ok(response.outcome),
            Err(error) => {
                let disk = self.disk.take().expect("open");
                let growth = disk.growth.clone();
                drop(disk);
                self.disk = Some(Self::open(&self.file, growth, false));
                Err(error)
            }
        }
    }

    /// Returns the size of the pages in use.
    fn allocated_bytes(&self) -> u64 {
        let write = self.disk.as_ref().expect("open").database.begin_write().expect("begins");
        let stats = write.stats().expect("readable");
        stats.allocated_pages() * stats.page_size() as u64
    }

    fn read<T>(&self, read: impl FnOnce(&mut Transaction<'_>) -> Result<T, DiskError>) -> T {
        self.disk.as_ref().expect("open").transact(read).expect("readable")
    }
}

/// An owner and the only replica of its log.
struct Owner {
    proposer: Proposer,
    replica: Replica,
    random: u64,
}

impl Owner {
    fn take_over(replica: Replica) -> Self {
        Self::take_over_under(replica, Epoch(1))
    }

    fn take_over_under(replica: Replica, epoch: Epoch) -> Self {
        let proposer = ProposerId::new(format!("owner-{}", epoch.0));
        let proposer = Proposer::new(replica.set(), proposer, epoch, ProposerConfig::default());
        let mut owner = Self { proposer, replica, random: 1 };
        owner.exchange().expect("taken over");
        owner
    }

    /// Exchanges requests and responses until none are left.
    fn exchange(&mut self) -> Result<(), DiskError> {
        self.exchange_until(LogIndex(u64::MAX))
    }

    /// Exchanges requests and responses until none are left, or until a position is decided.
    fn exchange_until(&mut self, decided: LogIndex) -> Result<(), DiskError> {
        let now = Timestamp::ORIGIN;
        while self.proposer.decided_through() < decided
            && let Some(transmit) = self.proposer.poll_transmit(now)
        {
            let (shard, generation) = (transmit.request.shard.clone(), transmit.request.generation);
            let outcome = self.replica.answer(&transmit.request)?;
            if outcome == ReplicaAnswer::Refused(StoreRefusal::DiskFull) {
                return Err(DiskError::Full);
            }
            let response = ReplicaResponse { shard, generation, store: transmit.to, outcome };
            self.proposer.step(now, response);
        }
        Ok(())
    }

    /// Appends records of 100 to 7,000 bytes, a few at a time, until they fill `bytes`.
    fn append(&mut self, bytes: usize) -> Result<LogIndex, DiskError> {
        let mut appended = 0;
        let mut last = LogIndex::ZERO;
        while appended < bytes {
            let records: Vec<Vec<u8>> = (0..RECORDS_PER_APPEND).map(|_| self.record()).collect();
            appended += records.iter().map(Vec::len).sum::<usize>();
            last = self.proposer.append(records).map_err(|_| DiskError::Full)?;
            self.exchange()?;
        }
        assert_eq!(self.proposer.decided_through(), last);
        Ok(last)
    }

    fn record(&mut self) -> Vec<u8> {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        vec![7; 100 + (self.random >> 33) as usize % 6_900]
    }
}

#[test]
fn a_log_of_a_quarter_of_the_volume_is_replaced_by_a_snapshot_of_its_size() {
    let mut owner = Owner::take_over(Replica::new(VOLUME_BYTES));
    let last_record = owner.append(VOLUME_BYTES / 4).expect("room for the log");
    let last_part = owner.proposer.compact(vec![9; VOLUME_BYTES / 4]).expect("leads");
    owner.exchange().expect("room for the snapshot and the truncation");
    assert_eq!(owner.proposer.decided_through(), last_part);
    let first = owner.replica.read(|disk| disk.entries_from(&shard(), LogIndex::FIRST, 1));
    assert_eq!(first.first().map(|first| first.index), Some(last_record.next()));
    owner.append(VOLUME_BYTES / 8).expect("room after the truncation");
}

#[test]
fn a_snapshot_takes_little_more_than_its_size() {
    let mut owner = Owner::take_over(Replica::new(VOLUME_BYTES));
    owner.append(MIB / 8).expect("room for records");
    let before = owner.replica.allocated_bytes();
    let snapshot = vec![9; 4 * MIB];
    owner.proposer.compact(snapshot.clone()).expect("leads");
    owner.exchange().expect("room for the snapshot");
    let taken = owner.replica.allocated_bytes() - before;
    assert!(taken <= snapshot.len() as u64 / 8 * 9, "{taken} bytes");
}

#[test]
fn removing_a_log_does_not_grow_the_file() {
    let mut owner = Owner::take_over(Replica::new(usize::MAX));
    let last = owner.append(6 * MIB).expect("room for records");
    let before = owner.replica.file.len().expect("a length");
    owner.replica.read(|disk| disk.remove_entries_before(&shard(), last));
    let after = owner.replica.file.len().expect("a length");
    assert!(after <= before, "{before} bytes became {after}");
    let left = owner.replica.read(|disk| disk.entries_from(&shard(), LogIndex::FIRST, MIB));
    assert_eq!(left.iter().map(|left| left.index).collect::<Vec<_>>(), [last]);
}

#[test]
fn a_shard_is_taken_over_sealed_and_truncated_on_a_full_volume() {
    let mut file = LimitedFile::new(8 * MIB);
    file.capacity_bytes = 80 * MIB as u64;
    let mut owner = Owner::take_over(Replica::on(file));
    let full = owner.append(80 * MIB);
    assert!(matches!(full, Err(DiskError::Full)), "{full:?}");
    let acknowledged = owner.proposer.decided_through();

    let mut owner = Owner::take_over_under(owner.replica, Epoch(2));
    assert!(owner.proposer.decided_through() >= acknowledged);
    let other = ReplicaSet { shard: ShardId::new("job/other"), ..owner.replica.set() };
    let begun = owner.replica.request(&other, Operation::Begin(other.clone()));
    assert_eq!(begun, ReplicaAnswer::Begun);
    let next = ReplicaSet { generation: Generation::FIRST.next(), ..other.clone() };
    let sealed = owner.replica.request(&other, Operation::Seal(next));
    assert!(matches!(sealed, ReplicaAnswer::Sealed { .. }), "{sealed:?}");

    let accept = Accept {
        ballot: owner.proposer.ballot().clone(),
        from: owner.proposer.decided_through().next(),
        payloads: Vec::new(),
        decided_through: owner.proposer.decided_through(),
        truncate_before: acknowledged,
    };
    let set = owner.replica.set();
    let accepted = owner.replica.request(&set, Operation::Accept(accept));
    assert!(matches!(accepted, ReplicaAnswer::Accepted { .. }), "{accepted:?}");
    let (generation, store) = (set.generation, set.members[0].store.clone());
    let response = ReplicaResponse { shard: set.shard, generation, store, outcome: accepted };
    owner.proposer.step(Timestamp::ORIGIN, response);
    owner.append(MIB).expect("room after the truncation");
}

/// The parts of a snapshot that an owner did not finish stay in the log, and the next owner's had no room beside them.
#[test]
fn a_snapshot_has_room_after_another_owner_was_interrupted_while_it_wrote_one() {
    let mut owner = Owner::take_over(Replica::new(40 * MIB));
    let mut usage = LogUsage::default();
    usage.set_free(owner.proposer.free_bytes());
    let state = usage.state_limit().expect("the room is known");
    usage.set_state(state);
    let snapshot = vec![9; state as usize / 8 * 9];
    while usage.compaction_due(0).is_none() {
        owner.append(MIB / 4).expect("room until a compaction is due");
        usage.appended(MIB as u64 / 4);
        usage.set_free(owner.proposer.free_bytes());
    }
    let last_part = owner.proposer.compact(snapshot.clone()).expect("leads");
    owner.exchange_until(last_part.previous()).expect("room for the first snapshot");

    let mut owner = Owner::take_over_under(owner.replica, Epoch(2));
    let last_part = owner.proposer.compact(snapshot).expect("leads");
    owner.exchange().expect("room for the second snapshot");
    assert_eq!(owner.proposer.decided_through(), last_part);
    owner.append(MIB).expect("room after the truncation");
}
