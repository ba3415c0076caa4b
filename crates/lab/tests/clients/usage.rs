//! Memory and descriptors of another process, as the kernel counts them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use super::MEMORY_BYTES;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
const KILOBYTE: u64 = 1_024;

/// Samples the memory of a process until it is dropped.
pub struct MemoryWatch {
    process: u32,
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

struct Shared {
    peak: AtomicU64,
    has_ended: AtomicBool,
}

impl MemoryWatch {
    /// Watches a process, with the bytes that have arrived on this port and are not read yet.
    pub fn start(process: u32, port: SocketAddr) -> Self {
        let shared = Arc::new(Shared { peak: AtomicU64::new(0), has_ended: AtomicBool::new(false) });
        let of_thread = Arc::clone(&shared);
        let thread = std::thread::spawn(move || {
            while !of_thread.has_ended.load(Ordering::Relaxed) {
                let bytes = status_bytes(process, "VmRSS:").unwrap_or(0) + unread_bytes(port.port());
                of_thread.peak.fetch_max(bytes, Ordering::Relaxed);
                std::thread::sleep(SAMPLE_INTERVAL);
            }
        });
        Self { process, shared, thread: Some(thread) }
    }

    /// Asserts that the process has stayed within the memory of its machine.
    pub fn assert_within_machine(&self, when: &str) {
        let peak = self.peak_bytes();
        println!("{when}: a peak of {} MB, {} descriptors", peak / 1_000_000, open_descriptors(self.process));
        assert!(peak <= MEMORY_BYTES, "{when}: {peak} bytes on a machine of {MEMORY_BYTES}");
    }

    /// The greatest memory that was seen, in bytes. At least the greatest resident memory of the process's life.
    fn peak_bytes(&self) -> u64 {
        let resident = status_bytes(self.process, "VmHWM:").unwrap_or(0);
        self.shared.peak.load(Ordering::Relaxed).max(resident)
    }
}

impl Drop for MemoryWatch {
    fn drop(&mut self) {
        self.shared.has_ended.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// The number of descriptors that a process has open.
pub fn open_descriptors(process: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
}

fn status_bytes(process: u32, field: &str) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix(field))?;
    let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes * KILOBYTE)
}

/// The sum of the receive queues of the connections that were accepted on a port.
fn unread_bytes(port: u16) -> u64 {
    const LISTENING: &str = "0A";
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let unread = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (local, state, queues) = (fields.get(1)?, fields.get(3)?, fields.get(4)?);
        let local_port = u16::from_str_radix(local.split_once(':')?.1, 16).ok()?;
        let received = u64::from_str_radix(queues.split_once(':')?.1, 16).ok()?;
        (local_port == port && *state != LISTENING).then_some(received)
    };
    table.lines().skip(1).filter_map(unread).sum()
}
