//! Puts a new engine on the machine list.

use std::net::SocketAddr;
use std::time::Duration;

use lichenpulley_daemon::http::client::HttpClient;
use lichenpulley_protocol::platform::{Machine, MachineKind, MachineState};

use super::EngineOptions;

/// How long the machine list has to answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the engine waits before it tries again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Registers the engine at the machine list, and tries until that has worked.
pub async fn register(options: EngineOptions, address: SocketAddr) {
    let Some(machine_list) = options.machine_list else { return };
    let machine = Machine {
        id: options.model.replica.to_string(),
        kind: MachineKind::Engine,
        zone: options.zone,
        address: address.to_string(),
        pool: Some(options.pool),
        state: MachineState::Live,
    };
    let path = format!("/machines/{}", machine.id);
    let client = HttpClient::new(CALL_TIMEOUT);
    loop {
        let registered = client.put_json(machine_list, &path, &machine, CALL_TIMEOUT).await;
        let registered: Result<Machine, _> = registered;
        let Err(error) = registered else { return };
        log::warn!(target: "engine", "{}: not registered yet: {error}.", machine.id);
        tokio::time::sleep(RETRY_DELAY).await;
    }
}
