//! Encoding of messages between nodes and of stored records. Nodes of different releases exchange and read
//! them, so the bytes in `encoding_bytes` must never change; reordering fields or variants fails here.

use std::fmt::{Debug, Write};

use lichenpulley_core::batch::job::{BatchItem, BatchJob, ItemResult, OutputEvent, ScoreRequest};
use lichenpulley_core::batch::record::Record;
use lichenpulley_core::identity::{
    AttemptId, BatchId, Epoch, JobId, NodeId, PoolName, RequestId, Revision, ShardId, TenantName,
    WeightVersion, ZoneName,
};
use lichenpulley_core::membership::{
    Body, ClaimedState, DocumentRevision, Incarnation, MemberInfo, Message, Update,
};
use lichenpulley_core::replication::ballot::{Ballot, ProposerId};
use lichenpulley_core::replication::claims::{ClaimRecord, ClaimVote};
use lichenpulley_core::replication::entry::{Entry, IndexedEntry, LogIndex, Payload};
use lichenpulley_core::replication::group::{
    AcceptedRange, CopyProgress, GroupPhase, GroupRecord, LogPosition, SourceProgress,
};
use lichenpulley_core::replication::message::{
    Accept, ClaimRequest, ClaimedRequest, CopiedSource, CopyPage, Install, InstallBasis, Operation,
    PagePosition, Read, ReplicaAnswer, ReplicaRequest, ReplicaResponse, StatePage, StoreRefusal, TransferId,
};
use lichenpulley_core::replication::replica_set::{Generation, ReplicaSet, SetMember, StoreId};
use lichenpulley_core::rollout::{JobRecord, JobSpecification};
use lichenpulley_core::usage::account::WindowCount;
use lichenpulley_core::usage::window::WindowNumber;
use speedy::{LittleEndian, Readable, Writable};

mod encoding_bytes;

use encoding_bytes::{ANSWERS, BATCH_RECORDS, DATAGRAMS, REFUSALS, REQUESTS, ROLLOUT_RECORDS, STORED};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("writing into a string");
        text
    })
}

fn bytes(hex: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("a hexadecimal digit");
    (0..hex.len()).step_by(2).map(byte).collect()
}

/// Checks that the value encodes to these bytes and that they decode to the value.
fn check<T>(value: &T, expected: &str)
where
    T: Writable<LittleEndian> + for<'a> Readable<'a, LittleEndian> + PartialEq + Debug,
{
    let encoded = value.write_to_vec().expect("an encodable value");
    assert_eq!(hex(&encoded), expected, "{value:?}");
    assert_eq!(&T::read_from_buffer(&bytes(expected)).expect("a readable value"), value);
}

fn set(generation: u64) -> ReplicaSet {
    let member = |number: u64| SetMember {
        store: StoreId::new(format!("s{number}")),
        node: NodeId::new(format!("n{number}")),
        zone: ZoneName::new("z"),
        address: format!("10.0.0.{number}:7"),
    };
    ReplicaSet {
        shard: ShardId::new("batch/main"),
        generation: Generation(generation),
        members: vec![member(1), member(generation + 1)],
    }
}

fn ballot() -> Ballot {
    Ballot { epoch: Epoch(7), proposer: ProposerId::new("n1/3") }
}

fn payloads() -> Vec<Payload> {
    vec![
        Payload::Noop,
        Payload::Record { origin: Epoch(6), bytes: vec![1, 2, 255] },
        Payload::NextSet { origin: Epoch(5), set: set(2) },
        Payload::SnapshotPart { origin: Epoch(4), number: 1, count: 2, bytes: vec![9] },
    ]
}

fn entries() -> Vec<IndexedEntry> {
    let indexed =
        |(at, payload)| IndexedEntry { index: LogIndex(at), entry: Entry { epoch: Epoch(7), payload } };
    (1..).zip(payloads()).map(indexed).collect()
}

fn position() -> LogPosition {
    LogPosition {
        promised: ballot(),
        base: LogIndex(2),
        decided_through: LogIndex(9),
        claims_removed_before_unix_ms: 1_700_000_000_000,
    }
}

fn claim_record() -> ClaimRecord {
    ClaimRecord { issued_at_unix_ms: 1_700_000_000_001, holder: Some(AttemptId::new("a1")) }
}

fn page() -> StatePage {
    StatePage {
        position: position(),
        entries: entries(),
        claims: vec![ClaimedRequest { request: RequestId::new("r1"), record: claim_record() }],
        next: Some(PagePosition::Claims(Some(RequestId::new("r1")))),
    }
}

fn request(operation: Operation) -> ReplicaRequest {
    let (shard, store) = (ShardId::new("batch/main"), StoreId::new("s1"));
    ReplicaRequest { shard, generation: Generation(1), store, operation }
}

fn response(outcome: ReplicaAnswer) -> ReplicaResponse {
    let (shard, store) = (ShardId::new("batch/main"), StoreId::new("s1"));
    ReplicaResponse { shard, generation: Generation(1), store, outcome }
}

#[test]
fn requests_to_a_replica_keep_their_bytes() {
    let claim = ClaimRequest {
        request: RequestId::new("r1"),
        issued_at_unix_ms: 1_700_000_000_001,
        attempt: AttemptId::new("a1"),
    };
    let accept = Accept {
        ballot: ballot(),
        from: LogIndex(3),
        payloads: payloads(),
        decided_through: LogIndex(2),
        truncate_before: LogIndex(1),
    };
    let transfer = TransferId("t/1".to_owned());
    let source = StoreId::new("s2");
    let copy =
        CopyPage { set: set(2), transfer: transfer.clone(), source: source.clone(), number: 4, page: page() };
    let install = Install {
        set: set(2),
        transfer,
        basis: InstallBasis::SealedMajority,
        old_members: 3,
        sources: vec![CopiedSource { store: source, pages: 5 }],
        position: position(),
    };
    check(&request(Operation::Begin(set(1))), REQUESTS[0]);
    check(&request(Operation::Prepare(ballot())), REQUESTS[1]);
    check(&request(Operation::Read(Read { ballot: ballot(), from: LogIndex(1) })), REQUESTS[2]);
    check(&request(Operation::Accept(accept)), REQUESTS[3]);
    check(&request(Operation::Claim(claim)), REQUESTS[4]);
    check(&request(Operation::ReadDecided(LogIndex(4))), REQUESTS[5]);
    check(&request(Operation::Seal(set(2))), REQUESTS[6]);
    check(&request(Operation::ReadState(PagePosition::START)), REQUESTS[7]);
    check(&request(Operation::Copy(copy)), REQUESTS[8]);
    check(&request(Operation::Install(install)), REQUESTS[9]);
    check(&InstallBasis::InstalledMember, REQUESTS[10]);
}

#[test]
fn answers_of_a_replica_keep_their_bytes() {
    let (from, through, base) = (LogIndex(1), LogIndex(4), LogIndex(1));
    let (last, free_bytes) = (LogIndex(4), 1_000);
    check(&response(ReplicaAnswer::Begun), ANSWERS[0]);
    check(
        &response(ReplicaAnswer::Promised { ballot: ballot(), position: position(), last, free_bytes }),
        ANSWERS[1],
    );
    check(
        &response(ReplicaAnswer::Entries { ballot: ballot(), from, through, entries: entries() }),
        ANSWERS[2],
    );
    check(
        &response(ReplicaAnswer::Accepted { ballot: ballot(), from, through, base, free_bytes }),
        ANSWERS[3],
    );
    let (request, attempt) = (RequestId::new("r1"), AttemptId::new("a1"));
    check(&response(ReplicaAnswer::Voted { request, attempt, vote: ClaimVote::Held }), ANSWERS[4]);
    let decided_through = through;
    check(&response(ReplicaAnswer::Decided { from, entries: entries(), base, decided_through }), ANSWERS[5]);
    check(&response(ReplicaAnswer::Sealed { next: set(2), position: position() }), ANSWERS[6]);
    check(&response(ReplicaAnswer::StatePage { from: PagePosition::START, page: page() }), ANSWERS[7]);
    let (transfer, source) = (TransferId("t/1".to_owned()), StoreId::new("s2"));
    check(&response(ReplicaAnswer::Copied { transfer, source, next: 2 }), ANSWERS[8]);
    check(&response(ReplicaAnswer::Installed(Generation(2))), ANSWERS[9]);
    check(&ClaimVote::Granted, ANSWERS[10]);
    check(&ClaimVote::Expired, ANSWERS[11]);
    check(&ClaimVote::TooFarAhead, ANSWERS[12]);
}

#[test]
fn refusals_of_a_replica_keep_their_bytes() {
    check(
        &response(ReplicaAnswer::Refused(StoreRefusal::WrongStore { store: StoreId::new("s3") })),
        REFUSALS[0],
    );
    check(&response(ReplicaAnswer::Refused(StoreRefusal::NotInstalled)), REFUSALS[1]);
    check(&response(ReplicaAnswer::Refused(StoreRefusal::NewerGeneration { current: set(2) })), REFUSALS[2]);
    check(&response(ReplicaAnswer::Refused(StoreRefusal::SealedFor { next: set(2) })), REFUSALS[3]);
    check(&response(ReplicaAnswer::Refused(StoreRefusal::HigherBallot { promised: ballot() })), REFUSALS[4]);
    check(&response(ReplicaAnswer::Refused(StoreRefusal::DiskFull)), REFUSALS[5]);
    check(&response(ReplicaAnswer::Refused(StoreRefusal::OutOfOrder)), REFUSALS[6]);
    check(&response(ReplicaAnswer::Refused(StoreRefusal::Damaged)), REFUSALS[7]);
}

#[test]
fn stored_shard_state_keeps_its_bytes() {
    let progress = CopyProgress {
        transfer: TransferId("t/1".to_owned()),
        sources: vec![SourceProgress { store: StoreId::new("s2"), next: 3 }],
    };
    let record = |phase| GroupRecord {
        set: set(1),
        phase,
        position: position(),
        accepted: AcceptedRange { from: LogIndex(3), through: LogIndex(9) },
        transfers: vec![progress.clone()],
    };
    check(&record(GroupPhase::Active), STORED[0]);
    check(&record(GroupPhase::Sealed { next: set(2) }), STORED[1]);
    check(&record(GroupPhase::Joining), STORED[2]);
    check(&claim_record(), STORED[3]);
    check(&entries(), STORED[4]);
}

#[test]
fn datagrams_of_the_member_list_keep_their_bytes() {
    let info = MemberInfo {
        node: NodeId::new("n1"),
        zone: ZoneName::new("z"),
        address: "10.0.0.1:7946".parse().expect("an address"),
        attributes: 5,
    };
    let incarnation = Incarnation(1_700_000_000_002);
    let about = |state| Update { node: NodeId::new("n2"), incarnation, state };
    let updates = vec![
        Update::alive(&info, incarnation),
        about(ClaimedState::Suspect),
        about(ClaimedState::Failed),
        about(ClaimedState::Left),
    ];
    let target = NodeId::new("n2");
    let bodies = vec![
        (Body::Ping { target: target.clone() }, DATAGRAMS[0]),
        (Body::Acknowledge, DATAGRAMS[1]),
        (Body::PingRequest { target: target.clone(), address: info.address.into() }, DATAGRAMS[2]),
        (Body::ForwardedAcknowledge, DATAGRAMS[3]),
        (Body::ListRequest { after: Some(target.clone()) }, DATAGRAMS[4]),
        (Body::ListPage { entries: updates.clone(), next: Some(target) }, DATAGRAMS[5]),
        (Body::Digest { buckets: vec![1, 2] }, DATAGRAMS[6]),
        (Body::Buckets { indexes: vec![3], entries: updates.clone(), exchange: true }, DATAGRAMS[7]),
        (Body::Notice, DATAGRAMS[8]),
    ];
    for (body, expected) in bodies {
        let document = DocumentRevision { document: "configuration".to_owned(), revision: Revision(12) };
        let mut message = Message::new(NodeId::new("n1"), 99, body, vec![document]);
        message.updates.clone_from(&updates);
        check(&message, expected);
    }
}

#[test]
fn records_of_batch_jobs_keep_their_bytes() {
    let scorer = ScoreRequest {
        id: "score-1".to_owned(),
        host: "score.example".to_owned(),
        path: "/score".to_owned(),
        body: b"{}".to_vec(),
    };
    let item = BatchItem {
        id: "i1".to_owned(),
        path: "/v1/completions".to_owned(),
        headers: vec![("x-key".to_owned(), "value".to_owned())],
        body: b"{\"n\":1}".to_vec(),
        tokens: 8,
        expected_tokens: Some(4),
        group: Some("g".to_owned()),
        model: Some("m".to_owned()),
        scorer: Some(scorer),
    };
    let batch = BatchId::new("b1");
    let job = BatchJob {
        id: batch.clone(),
        route: "r".to_owned(),
        host: "batch.example".to_owned(),
        tenant: Some(TenantName::new("t")),
        step: Some(3),
        min_version: 2,
        desired_groups: Some(1),
        items: vec![item],
    };
    let events = vec![OutputEvent { number: 1, version: 2, data: "token".to_owned() }];
    let result = ItemResult::complete(0, &events, Some("0.5".to_owned()));
    let counts = vec![WindowCount { window: WindowNumber(11), tenant: TenantName::new("t"), requests: 6 }];
    check(&Record::Accepted(job), BATCH_RECORDS[0]);
    check(&Record::Progress { batch: batch.clone(), item: 0, events: events.clone() }, BATCH_RECORDS[1]);
    check(&Record::Failed { batch: batch.clone(), item: 0, failures: 1 }, BATCH_RECORDS[2]);
    check(&Record::Listed { batch: batch.clone(), result }, BATCH_RECORDS[3]);
    check(&Record::Ended(batch.clone()), BATCH_RECORDS[4]);
    check(&Record::Dropped(batch.clone()), BATCH_RECORDS[5]);
    check(&Record::Completed { batch: batch.clone(), item: 0, events: events.clone() }, BATCH_RECORDS[6]);
    check(&Record::Clock(60_000), BATCH_RECORDS[7]);
    check(&Record::Generated { batch: batch.clone(), item: 0, events, replaces: true }, BATCH_RECORDS[8]);
    check(&Record::ScoreFailed { batch: batch.clone(), item: 0, failures: 2 }, BATCH_RECORDS[9]);
    check(&Record::Scored { batch, item: 0, score: "0.5".to_owned() }, BATCH_RECORDS[10]);
    check(
        &Record::Ordered { replica: "p1".to_owned(), holder: NodeId::new("n1"), at_ms: 5 },
        BATCH_RECORDS[11],
    );
    check(&Record::UsageCounted { source: "n1/2".to_owned(), through: 9, counts }, BATCH_RECORDS[12]);
    check(&Record::UsageClosed(WindowNumber(10)), BATCH_RECORDS[13]);
    check(&Record::UsageDelivered(WindowNumber(9)), BATCH_RECORDS[14]);
    check(&Record::Scaled { service: "s".to_owned(), zone: "z".to_owned(), desired: 4 }, BATCH_RECORDS[15]);
}

#[test]
fn records_of_rollout_jobs_keep_their_bytes() {
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
    check(&JobRecord::Submitted(specification), ROLLOUT_RECORDS[0]);
    check(&JobRecord::CursorMoved { cursor: 4, trainer_version: WeightVersion(2) }, ROLLOUT_RECORDS[1]);
    check(&JobRecord::BatchVoided, ROLLOUT_RECORDS[2]);
    check(&JobRecord::Barrier, ROLLOUT_RECORDS[3]);
}
