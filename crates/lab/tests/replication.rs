//! Logs and claims kept by real nodes on real disks, with a stand-in for the object API.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use lichenpulley_core::identity::{AttemptId, NodeId, RequestId, ShardId};
use lichenpulley_core::replication::placement::ToleranceTarget;
use lichenpulley_core::replication::replica_set::{ReplicaSet, ReplicaSetDocument, StoreId};
use lichenpulley_daemon::cluster::Roles;
use lichenpulley_daemon::configuration::platform::WriteError;
use lichenpulley_daemon::context::Context;
use lichenpulley_daemon::decisions::unix_milliseconds;
use lichenpulley_daemon::node::Node;
use lichenpulley_daemon::settings::Settings;
use lichenpulley_daemon::store::claims::{ClaimOutcome, claim};
use lichenpulley_daemon::store::reconfiguration::{self, ReconfigurationError};
use lichenpulley_daemon::store::replica_sets::{self, ReplicaSetError};
use lichenpulley_daemon::store::shard_log::{ShardLog, ShardLogError};
use lichenpulley_lab::http::ANY_PORT;
use lichenpulley_lab::object_api::{self, ObjectApi, ObjectApiFaults};
use tempfile::TempDir;

/// Bounds a test that would fail anyway.
const PATIENCE: Duration = Duration::from_secs(60);
/// Of no kind that coordinators run: the test itself owns it, and no node is to take it over.
const SHARD: &str = "test/pricing";
const ZONES: [&str; 3] = ["sando-hall", "couva-room", "pointe-rack"];

/// Nodes with the store role, each with a folder of its own.
struct Cluster {
    api: Option<ObjectApi>,
    nodes: Vec<Option<Node>>,
    settings: Vec<Settings>,
    folders: Vec<TempDir>,
}

impl Cluster {
    async fn start(size: usize) -> Self {
        Self::start_tolerating(size, ToleranceTarget::default()).await
    }

    async fn start_tolerating(size: usize, set_size: ToleranceTarget) -> Self {
        let api = object_api::start(ANY_PORT).await.expect("an object API");
        let mut cluster = Self { nodes: Vec::new(), settings: Vec::new(), folders: Vec::new(), api: None };
        for number in 0..size {
            let folder = TempDir::new().expect("a folder");
            let mut settings = Settings::on_loopback(&format!("node-{number}"), ZONES[number % ZONES.len()]);
            settings.roles = Roles { gateway: false, coordinator: true, store: true };
            settings.data_folder = Some(folder.path().join("store"));
            settings.platform.object_api = Some(api.address);
            settings.store.call_timeout = Duration::from_secs(2);
            settings.store.set_size = set_size;
            settings.store.small_set_after = Duration::ZERO;
            settings.membership.probe_interval = Duration::from_millis(200);
            settings.membership.probe_timeout = Duration::from_millis(100);
            settings.peers.seeds = cluster.seeds();
            cluster.nodes.push(Some(Node::start(settings.clone()).await.expect("a node")));
            cluster.settings.push(settings);
            cluster.folders.push(folder);
        }
        cluster.api = Some(api);
        cluster.members_agree().await;
        cluster
    }

    /// Where a node finds the others: at any that lives.
    fn seeds(&self) -> Vec<SocketAddr> {
        self.nodes.iter().flatten().map(|node| node.addresses().peers).take(1).collect()
    }

    /// Waits until every living node sees all living nodes and no other.
    async fn members_agree(&self) {
        let living: BTreeSet<NodeId> =
            self.nodes.iter().flatten().map(|node| node.context().node.clone()).collect();
        let agrees = |node: &Node| {
            let view = node.context().cluster.load();
            living == view.members.iter().map(|member| member.node.clone()).collect()
        };
        let all_agree = async {
            while !self.nodes.iter().flatten().all(agrees) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(PATIENCE, all_agree).await.expect("the members agree");
    }

    fn context(&self, number: usize) -> &Context {
        self.nodes[number].as_ref().expect("a living node").context()
    }

    async fn kill(&mut self, number: usize) {
        let node = self.nodes[number].take().expect("a living node");
        node.kill();
        node.stopped().await;
        self.members_agree().await;
    }

    async fn restart(&mut self, number: usize) {
        let mut settings = self.settings[number].clone();
        settings.peers.seeds = self.seeds();
        self.nodes[number] = Some(start_when_free(settings).await);
        self.members_agree().await;
    }

    async fn replace_disk(&mut self, number: usize) {
        self.kill(number).await;
        let folder = TempDir::new().expect("a folder");
        self.settings[number].data_folder = Some(folder.path().join("store"));
        self.folders.push(folder);
        self.restart(number).await;
    }
}

/// The killed node's thread may hold the file a moment longer.
async fn start_when_free(settings: Settings) -> Node {
    for _ in 0..500 {
        if let Ok(node) = Node::start(settings.clone()).await {
            return node;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the folder stays in use");
}

fn records(texts: &[&str]) -> Vec<Vec<u8>> {
    texts.iter().map(|text| text.as_bytes().to_vec()).collect()
}

#[tokio::test]
async fn what_was_appended_survives_its_owner() {
    let cluster = Cluster::start(3).await;
    let shard = ShardId::new(SHARD);
    let (mut first, recovered) = ShardLog::take_over(cluster.context(0), &shard).await.expect("taken over");
    assert!(recovered.records.is_empty());
    first.append(records(&["a", "b"])).await.expect("appended");

    let (mut second, recovered) = ShardLog::take_over(cluster.context(1), &shard).await.expect("taken over");
    assert_eq!(recovered.records, records(&["a", "b"]));
    assert!(second.epoch() > first.epoch());
    let refused = first.append(records(&["late"])).await;
    assert!(matches!(refused, Err(ShardLogError::Superseded { .. })), "{refused:?}");
    second.append(records(&["c"])).await.expect("appended");

    second.compact(b"a+b+c".to_vec(), |_| {}).await.expect("compacted");
    second.append(records(&["d"])).await.expect("appended");
    let (_, recovered) = ShardLog::take_over(cluster.context(2), &shard).await.expect("taken over");
    assert_eq!(recovered.snapshot.as_deref(), Some(b"a+b+c".as_slice()));
    assert_eq!(recovered.records, records(&["d"]));
}

#[tokio::test]
async fn a_take_over_needs_no_platform_and_only_a_majority() {
    let mut cluster = Cluster::start(4).await;
    let shard = ShardId::new(SHARD);
    let (mut log, _) = ShardLog::take_over(cluster.context(0), &shard).await.expect("taken over");
    log.append(records(&["kept"])).await.expect("appended");
    cluster.api = None;
    let set = cluster.context(0).replica_sets.get(&shard).expect("a replica set");
    let is_member = |number: usize| {
        let node = &cluster.settings[number].node;
        set.members.iter().any(|member| &member.node == node)
    };
    let members: Vec<usize> = (0..4).filter(|number| is_member(*number)).collect();
    let outsider = (0..4).find(|number| !is_member(*number)).expect("one node is no member");
    cluster.kill(members[0]).await;

    // A node that never met the shard finds its replicas through the stores.
    let (_, recovered) = ShardLog::take_over(cluster.context(outsider), &shard).await.expect("taken over");
    assert_eq!(recovered.records, records(&["kept"]));
}

#[tokio::test]
async fn a_store_comes_back_with_what_it_had() {
    let mut cluster = Cluster::start(3).await;
    let shard = ShardId::new(SHARD);
    let (mut log, _) = ShardLog::take_over(cluster.context(0), &shard).await.expect("taken over");
    log.append(records(&["kept"])).await.expect("appended");
    for number in 0..3 {
        cluster.kill(number).await;
    }
    for number in 0..3 {
        cluster.restart(number).await;
    }
    let (_, recovered) = ShardLog::take_over(cluster.context(1), &shard).await.expect("taken over");
    assert_eq!(recovered.records, records(&["kept"]));
}

/// Replaces a member. The stores finish a change that they meet halfway by themselves: then they win the write of the
/// document, and the leaving store is no member any more.
async fn replace_member(context: &Context, shard: &ShardId, leaving: &StoreId) {
    let replaced = async {
        loop {
            match reconfiguration::replace(context, shard, leaving, "test").await {
                Ok(next) => return assert!(next.member(leaving).is_none()),
                Err(ReconfigurationError::NotAMember(store)) => return assert_eq!(&store, leaving),
                Err(ReconfigurationError::Document(ReplicaSetError::Write(WriteError::Conflict {
                    ..
                }))) => {}
                Err(error) => panic!("not replaced: {error}"),
            }
        }
    };
    tokio::time::timeout(PATIENCE, replaced).await.expect("the store is replaced in time");
}

#[tokio::test]
async fn a_claim_is_granted_to_one_attempt() {
    let mut cluster = Cluster::start(3).await;
    let request = RequestId::new("ticket-7");
    let issued_at = unix_milliseconds();
    let (one, other) = (AttemptId::new("one"), AttemptId::new("other"));
    let granted = claim(cluster.context(0), &request, issued_at, &one).await;
    assert_eq!(granted, ClaimOutcome::Granted);
    assert_eq!(claim(cluster.context(0), &request, issued_at, &one).await, ClaimOutcome::Granted);
    assert_eq!(claim(cluster.context(1), &request, issued_at, &other).await, ClaimOutcome::Held);
    let old = claim(cluster.context(1), &RequestId::new("ticket-1"), 1_000, &other).await;
    assert_eq!(old, ClaimOutcome::Expired);

    // Every disk but one is lost, one after the other, and replaced by way of the replica set.
    for number in [1, 2] {
        let shard = lichenpulley_daemon::store::claims::claim_shard(&request);
        let set = cluster.context(0).replica_sets.get(&shard).expect("a replica set");
        let lost = set.members.iter().find(|member| member.node == cluster.settings[number].node);
        let lost = lost.expect("a member").store.clone();
        cluster.replace_disk(number).await;
        replace_member(cluster.context(0), &shard, &lost).await;
        assert_eq!(claim(cluster.context(number), &request, issued_at, &other).await, ClaimOutcome::Held);
    }
    assert_eq!(claim(cluster.context(2), &request, issued_at, &one).await, ClaimOutcome::Granted);
}

#[tokio::test]
async fn a_replaced_store_keeps_the_log() {
    let mut cluster = Cluster::start(4).await;
    let shard = ShardId::new(SHARD);
    let (mut log, _) = ShardLog::take_over(cluster.context(0), &shard).await.expect("taken over");
    log.append(records(&["kept"])).await.expect("appended");
    let set = cluster.context(0).replica_sets.get(&shard).expect("a replica set");
    for leaving in &set.members {
        replace_member(cluster.context(0), &shard, &leaving.store).await;
        // The owner that worked with the old set is told, and takes over in the next one.
        let refused = log.append(records(&["not now"])).await;
        assert!(refused.is_err());
        let (again, recovered) = ShardLog::take_over(cluster.context(1), &shard).await.expect("taken over");
        assert_eq!(recovered.records, records(&["kept"]));
        assert!(again.set().member(&leaving.store).is_none());
        log = again;
    }
    let numbers: Vec<usize> = (0..4).collect();
    for number in numbers {
        let node = cluster.settings[number].node.clone();
        let set = cluster.context(1).replica_sets.get(&shard).expect("a replica set");
        if set.members.iter().any(|member| member.node == node) && number != 1 {
            cluster.kill(number).await;
            break;
        }
    }
    let (_, recovered) = ShardLog::take_over(cluster.context(1), &shard).await.expect("taken over");
    assert_eq!(recovered.records, records(&["kept"]));
}

/// The replacement wrote that the next set is current, and its answer was lost; or a store that finished the change wrote it first, and
/// the replacement got a conflict. Either way an operator was told that a replacement failed which had happened.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_replacement_that_is_done_is_reported_as_done_whoever_wrote_its_document() {
    let cluster = Cluster::start(4).await;
    let shard = ShardId::new(SHARD);
    drop(ShardLog::take_over(cluster.context(0), &shard).await.expect("taken over"));
    for round in 0..8 {
        let set = replica_sets::find(cluster.context(0), &shard).await.expect("a replica set");
        let leaving = set.members[round % set.members.len()].store.clone();
        let others_finish = async {
            let pending = until_pending(&cluster).await;
            if round % 2 == 0 {
                let api = cluster.api.as_ref().expect("an object API");
                api.set_faults(ObjectApiFaults { down: false, lose_next_replies: 1 });
                return;
            }
            let finish = |number| reconfiguration::complete(cluster.context(number), &set, &pending);
            // Whether one of them comes too late for the change is no matter here.
            let _ = tokio::join!(finish(1), finish(2), finish(3));
        };
        let replace = reconfiguration::replace(cluster.context(0), &shard, &leaving, "test");
        let (replaced, ()) = tokio::join!(replace, others_finish);
        let next = replaced.unwrap_or_else(|error| panic!("round {round}: {error}"));
        assert!(next.member(&leaving).is_none());
        cluster.context(0).replica_sets.remove(&shard);
    }
}

/// The next set of a change that is under way.
async fn until_pending(cluster: &Cluster) -> ReplicaSet {
    let document = || {
        let objects = cluster.api.as_ref().expect("an object API").objects();
        let object = objects.get(&format!("replica-sets/{SHARD}"))?.value.clone();
        serde_json::from_value::<ReplicaSetDocument>(object).ok()?.pending
    };
    let pending = async {
        loop {
            if let Some(pending) = document() {
                return pending;
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(PATIENCE, pending).await.expect("a change begins")
}

#[tokio::test]
async fn a_store_that_lost_its_disk_is_replaced_without_an_operator() {
    let mut cluster = Cluster::start(3).await;
    let shard = ShardId::new(SHARD);
    let (mut log, _) = ShardLog::take_over(cluster.context(0), &shard).await.expect("taken over");
    log.append(records(&["kept"])).await.expect("appended");
    cluster.replace_disk(2).await;
    let document = || {
        let objects = cluster.api.as_ref().expect("an object API").objects();
        objects.get(&format!("replica-sets/{SHARD}")).map(|object| object.value.clone())
    };
    let is_replaced = || {
        let document = document().expect("a replica set");
        document["current"]["generation"] == 2 && document.get("pending").is_none()
    };
    let replaced = async {
        while !is_replaced() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(PATIENCE, replaced).await.expect("the member is replaced");
    cluster.kill(1).await;
    let (_, recovered) = ShardLog::take_over(cluster.context(2), &shard).await.expect("taken over");
    assert_eq!(recovered.records, records(&["kept"]));
}

#[tokio::test]
async fn a_set_that_was_made_of_three_stores_grows_without_an_operator() {
    let mut cluster = Cluster::start_tolerating(5, ToleranceTarget::tolerating(2)).await;
    let shard = ShardId::new(SHARD);
    for number in 3..5 {
        cluster.kill(number).await;
    }
    let (mut log, _) = ShardLog::take_over(cluster.context(0), &shard).await.expect("a take-over");
    log.append(records(&["before"])).await.expect("a majority of three");
    assert_eq!(log.set().members.len(), 3);
    drop(log);
    for number in 3..5 {
        cluster.restart(number).await;
    }
    let grown = async {
        while cluster.context(0).replica_sets.get(&shard).is_none_or(|set| set.members.len() < 5) {
            tokio::time::sleep(Duration::from_millis(50)).await;
            cluster.context(0).replica_sets.remove(&shard);
            let _ = replica_sets::find(cluster.context(0), &shard).await;
        }
    };
    tokio::time::timeout(PATIENCE, grown).await.expect("five members");
    for number in 0..2 {
        cluster.kill(number).await;
    }
    let (_, recovered) = ShardLog::take_over(cluster.context(4), &shard).await.expect("three of five");
    assert_eq!(recovered.records, records(&["before"]));
}
