//! Runs a `lichenpulleyd` node as a child process.

use std::collections::BTreeMap;
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use crate::error::LabError;

/// Time limit for a process to write its addresses file.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between two polls of a process that starts or ends.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct NodePlan {
    /// Node name.
    pub name: String,
    /// Zone of the node.
    pub zone: String,
    /// Whether the node is a store; otherwise it is a gateway and coordinator.
    pub is_store: bool,
    /// Address of the platform's metadata store.
    pub platform: SocketAddr,
}

/// A node's process, which is killed on drop.
pub struct NodeProcess {
    /// Settings that the node was started with.
    pub plan: NodePlan,
    child: Child,
    addresses: BTreeMap<String, SocketAddr>,
}

impl NodeProcess {
    /// Starts a node and waits until it has written its addresses file.
    ///
    /// # Errors
    /// When a file can't be written, or the process can't be started, ends early or does not report its addresses in time.
    pub async fn spawn(
        binary: &Path,
        folder: &Path,
        plan: NodePlan,
        seeds: &[SocketAddr],
    ) -> Result<Self, LabError> {
        let path = |suffix: &str| folder.join(format!("{}.{suffix}", plan.name));
        let addresses_file = path("addresses");
        // The addresses of an earlier process of this name are stale.
        let _ = std::fs::remove_file(&addresses_file);
        let io_error = |source| LabError::Io {
            action: format!("start {}", binary.display()),
            remedy: "build it with `cargo build --workspace --bins`, and free some space",
            source,
        };
        std::fs::write(path("toml"), settings(&plan, &data_folder(folder, &plan.name), seeds))
            .map_err(io_error)?;
        let log = File::options().create(true).append(true).open(path("log")).map_err(io_error)?;
        let child = Command::new(binary)
            .arg("--settings")
            .arg(path("toml"))
            .arg("--addresses-file")
            .arg(&addresses_file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(io_error)?)
            .stderr(log)
            .spawn()
            .map_err(io_error)?;
        let mut node = Self { plan, child, addresses: BTreeMap::new() };
        node.addresses = node.read_addresses(&addresses_file).await?;
        Ok(node)
    }

    async fn read_addresses(&mut self, path: &Path) -> Result<BTreeMap<String, SocketAddr>, LabError> {
        let began = Instant::now();
        loop {
            let text = std::fs::read_to_string(path).ok();
            if let Some(addresses) = text.and_then(|text| serde_json::from_str(&text).ok()) {
                return Ok(addresses);
            }
            let has_ended = self.child.try_wait().is_ok_and(|status| status.is_some());
            if has_ended || began.elapsed() > START_TIMEOUT {
                let message = format!("{} did not report its addresses; see its log", self.plan.name);
                return Err(LabError::Part { part: "soak", message });
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the bound address of this name in the node's addresses file.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.addresses.get(name).copied()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        if let Some(id) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            // The signal fails if the process has exited, which `has_ended` reports.
            let _ = kill_process(id, signal);
        }
    }

    /// Returns whether the process has exited.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Waits up to `timeout` for the process to exit. Returns whether it has.
    pub async fn wait(&mut self, timeout: Duration) -> bool {
        let began = Instant::now();
        while began.elapsed() < timeout {
            if self.has_ended() {
                return true;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        false
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the data folder of the store `name`.
pub fn data_folder(folder: &Path, name: &str) -> PathBuf {
    folder.join(format!("{name}.data"))
}

fn settings(plan: &NodePlan, data: &Path, seeds: &[SocketAddr]) -> String {
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    let roles = if plan.is_store { "[\"store\"]" } else { "[\"gateway\", \"coordinator\"]" };
    let data = if plan.is_store { format!("data_folder = \"{}\"\n", data.display()) } else { String::new() };
    format!(
        "node = \"{}\"\nzone = \"{}\"\nroles = {roles}\n{data}\n\
         [addresses]\ncallers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n\n\
         [peers]\nseeds = [{}]\nstall_timeout_ms = 2000\nconnect_timeout_ms = 300\n\n\
         [platform]\nmetadata_store = \"{}\"\n\n\
         [configuration]\nplatform_timeout_ms = 600\nwatch_hold_ms = 2000\n\n\
         [membership]\nprobe_interval_ms = 300\nprobe_timeout_ms = 120\nsuspicion_multiplier = 3\n\n\
         [batch]\norder_lease_ms = 1000\n\n\
         [store]\ncall_timeout_ms = 500\nreplace_after_ms = 60000\ntolerated_losses = 1\n\n\
         [stop]\nnotice_ms = 500\n",
        plan.name,
        plan.zone,
        seeds.join(", "),
        plan.platform
    )
}
