//! Tests that a data folder written by an earlier release is read with exact values. `data/README.md`
//! describes how it was created.

use std::fs;
use std::time::Duration;

use lichenpulley_core::batch::job::{BatchItem, BatchJob, OutputEvent};
use lichenpulley_core::batch::record::Record;
use lichenpulley_core::identity::{
    AttemptId, BatchId, Epoch, JobId, NodeId, PoolName, RequestId, ShardId, WeightVersion, ZoneName,
};
use lichenpulley_core::replication::ballot::{Ballot, ProposerId};
use lichenpulley_core::replication::claims::{ClaimRecord, ClaimVote, ClaimWindow};
use lichenpulley_core::replication::entry::{Entry, IndexedEntry, LogIndex, Payload};
use lichenpulley_core::replication::group::LogPosition;
use lichenpulley_core::replication::message::{
    ClaimRequest, ClaimedRequest, CopyPage, Operation, PagePosition, Read, ReplicaAnswer, ReplicaRequest,
    StatePage, StoreRefusal, TransferId,
};
use lichenpulley_core::replication::replica_set::{Generation, ReplicaSet, SetMember, StoreId};
use lichenpulley_core::rollout::{JobRecord, JobSpecification};
use lichenpulley_daemon::store::Store;
use lichenpulley_protocol::internal::{StoreRequest, StoreResponse};
use prometheus::Registry;
use tempfile::TempDir;

const CAPACITY_BYTES: u64 = 1 << 20;
/// Id of the store that wrote the folder.
const STORE: &str = "f1d0b0b190c31dacb09030bcab887b8a";
/// Block size of the run-length encoded file, in bytes.
const BLOCK_BYTES: usize = 64;
const ISSUED_AT_UNIX_MS: u64 = 1_700_000_000_000;

/// Returns a claim window of a century, so that the claims in the folder never expire.
fn window() -> ClaimWindow {
    ClaimWindow {
        retention: Duration::from_secs(100 * 365 * 86_400),
        maximum_clock_skew: Duration::from_secs(30),
    }
}

/// Expands the store file from its run-length encoding: a repetition count before each block.
fn expand_runs(runs: &[u8]) -> Vec<u8> {
    let run = |run: &[u8]| {
        let (count, block) = run.split_first_chunk::<4>().expect("a count");
        block.repeat(u32::from_le_bytes(*count) as usize)
    };
    runs.chunks_exact(4 + BLOCK_BYTES).flat_map(run).collect()
}

/// Opens the store in a copy of the folder.
fn open_copy() -> (TempDir, Store) {
    let copy = TempDir::new().expect("a folder");
    let file = expand_runs(include_bytes!("data/replicas.redb.runs"));
    fs::write(copy.path().join("replicas.redb"), file).expect("written");
    let store =
        Store::open(copy.path(), CAPACITY_BYTES, window(), &Registry::new()).expect("a readable folder");
    (copy, store)
}

fn member(store: &str, node: &str) -> SetMember {
    SetMember {
        store: StoreId::new(store),
        node: NodeId::new(node),
        zone: ZoneName::new("zone-1"),
        address: "10.0.0.1:7200".to_owned(),
    }
}

fn set(shard: &str, generation: u64, own: &str) -> ReplicaSet {
    ReplicaSet {
        shard: ShardId::new(shard),
        generation: Generation(generation),
        members: vec![member(own, "node-1"), member("other", "node-2")],
    }
}

fn ballot() -> Ballot {
    Ballot { epoch: Epoch(7), proposer: ProposerId::new("node-2/00ff") }
}

fn batch_records() -> Vec<Record> {
    let item = BatchItem {
        id: "item-1".to_owned(),
        path: "/v1/completions".to_owned(),
        headers: vec![("x-model".to_owned(), "m".to_owned())],
        body: b"{\"prompt\":\"hello\"}".to_vec(),
        tokens: 64,
        expected_tokens: Some(8),
        group: Some("g".to_owned()),
        model: Some("m".to_owned()),
        scorer: None,
    };
    let batch = BatchId::new("job-7");
    let job = BatchJob {
        id: batch.clone(),
        route: "batch".to_owned(),
        host: "batch.example".to_owned(),
        tenant: None,
        step: Some(2),
        min_version: 3,
        desired_groups: None,
        items: vec![item],
    };
    let event = |number, data: &str| OutputEvent { number, version: 3, data: data.to_owned() };
    vec![
        Record::Accepted(job),
        Record::Ordered { replica: "replica-4".to_owned(), holder: NodeId::new("node-2"), at_ms: 1_500 },
        Record::Progress { batch: batch.clone(), item: 0, events: vec![event(1, "one"), event(2, "two")] },
        Record::Completed { batch: batch.clone(), item: 0, events: vec![event(3, "three")] },
        Record::Clock(90_000),
        Record::Ended(batch),
    ]
}

fn batch_payloads(own: &str) -> Vec<Payload> {
    let record =
        |record: Record| Payload::Record { origin: Epoch(7), bytes: record.encode().expect("bytes") };
    let mut payloads: Vec<Payload> = batch_records().into_iter().map(record).collect();
    payloads.insert(0, Payload::Noop);
    payloads.push(Payload::NextSet { origin: Epoch(7), set: set("batch/main", 2, own) });
    payloads
}

fn rollout_records() -> Vec<JobRecord> {
    let specification = JobSpecification {
        job: JobId::new("pricing"),
        pool: PoolName::new("main"),
        prompts: vec!["one".to_owned(), "two".to_owned()],
        samples_per_prompt: 2,
        steps: 3,
        max_tokens: 16,
        staleness_bound: 1,
        idle_weight_percent: 50,
    };
    vec![
        JobRecord::Submitted(specification),
        JobRecord::CursorMoved { cursor: 4, trainer_version: WeightVersion(2) },
        JobRecord::BatchVoided,
    ]
}

fn rollout_payloads() -> Vec<Payload> {
    let record =
        |record: JobRecord| Payload::Record { origin: Epoch(7), bytes: record.encode().expect("bytes") };
    let mut payloads: Vec<Payload> = rollout_records().into_iter().map(record).collect();
    let part =
        |number| Payload::SnapshotPart { origin: Epoch(7), number, count: 2, bytes: vec![number as u8; 40] };
    payloads.extend([part(0), part(1)]);
    payloads
}

/// Returns the entries of a log from a position on.
fn entries(payloads: Vec<Payload>, from: u64) -> Vec<IndexedEntry> {
    let entry =
        |(index, payload)| IndexedEntry { index: LogIndex(index), entry: Entry { epoch: Epoch(7), payload } };
    let all = (1..).zip(payloads).map(entry);
    all.filter(|entry| entry.index.0 >= from).collect()
}

fn claim(request: &str, attempt: &str) -> ClaimRequest {
    ClaimRequest {
        request: RequestId::new(request),
        issued_at_unix_ms: ISSUED_AT_UNIX_MS,
        attempt: AttemptId::new(attempt),
    }
}

fn claimed(request: &str, attempt: &str) -> ClaimedRequest {
    let holder = Some(AttemptId::new(attempt));
    let record = ClaimRecord { issued_at_unix_ms: ISSUED_AT_UNIX_MS, holder };
    ClaimedRequest { request: RequestId::new(request), record }
}

fn copied_page(number: u64, own: &str) -> CopyPage {
    let position = LogPosition { promised: ballot(), base: LogIndex(1), ..LogPosition::default() };
    let entries = entries(batch_payloads(own), 1).into_iter().take(1).collect();
    let page = StatePage { position, entries, claims: Vec::new(), next: Some(PagePosition::Claims(None)) };
    let set = set("job/joining", 2, own);
    CopyPage {
        set,
        transfer: TransferId("transfer-1".to_owned()),
        source: StoreId::new("other"),
        number,
        page,
    }
}

async fn query(store: &Store, shard: &str, generation: u64, operation: Operation) -> ReplicaAnswer {
    let (shard, own) = (ShardId::new(shard), store.id().clone());
    let request = ReplicaRequest { shard, generation: Generation(generation), store: own, operation };
    match store.answer(StoreRequest::Replica(Box::new(request))).await {
        StoreResponse::Replica(response) => response.outcome,
        other => panic!("not an answer of a replica: {other:?}"),
    }
}

async fn known_set(store: &Store, shard: &str) -> Option<(ReplicaSet, Option<ReplicaSet>)> {
    match store.answer(StoreRequest::KnownSet(ShardId::new(shard))).await {
        StoreResponse::KnownSet(known) => known.map(|known| (known.set, known.next)),
        other => panic!("no known set: {other:?}"),
    }
}

async fn read_log(store: &Store, shard: &str) -> (LogPosition, LogIndex, Vec<IndexedEntry>) {
    let promised = query(store, shard, 1, Operation::Prepare(ballot())).await;
    let ReplicaAnswer::Promised { position, last, .. } = promised else { panic!("no promise: {promised:?}") };
    let read = Operation::Read(Read { ballot: ballot(), from: LogIndex(1) });
    let read = query(store, shard, 1, read).await;
    let ReplicaAnswer::Entries { entries, .. } = read else { panic!("no entries: {read:?}") };
    (position, last, entries)
}

#[tokio::test]
async fn the_store_keeps_its_id_and_its_replica_sets() {
    let (_folder, store) = open_copy();
    assert_eq!(store.id(), &StoreId::new(STORE));
    let mut shards: Vec<ReplicaSet> = store.replica_sets().await;
    shards.sort_by(|left, right| left.shard.cmp(&right.shard));
    let expected = [
        set("batch/main", 1, STORE),
        set("claims/3", 1, STORE),
        set("job/joining", 2, STORE),
        set("job/pricing", 1, STORE),
        set("job/sealed", 1, STORE),
    ];
    assert_eq!(shards, expected);
    let sealed = known_set(&store, "job/sealed").await;
    assert_eq!(sealed, Some((set("job/sealed", 1, STORE), Some(set("job/sealed", 2, STORE)))));
    assert_eq!(known_set(&store, "batch/main").await, Some((set("batch/main", 1, STORE), None)));
}

#[tokio::test]
async fn the_epoch_and_its_owner_are_read() {
    let (_folder, store) = open_copy();
    for shard in ["batch/main", "job/pricing", "job/sealed"] {
        let answer = store.answer(StoreRequest::Leadership(ShardId::new(shard))).await;
        let StoreResponse::Leadership(Some(leader)) = answer else { panic!("no leader: {answer:?}") };
        assert_eq!((leader.epoch, leader.proposer), (ballot().epoch, ballot().proposer));
    }
    let lower = Ballot { epoch: Epoch(6), proposer: ProposerId::new("node-1/1") };
    let refused = query(&store, "batch/main", 1, Operation::Prepare(lower)).await;
    assert_eq!(refused, ReplicaAnswer::Refused(StoreRefusal::HigherBallot { promised: ballot() }));
}

#[tokio::test]
async fn the_log_of_batch_jobs_is_read() {
    let (_folder, store) = open_copy();
    let (position, last, found) = read_log(&store, "batch/main").await;
    let expected = LogPosition { promised: ballot(), decided_through: LogIndex(5), ..LogPosition::default() };
    assert_eq!((position, last), (expected, LogIndex(8)));
    assert_eq!(found, entries(batch_payloads(STORE), 1));
    let records = found.iter().filter_map(|found| match &found.entry.payload {
        Payload::Record { bytes, .. } => Some(Record::decode(bytes).expect("a record")),
        _ => None,
    });
    assert_eq!(records.collect::<Vec<_>>(), batch_records());
    let decided = query(&store, "batch/main", 1, Operation::ReadDecided(LogIndex(1))).await;
    let ReplicaAnswer::Decided { entries: decided, .. } = decided else { panic!("not decided: {decided:?}") };
    assert_eq!(decided, entries(batch_payloads(STORE), 1)[..5]);
}

#[tokio::test]
async fn the_log_of_a_rollout_job_is_read_from_its_first_retained_position() {
    let (_folder, store) = open_copy();
    let (position, last, found) = read_log(&store, "job/pricing").await;
    let base = LogIndex(2);
    let decided_through = LogIndex(4);
    let expected = LogPosition { promised: ballot(), base, decided_through, ..LogPosition::default() };
    assert_eq!((position, last), (expected, LogIndex(5)));
    assert_eq!(found, entries(rollout_payloads(), 2));
    let records = found.iter().filter_map(|found| match &found.entry.payload {
        Payload::Record { bytes, .. } => Some(JobRecord::decode(bytes).expect("a record")),
        _ => None,
    });
    assert_eq!(records.collect::<Vec<_>>(), rollout_records()[1..]);
}

#[tokio::test]
async fn claims_are_read() {
    let (_folder, store) = open_copy();
    let held = query(&store, "claims/3", 1, Operation::Claim(claim("request-1", "attempt-3"))).await;
    assert!(matches!(held, ReplicaAnswer::Voted { vote: ClaimVote::Held, .. }), "{held:?}");
    let granted = query(&store, "claims/3", 1, Operation::Claim(claim("request-1", "attempt-1"))).await;
    assert!(matches!(granted, ReplicaAnswer::Voted { vote: ClaimVote::Granted, .. }), "{granted:?}");
    query(&store, "claims/3", 1, Operation::Seal(set("claims/3", 2, STORE))).await;
    let page = query(&store, "claims/3", 1, Operation::ReadState(PagePosition::Claims(None))).await;
    let ReplicaAnswer::StatePage { page, .. } = page else { panic!("no page: {page:?}") };
    assert_eq!(page.claims, [claimed("request-1", "attempt-1"), claimed("request-2", "attempt-2")]);
}

#[tokio::test]
async fn a_copy_resumes_at_its_next_page() {
    let (_folder, store) = open_copy();
    let repeated = query(&store, "job/joining", 2, Operation::Copy(copied_page(0, STORE))).await;
    assert!(matches!(repeated, ReplicaAnswer::Copied { next: 1, .. }), "{repeated:?}");
    let next = query(&store, "job/joining", 2, Operation::Copy(copied_page(1, STORE))).await;
    assert!(matches!(next, ReplicaAnswer::Copied { next: 2, .. }), "{next:?}");
}

#[tokio::test]
async fn the_used_bytes_are_read() {
    let (_folder, store) = open_copy();
    let promised = query(&store, "batch/main", 1, Operation::Prepare(ballot())).await;
    let ReplicaAnswer::Promised { free_bytes, .. } = promised else { panic!("no promise: {promised:?}") };
    assert_eq!(free_bytes, 784_722);
}
