//! The machine list's stand-in: it lags, and its faults are switched on by request.

use std::time::Duration;

use lichenpulley_core::identity::ZoneName;
use lichenpulley_core::time::Timestamp;
use lichenpulley_daemon::configuration::platform::MachineListClient;
use lichenpulley_daemon::settings::Settings;
use lichenpulley_lab::http::ANY_PORT;
use lichenpulley_lab::machine_list::{self, MachineListFaults, MachineListHistory};
use lichenpulley_protocol::platform::{Machine, MachineKind, MachineState};

fn machine(id: &str) -> Machine {
    Machine {
        id: id.to_owned(),
        kind: MachineKind::Node,
        zone: ZoneName::new("sando-hall"),
        address: "127.0.0.1:1".to_owned(),
        pool: None,
        state: MachineState::Live,
    }
}

#[test]
fn a_change_shows_only_after_the_lag() {
    let lag = Duration::from_secs(5);
    let mut history = MachineListHistory::new(vec![machine("a")]);
    history.put(machine("b"), Timestamp::from_millis(10_000));
    history.remove("a", Timestamp::from_millis(12_000));
    let ids_at = |seconds: u64| {
        let list = history.as_of(Timestamp::from_millis(seconds * 1_000), lag);
        list.machines.into_iter().map(|machine| machine.id).collect::<Vec<_>>()
    };
    assert_eq!(ids_at(1), ["a"]);
    assert_eq!(ids_at(14), ["a"]);
    assert_eq!(ids_at(15), ["a", "b"]);
    assert_eq!(ids_at(17), ["b"]);
}

#[tokio::test]
async fn the_daemons_client_reads_the_list_unless_it_is_down() {
    let server = machine_list::start(ANY_PORT, vec![machine("a")]).await.expect("starts");
    let mut settings = Settings::on_loopback("node", "zone");
    settings.platform.machine_list = Some(server.address);
    let client = MachineListClient::from_settings(&settings).expect("an address is set");
    server.put(machine("b"));
    assert_eq!(client.read().await.expect("answers").machines, [machine("a"), machine("b")]);
    server.set_faults(MachineListFaults { down: true, lag_ms: 0 });
    client.read().await.expect_err("down");
}
