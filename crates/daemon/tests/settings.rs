//! Tests the validation of settings files and command lines.

use std::time::Duration;

use lichenpulley_daemon::arguments::{self, Invocation};
use lichenpulley_daemon::settings::{Settings, SettingsError};

const VALID: &str = r#"
node = "sando-1"
zone = "sando-hall"
roles = ["gateway", "store"]
data_folder = "/var/lib/lichenpulley"

[addresses]
callers = "127.0.0.1:7000"
operators = "127.0.0.1:7001"
peers = "127.0.0.1:7002"

[peers]
seeds = ["127.0.0.1:8002"]

[platform]
object_api = "http://127.0.0.1:9000/"

[membership]
probe_interval_ms = 500
"#;

/// Returns the keys of all reported problems, in order.
fn rejected_keys(text: &str) -> Vec<String> {
    match Settings::parse(text) {
        Err(SettingsError::Values(problems)) => problems.into_iter().map(|problem| problem.key).collect(),
        other => panic!("expected refused values, got {other:?}"),
    }
}

#[test]
fn a_valid_file_is_accepted_and_absent_keys_get_defaults() {
    let settings = Settings::parse(VALID).expect("a good file");
    assert_eq!(settings.node.as_str(), "sando-1");
    assert!(settings.roles.gateway && settings.roles.store && !settings.roles.coordinator);
    assert_eq!(settings.platform.object_api, Some("127.0.0.1:9000".parse().expect("an address")));
    assert_eq!(settings.membership.probe_interval, Duration::from_millis(500));
    assert_eq!(settings.gateway.eligibility, Duration::from_secs(3));
}

#[test]
fn every_problem_is_reported_at_once() {
    let text = r#"
        zone = 7
        roles = ["gateway", "stoer", "store"]
        nodes = "a"
        [addresses]
        callers = "example.org:80"
        operators = "127.0.0.1:7001"
        peers = "127.0.0.1:7001"
        [membership]
        probe_interval = 5
        suspicion_multiplier = 0
    "#;
    let keys = rejected_keys(text);
    for key in [
        "node",
        "zone",
        "roles",
        "addresses.callers",
        "addresses.peers",
        "data_folder",
        "nodes",
        "membership.probe_interval",
        "membership.suspicion_multiplier",
    ] {
        assert!(keys.iter().any(|found| found == key), "{key} is not among {keys:?}");
    }
}

#[test]
fn an_unknown_key_suggests_a_similar_key() {
    let text = VALID.replace("probe_interval_ms", "probe_intervall_ms");
    let error = Settings::parse(&text).expect_err("an unknown key").to_string();
    assert!(error.contains("did you mean `membership.probe_interval_ms`?"), "{error}");
}

#[test]
fn data_folder_is_required_exactly_for_the_store_role() {
    let without_folder = VALID.replace("data_folder = \"/var/lib/lichenpulley\"", "");
    assert_eq!(rejected_keys(&without_folder), ["data_folder"]);
    let without_store = VALID.replace("[\"gateway\", \"store\"]", "[\"gateway\"]");
    assert_eq!(rejected_keys(&without_store), ["data_folder"]);
}

#[test]
fn every_problem_has_a_remedy() {
    let Err(SettingsError::Values(problems)) = Settings::parse("roles = 3\n[peers]\nseeds = [\"x\", 3]")
    else {
        panic!("expected refused values");
    };
    assert!(problems.iter().all(|problem| !problem.remedy.is_empty()));
    assert_eq!(problems.iter().filter(|problem| problem.key == "peers.seeds").count(), 2);
}

#[test]
fn flags_override_the_file() {
    let line =
        ["--node", "other", "--seed", "127.0.0.1:1", "--seed", "127.0.0.1:2", "--set", "stop.notice_ms=7"];
    let line: Vec<String> = line.iter().map(|&word| word.to_owned()).collect();
    let Ok(Invocation::Run(arguments)) = arguments::parse(&line) else { panic!("a good line") };
    let file = VALID.parse::<toml::Table>().expect("TOML");
    let settings = Settings::from_table(arguments.apply_overrides(file)).expect("good settings");
    assert_eq!(settings.node.as_str(), "other");
    assert_eq!(settings.peers.seeds.len(), 2);
    assert_eq!(settings.stop.notice, Duration::from_millis(7));
    assert_eq!(settings.membership.probe_interval, Duration::from_millis(500));
}

#[test]
fn unknown_flags_and_positional_arguments_are_rejected() {
    for line in [vec!["--nope"], vec!["loose"], vec!["--set", "no-assignment"], vec!["--node"]] {
        let line: Vec<String> = line.into_iter().map(str::to_owned).collect();
        assert!(arguments::parse(&line).is_err(), "{line:?} was accepted");
    }
}

#[test]
fn region_is_derived_from_zones_and_contradictions_are_rejected() {
    let with = |places: &str| format!("{VALID}\n[places]\n{places}");
    let settings =
        Settings::parse(&with("zones = { sando-hall = \"south\", far = \"north\" }")).expect("good");
    assert_eq!(settings.places.region.as_ref().map(|region| region.as_str()), Some("south"));
    assert_eq!(settings.places.zones.region("far").map(|region| region.as_str()), Some("north"));
    assert_eq!(Settings::parse(VALID).expect("good").places.region, None);
    let contradiction = with("region = \"north\"\nzones = { sando-hall = \"south\" }");
    assert_eq!(rejected_keys(&contradiction), ["places.region"]);
    for bad in ["zones = { a = 1 }", "zones = [\"a\"]", "zones = { a = \"\" }"] {
        assert_eq!(rejected_keys(&with(bad)), ["places.zones"], "{bad}");
    }
    assert_eq!(rejected_keys(&with("region = \"no name\"")), ["places.region"]);
}

/// docs/operators/settings.md has a table row for every key, with its default and bounds.
#[test]
fn every_key_is_documented() {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/operators/settings.md");
    let page = std::fs::read_to_string(page).expect("the page");
    let missing: Vec<String> = Settings::known_keys()
        .into_iter()
        .map(|known| match known.bounds {
            Some(bounds) => {
                let (low, high) = (bounds.accepted.start(), bounds.accepted.end());
                format!("| `{}` | {} | {low} to {high} |", known.key, bounds.default)
            }
            None => format!("| `{}` |", known.key),
        })
        .filter(|row| !page.contains(row))
        .collect();
    assert!(missing.is_empty(), "add to docs/operators/settings.md:\n{}", missing.join("\n"));
}

#[test]
fn duties_require_a_platform_address_and_known_names() {
    let with = |duties: &str| format!("{VALID}\n[duties]\n{duties}");
    assert_eq!(rejected_keys(&with("held = [\"usage_report\"]")), ["duties.platform"]);
    let unknown = with("platform = \"127.0.0.1:9000\"\nheld = [\"juggling\"]");
    assert_eq!(rejected_keys(&unknown), ["duties.held"]);
    let text = with(
        "platform = \"127.0.0.1:9000\"\nheld = [\"usage_report\"]\nusage_window_s = 5\nusage_due_s = 10.5",
    );
    let duties = Settings::parse(&text).expect("a good file").duties;
    let usage = duties.usage().expect("usage reports are enabled");
    assert_eq!(usage.due_after, Duration::from_millis(10_500));
    assert!(duties.scaling().is_none());
    let none = Settings::parse(VALID).expect("a good file").duties;
    assert!(none.usage().is_none() && none.scaling().is_none());
}
