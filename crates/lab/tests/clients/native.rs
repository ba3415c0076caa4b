//! A node of the project's own interface as a process, with an engine.

use std::net::SocketAddr;

use lichenpulley_protocol::caller::CompletionRequest;
use tempfile::TempDir;

use super::usage::MemoryWatch;
use super::{MEMORY_BYTES, MEMORY_MB};
use crate::processes::system::{POOL, complete, completion};
use crate::processes::{Process, wait_for};

const ANY_PORT: &str = "127.0.0.1:0";

pub struct NativeNode {
    pub node: Process,
    memory: MemoryWatch,
    _others: Vec<Process>,
    _folder: TempDir,
}

impl NativeNode {
    pub async fn start() -> Self {
        let folder = TempDir::new().expect("a folder");
        let at = folder.path();
        let words = |line: &str| -> Vec<String> { line.split_whitespace().map(str::to_owned).collect() };
        let mut others = Vec::new();
        for part in ["object-api", "machine-list", "weight-store", "scorer"] {
            others.push(Process::start(at, part, "lichenpulley-lab", &words(part)).await);
        }
        let [object_api, machine_list, weight_store, scorer] = [0, 1, 2, 3].map(|part| {
            let part: &Process = &others[part];
            part.address("http")
        });
        let engine = format!(
            "engine --replica {POOL}-0 --pool {POOL} --zone zone-a --weight-version 1 --capacity 64 \
             --weight-store {weight_store} --machine-list {machine_list}"
        );
        others.push(Process::start(at, "engine", "lichenpulley-lab", &words(&engine)).await);
        let node = format!(
            "--node node-0 --zone zone-a --role gateway --role coordinator --role store --data-folder {} \
             --callers {ANY_PORT} --operators {ANY_PORT} --peers {ANY_PORT} --object-api {object_api} \
             --machine-list {machine_list} --weight-store {weight_store} --scorer {scorer} \
             --set machine.memory_mb={MEMORY_MB} --set gateway.traffic_threads=1",
            at.join("node.data").display()
        );
        let node = Process::start(at, "node", "lichenpulleyd", &words(&node)).await;
        let memory = MemoryWatch::start(node.id(), node.address("callers"));
        let native = Self { node, memory, _others: others, _folder: folder };
        wait_for("the node serves", || async { native.ordinary_request().await }).await;
        native
    }

    pub fn callers(&self) -> SocketAddr {
        self.node.address("callers")
    }

    pub async fn ordinary_request(&self) -> Option<()> {
        let request = CompletionRequest { max_tokens: 4, ..completion(1) };
        complete(self.callers(), &request).await.ok().map(|_| ())
    }

    /// Asserts that the node lives within its machine, and that ordinary callers are served.
    pub async fn assert_bears(&mut self, when: &str) {
        self.assert_within_machine(when);
        let mut is_answered = false;
        for _ in 0..3 {
            is_answered = is_answered || self.ordinary_request().await.is_some();
        }
        assert!(is_answered, "{when}: an ordinary request got no answer");
        self.assert_within_machine(when);
    }

    fn assert_within_machine(&mut self, when: &str) {
        let peak = self.memory.peak_bytes();
        println!("{when}: a peak of {} MB", peak / 1_000_000);
        assert!(self.node.is_running(), "{when}: the node has ended");
        assert!(peak <= MEMORY_BYTES, "{when}: {peak} bytes on a machine of {MEMORY_BYTES}");
    }
}
