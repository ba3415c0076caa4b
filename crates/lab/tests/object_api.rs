//! The object API's stand-in, seen through the daemon's client.

use lichenpulley_core::identity::Revision;
use lichenpulley_daemon::configuration::platform::{ObjectClient, WriteError};
use lichenpulley_daemon::settings::Settings;
use lichenpulley_lab::http::ANY_PORT;
use lichenpulley_lab::object_api::{self, ObjectApi, ObjectApiFaults};
use serde_json::json;

async fn start() -> (ObjectApi, ObjectClient) {
    let object_api = object_api::start(ANY_PORT).await.expect("starts");
    let mut settings = Settings::on_loopback("node", "zone");
    settings.platform.object_api = Some(object_api.address);
    let client = ObjectClient::from_settings(&settings).expect("an address is set");
    (object_api, client)
}

#[tokio::test]
async fn a_write_on_an_old_version_loses_with_the_current_object() {
    let (_object_api, client) = start().await;
    let first = client.write("config/tree", None, json!(1)).await.expect("creates");
    let second = client.write("config/tree", Some(first.version), json!(2)).await.expect("changes");
    let race = client.write("config/tree", Some(first.version), json!(3)).await;
    let Err(WriteError::Conflict { current }) = race else { panic!("not a conflict: {race:?}") };
    assert_eq!(current, Some(second));
}

#[tokio::test]
async fn a_watch_ends_with_the_first_change_after_its_revision() {
    let (object_api, client) = start().await;
    let first = client.write("config/tree", None, json!(1)).await.expect("creates");
    let watching = tokio::spawn({
        let client = client.clone();
        async move { client.watch("config/", first.version).await }
    });
    while object_api.counters().open_watches == 0 {
        tokio::task::yield_now().await;
    }
    client.write("other", None, json!(0)).await.expect("creates");
    let second = client.write("config/tree", Some(first.version), json!(2)).await.expect("changes");
    let seen = watching.await.expect("ends").expect("answers");
    assert_eq!(seen.objects, vec![second.clone()]);
    assert_eq!(seen.revision, second.version);
    assert_eq!(object_api.counters().peak_open_watches, 1);
}

#[tokio::test]
async fn a_lost_reply_is_in_doubt_and_the_write_has_taken_effect() {
    let (object_api, client) = start().await;
    object_api.set_faults(ObjectApiFaults { lose_next_replies: 1, ..ObjectApiFaults::default() });
    let lost = client.write("config/tree", None, json!("kept")).await;
    assert!(matches!(lost, Err(WriteError::InDoubt(_))), "{lost:?}");
    let object = client.read("config/tree").await.expect("answers").expect("exists");
    assert_eq!(object.value, json!("kept"));
    let repeated = client.write("config/tree", None, json!("kept")).await;
    assert!(matches!(repeated, Err(WriteError::Conflict { .. })), "{repeated:?}");
}

#[tokio::test]
async fn while_down_nothing_answers_and_nothing_takes_effect() {
    let (object_api, client) = start().await;
    object_api.set_faults(ObjectApiFaults { down: true, ..ObjectApiFaults::default() });
    client.read("config/tree").await.expect_err("down");
    client.write("config/tree", None, json!(1)).await.expect_err("down");
    object_api.set_faults(ObjectApiFaults::default());
    assert_eq!(client.read("config/tree").await.expect("answers"), None);
    assert_eq!(object_api.objects().revision(), Revision(0));
}

#[tokio::test]
async fn a_list_holds_what_is_under_its_prefix() {
    let (_object_api, client) = start().await;
    for key in ["replica-sets/job/a", "replica-sets/job/b", "jobs/a"] {
        client.write(key, None, json!(key)).await.expect("creates");
    }
    let list = client.list("replica-sets/").await.expect("answers");
    let keys: Vec<&str> = list.objects.iter().map(|object| object.key.as_str()).collect();
    assert_eq!(keys, ["replica-sets/job/a", "replica-sets/job/b"]);
}
