//! In what one system of the tests differs from others, and the configuration that all begin with.

use std::time::Duration;

use bytes::Bytes;
use lichenpulley_core::ingress::places::ZoneMap;
use lichenpulley_lab::platform_duties::PlatformDuties;
use serde_json::{Value, json};

/// In what a system differs from others.
pub(crate) struct SystemPlan {
    pub(crate) tolerated_losses: usize,
    /// Where other than these losses ask for.
    pub(crate) stores: Option<usize>,
    pub(crate) lapse_grace: Duration,
    /// When the node that would own next begins to follow the log.
    pub(crate) follow_after: Duration,
    /// Where the platform takes duties, in windows of a second.
    pub(crate) duties: Option<PlatformDuties>,
    /// Which region each zone lies in.
    pub(crate) zones: ZoneMap,
    /// The body of requests under which replicas end.
    pub(crate) crash_on_body: Option<Bytes>,
    /// Whether replicas that have ended start again under their ids.
    pub(crate) keeps_ids: bool,
    /// Memory of each machine, where it differs from the default.
    pub(crate) memory_bytes: Option<usize>,
    /// Size of each store.
    pub(crate) store_capacity_bytes: u64,
}

impl Default for SystemPlan {
    fn default() -> Self {
        Self {
            tolerated_losses: 1,
            stores: None,
            lapse_grace: Duration::from_secs(2),
            follow_after: Duration::ZERO,
            duties: None,
            zones: ZoneMap::default(),
            crash_on_body: None,
            keeps_ids: false,
            memory_bytes: None,
            store_capacity_bytes: 1 << 30,
        }
    }
}

pub(crate) fn configuration(version: u64) -> Value {
    let route = |name: &str, prefix: &str, kind: &str| {
        json!({"name": name, "host": "shop.example", "path_prefix": prefix, "kind": kind, "timeout_ms": 5_000,
            "target_ms": 300, "service": "engines", "max_attempts": 3, "resumable": kind != "non_idempotent",
            "max_queue_s": 40.0, "due_ms": 7_500})
    };
    json!({
        "version": version,
        "routes": [route("read", "/read/", "idempotent"), route("write", "/write/", "non_idempotent"),
            route("chat", "/stream/", "streaming"), route("rollouts", "/rollouts/", "rollout")],
        "services": [{"name": "engines", "engine": {"slots": 4, "kv_cap_tokens": 100_000,
            "models": [{"name": "pricing"}]}}],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 2_000_000, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000},
    })
}

/// Adds a route like that of streams, below `/chat/`, whose streams can't be resumed.
pub(crate) fn add_stream_without_resumption(configuration: &mut Value) {
    let routes = configuration["routes"].as_array_mut().expect("routes");
    let mut once = routes[2].clone();
    once["name"] = json!("once");
    once["path_prefix"] = json!("/chat/");
    once["resumable"] = json!(false);
    routes.push(once);
}
