//! A node of the project's own interface as a process, with an engine.

use std::net::SocketAddr;

use lichenpulley_protocol::caller::CompletionRequest;

use super::MEMORY_MB;
use super::usage::MemoryWatch;
use crate::processes::Process;
use crate::processes::system::{System, complete, completion};

/// Tries of an ordinary caller.
const TRIES: usize = 3;

pub struct NativeNode {
    system: System,
    memory: MemoryWatch,
}

impl NativeNode {
    /// Starts a node on the smallest machine, with an engine that runs more streams than a crowd asks for.
    pub async fn start() -> Self {
        let mut system = System::without_nodes().await;
        let engine = system.start_engine_with(0, 1, "--capacity 64").await;
        system.engines.push(engine);
        let flags = format!("--set machine.memory_mb={MEMORY_MB} --set gateway.traffic_threads=1");
        let node = system.start_node_with(0, &flags).await;
        let memory = MemoryWatch::start(node.id(), node.address("callers"));
        system.nodes.push(node);
        system.wait_until_answered().await;
        Self { system, memory }
    }

    pub fn callers(&self) -> SocketAddr {
        self.system.nodes[0].address("callers")
    }

    async fn is_answered(&self) -> bool {
        let request = CompletionRequest { max_tokens: 4, ..completion(1) };
        complete(self.callers(), &request).await.is_ok()
    }

    /// Asserts that the node lives within its machine, and that ordinary callers are served.
    pub async fn assert_bears(&mut self, when: &str) {
        self.assert_within_machine(when);
        let mut is_answered = false;
        for _ in 0..TRIES {
            is_answered = is_answered || self.is_answered().await;
        }
        assert!(is_answered, "{when}: an ordinary request got no answer");
        self.assert_within_machine(when);
    }

    fn assert_within_machine(&mut self, when: &str) {
        assert!(self.system.nodes.iter_mut().all(Process::is_running), "{when}: the node has ended");
        self.memory.assert_within_machine(when);
    }
}
