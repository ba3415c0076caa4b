//! Routes bound to regions over real nodes and sockets, in two regions: what replicas and stores see, and what is refused.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use hyper::{Method, StatusCode};
use lichenpulley_core::identity::RegionName;
use lichenpulley_core::ingress::places::ZoneMap;
use lichenpulley_lab::platform_replica::{Replica, ReplicaBehaviour};
use lichenpulley_platform::objects;
use lichenpulley_protocol::operator::{BatchShardStatus, RegionRefusals, RegionsDocument};
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::platform_system::{Answer, PATIENCE, System, configuration};

/// The region of the zones of gateways 0 and 1, replicas 0 and 1, and stores 0, 1, 3 and 4.
const WEST: &str = "selangor";
/// The region of the zone of gateway 2, replica 2, and store 2: too few for a log.
const EAST: &str = "melaka";
/// A body that no store holds by chance.
const MARK: &str = "a body that stays in its region";

fn zones() -> ZoneMap {
    let zones = [("kajang", WEST), ("shah-alam", WEST), ("ampang", EAST)];
    ZoneMap::new(zones.map(|(zone, region)| (zone.to_owned(), RegionName::new(region))).into())
}

/// The configuration of all tests with these allowed regions of its routes, and two batch routes more.
fn bound(version: u64, regions: &BTreeMap<&str, Vec<&str>>) -> Value {
    let mut configuration = configuration(version);
    let routes = configuration["routes"].as_array_mut().expect("routes");
    for (name, prefix) in [("far", "/far/"), ("apart", "/apart/")] {
        let mut route = routes[3].clone();
        (route["name"], route["path_prefix"]) = (json!(name), json!(prefix));
        routes.push(route);
    }
    for route in routes {
        let name = route["name"].as_str().expect("a name");
        if let Some(regions) = regions.get(name) {
            route["allowed_regions"] = json!(regions);
        }
    }
    configuration
}

/// Two regions of which the one has four stores and two gateways, the other one store and one gateway.
pub(crate) async fn start(events: u64) -> System {
    let mut system = System::in_regions(zones(), 3, events).await;
    for number in 3..5 {
        system.folders.push(TempDir::new().expect("a folder"));
        system.start_store(number).await;
    }
    system.start_gateway(2).await;
    let regions = [
        ("read", vec![EAST]),
        ("write", vec!["atlantis"]),
        ("chat", vec![WEST]),
        ("rollouts", vec![WEST]),
        ("far", vec![EAST]),
        ("apart", vec!["atlantis"]),
    ];
    let spec = bound(2, &regions.into());
    system.platform.put(objects::CONFIGURATION, objects::CONFIGURATION_NAME, spec);
    let in_force = async {
        for gateway in system.gateways.iter().flatten() {
            let version = || gateway.context().metadata.routes.load().as_ref().map(|table| table.version);
            let members = || gateway.context().cluster.load().members.len();
            while version() != Some(2) || members() < 8 {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    };
    tokio::time::timeout(PATIENCE, in_force)
        .await
        .expect("the configuration is in force and all nodes are seen");
    system
}

fn seen_by(replica: &Replica, prefix: &str) -> usize {
    replica.seen().iter().filter(|seen| seen.id.starts_with(prefix)).count()
}

#[tokio::test]
async fn plain_requests_and_streams_reach_replicas_in_allowed_regions_alone() {
    let system = start(6).await;
    for gateway in 0..3 {
        system.call_until(StatusCode::OK, gateway, "/read/x").await;
    }
    for replica in &system.replicas[..2] {
        replica.set_behaviour(ReplicaBehaviour::BreaksAfter(1));
    }
    for number in 0..12 {
        let (read, chat) = (format!("read-{number}"), format!("chat-{number}"));
        let served = system.call(number % 3, Method::POST, "/read/x", &[("attempt-id", &read)], "x").await;
        assert_eq!(served.status, StatusCode::OK);
        // A stream that breaks is taken up in its region; where that can't be, not at all.
        let fields = [("attempt-id", chat.as_str())];
        let request = system.request(number % 3, Method::POST, "/stream/x", &fields, "x".into());
        let limit = tokio::time::Instant::now() + PATIENCE;
        let begun = system.http.send(system.gateway(number % 3), request, limit).await.expect("a head");
        drop(http_body_util::BodyExt::collect(begun.into_body()).await);
    }
    let counts = |prefix| system.replicas.iter().map(|replica| seen_by(replica, prefix)).collect::<Vec<_>>();
    assert_eq!(counts("read-"), [0, 0, 12]);
    let chats = counts("chat-");
    assert!(chats[0] >= 12 && chats[1] >= 12 && chats[2] == 0, "{chats:?}");
}

/// Whether a file below a folder holds some bytes.
fn holds(folder: &Path, bytes: &[u8]) -> bool {
    let entries = std::fs::read_dir(folder).expect("a folder").map(|entry| entry.expect("an entry").path());
    entries.into_iter().any(|path| match path.is_dir() {
        true => holds(&path, bytes),
        false => std::fs::read(&path).is_ok_and(|text| text.windows(bytes.len()).any(|part| part == bytes)),
    })
}

async fn regions(system: &System, gateway: usize) -> RegionsDocument {
    let operators = system.gateways[gateway].as_ref().expect("a gateway").addresses().operators;
    let document = system.http.get_bytes(operators, "/v1/regions", PATIENCE).await.expect("the regions");
    serde_json::from_slice(&document).expect("a document")
}

/// The gateway that owns the jobs of the western region, by the stores' word, and the stores that keep them.
async fn western_shard(system: &System) -> (usize, Vec<String>) {
    let document = regions(system, 2).await;
    let shard = document.shards.into_iter().find(|shard| shard.regions == WEST).expect("a shard");
    let owner = shard.owner.expect("an owner");
    let owner = owner.as_str().strip_prefix("gateway-").and_then(|number| number.parse().ok());
    (owner.expect("a gateway"), shard.stores.iter().map(ToString::to_string).collect())
}

#[tokio::test]
async fn a_job_is_run_and_kept_in_its_regions_also_when_its_owner_is_killed() {
    let mut system = start(60).await;
    let body = "YSBib2R5IHRoYXQgc3RheXMgaW4gaXRzIHJlZ2lvbg==";
    // The caller is connected in the other region.
    system.submit_bodies(2, "job", 12, 1, body).await;
    let first = tokio::time::timeout(PATIENCE, async {
        while system.replicas.iter().all(|replica| seen_by(replica, "job-") == 0) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    first.await.expect("items run");
    let (owner, stores) = western_shard(&system).await;
    assert!(owner < 2, "the owner stands in the region");
    assert!(stores.len() == 3 && !stores.contains(&"store-2".to_owned()), "{stores:?}");
    system.gateways[owner].take().expect("the owner").kill();
    for gateway in [2, 1 - owner] {
        let results = system.results(gateway, "job").await;
        assert_eq!(results.len(), 12);
        assert!(results.iter().all(|result| result["state"] == "complete"));
    }
    let item = system.call(2, Method::GET, "/-/items/job?id=job-3", &[], "").await;
    assert_eq!((item.status, item.body.as_ref()), (StatusCode::OK, MARK.as_bytes()));
    let items: Vec<usize> = system.replicas.iter().map(|replica| seen_by(replica, "job-")).collect();
    assert!(items[0] + items[1] >= 12 && items[2] == 0, "{items:?}");
    let keepers: Vec<usize> =
        (0..5).filter(|store| holds(system.folders[*store].path(), MARK.as_bytes())).collect();
    assert!(keepers.len() >= 2 && !keepers.contains(&2), "{keepers:?}");
    let ended = system.call(2, Method::DELETE, "/-/lots/job", &[], "").await;
    assert_eq!(ended.status, StatusCode::OK);
    assert_eq!(system.call(2, Method::GET, "/-/lots/nothing", &[], "").await.status, StatusCode::NOT_FOUND);
}

/// What a refusal says, with its status and whether it names a time.
fn refusal(answer: &Answer) -> (StatusCode, bool, String, String) {
    let body = answer.json();
    let text = |field: &str| body[field].as_str().unwrap_or_default().to_owned();
    (answer.status, answer.headers.contains_key("retry-after"), text("kind"), text("message"))
}

#[tokio::test]
async fn what_no_allowed_region_can_serve_or_keep_is_refused_at_once_by_name() {
    let system = start(3).await;
    system.call_until(StatusCode::OK, 0, "/read/x").await;
    let job = json!({"items": [{"id": "i", "path": "/stream/x"}]}).to_string();
    for (path, body, kind, regions) in [
        ("/write/x", "x", "outside_regions", "atlantis"),
        ("/apart/x", job.as_str(), "outside_regions", "atlantis"),
        ("/far/x", job.as_str(), "no_place_in_regions", EAST),
    ] {
        let fields = [("attempt-id", "refused")];
        let answer = system.call(0, Method::POST, path, &fields, body.to_owned()).await;
        let (status, has_time, told, message) = refusal(&answer);
        assert_eq!(
            (status, has_time, told.as_str()),
            (StatusCode::SERVICE_UNAVAILABLE, true, kind),
            "{path}"
        );
        assert!(message.contains(regions), "{message}");
    }
    assert!(system.replicas.iter().all(|replica| seen_by(replica, "refused") == 0));
    let document = regions(&system, 0).await;
    let east = document.regions.iter().find(|status| status.region == EAST).expect("a region");
    assert_eq!((east.nodes, east.coordinators, east.stores, east.replicas), (2, 1, 1, 1));
    let lacks = |shard: &&BatchShardStatus| shard.regions == EAST && shard.shortage.is_some();
    assert!(document.shards.iter().any(|shard| lacks(&shard)), "{:?}", document.shards);
    let refused = |status: &RegionRefusals| (status.regions.clone(), status.reason.clone(), status.count);
    let refusals: Vec<_> = document.refusals.iter().map(refused).collect();
    assert!(refusals.contains(&(EAST.to_owned(), "no_place_in_regions".to_owned(), 1)), "{refusals:?}");
    // A tenant and a route that have no region in common.
    let mut apart = bound(3, &[("read", vec![EAST])].into());
    apart["tenants"] = json!([{"name": "anna", "api_keys": ["key"], "allowed_regions": [WEST]}]);
    system.platform.put(objects::CONFIGURATION, objects::CONFIGURATION_NAME, apart);
    system.call_until(StatusCode::UNAUTHORIZED, 0, "/read/x").await;
    let fields = [("attempt-id", "refused"), ("authorization", "Bearer key")];
    let answer = system.call(0, Method::POST, "/read/x", &fields, "x").await;
    assert_eq!(refusal(&answer).2, "outside_regions");
    assert_eq!(system.call(0, Method::POST, "/write/x", &fields, "x").await.status, StatusCode::OK);
    let runs: Vec<usize> = system.replicas.iter().map(|replica| seen_by(replica, "refused")).collect();
    assert!(runs[0] + runs[1] == 1 && runs[2] == 0, "{runs:?}");
}
