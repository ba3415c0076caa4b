//! Tests of the settings tree, its documents and the change writer.

use std::collections::BTreeMap;
use std::time::Duration;

use lichenpulley_core::configuration::document::{Document, EntryChange, RETAINED_CHANGES, Update};
use lichenpulley_core::configuration::path::{Level, LevelPath};
use lichenpulley_core::configuration::register::{Change, ChangeRefused, Register};
use lichenpulley_core::configuration::schema::{self, STALENESS_BOUND};
use lichenpulley_core::configuration::tree::SettingsTree;
use lichenpulley_core::configuration::writer::{
    Action, ChangeOutcome, ChangeWriter, Config, StoredRegister, WriteReply,
};
use lichenpulley_core::identity::{JobId, PoolName, Revision};
use lichenpulley_core::time::Timestamp;
use proptest::prelude::*;
use serde_json::{Value, json};

fn path(text: &str) -> LevelPath {
    LevelPath::parse(text).expect("a path")
}

fn change(base: u64, id: &str, path: &str, key: &str, value: Option<Value>) -> Change {
    Change {
        change_id: id.to_owned(),
        base_revision: Revision(base),
        path: path.to_owned(),
        key: key.to_owned(),
        value,
    }
}

fn register(changes: &[(&str, &str, Value)]) -> Register {
    changes.iter().enumerate().fold(Register::default(), |register, (base, (path, key, value))| {
        let id = format!("change-{base}");
        register.apply(&change(base as u64, &id, path, key, Some(value.clone()))).expect("applies")
    })
}

#[test]
fn child_level_overrides_only_the_values_it_sets() {
    let register = register(&[
        ("/", "staleness_bound", json!(2)),
        ("/ramsaran", "retry_budget_percent", json!(20)),
        ("/ramsaran/bench", "staleness_bound", json!(5)),
    ]);
    let tree = SettingsTree::from_document(register.document());
    let explain = |at: &str, key: &str| {
        let explanation = tree.explain(&path(at), key).expect("a setting");
        (explanation.value, explanation.source.map(|source| source.to_string()))
    };
    assert_eq!(
        explain("/ramsaran/bench/job", "staleness_bound"),
        (json!(5), Some("/ramsaran/bench".to_owned()))
    );
    assert_eq!(explain("/ramsaran/counter", "staleness_bound"), (json!(2), Some("/".to_owned())));
    assert_eq!(explain("/ramsaran/bench", "retry_budget_percent"), (json!(20), Some("/ramsaran".to_owned())));
    assert_eq!(explain("/pasar-tani", "retry_budget_percent"), (json!(10), None));
    assert_eq!(tree.pool_path(&PoolName::new("bench")), path("/ramsaran/bench"));
    assert_eq!(tree.job_path(&PoolName::new("bench"), &JobId::new("repair")), path("/ramsaran/bench/repair"));
    assert_eq!(tree.pool_path(&PoolName::new("unknown")), LevelPath::root());
}

#[test]
fn removed_value_is_inherited_again() {
    let set = register(&[("/", "staleness_bound", json!(2)), ("/ramsaran", "staleness_bound", json!(5))]);
    let removed = set.apply(&change(2, "remove", "/ramsaran", "staleness_bound", None)).expect("applies");
    let tree = SettingsTree::from_document(removed.document());
    assert_eq!(tree.integer(&path("/ramsaran"), &STALENESS_BOUND), 2);
}

#[test]
fn valid_paths_map_to_levels_and_invalid_paths_are_rejected() {
    let levels = ["/", "/s", "/s/p", "/s/p/j", "/s/p/j/y"].map(|text| path(text).level());
    assert_eq!(levels, Level::ALL);
    for invalid in ["", "s", "/s/", "//", "/s p", "/a/b/c/d/e", "/s#x"] {
        assert!(LevelPath::parse(invalid).is_err(), "{invalid}");
    }
}

#[test]
fn defaults_satisfy_their_schema() {
    for setting in schema::ALL {
        let levels = setting.levels();
        let at = ["/", "/s", "/s/p", "/s/p/j", "/s/p/j/y"].map(path);
        let first = at.iter().find(|path| path.level() == *levels.start()).expect("a level");
        assert_eq!(schema::check(first, setting.key(), &setting.default_value()), Ok(()));
    }
}

#[test]
fn invalid_change_errors_name_the_path_and_remedy() {
    let cases = [
        (
            change(0, "c", "/r", "staleness_bound", Some(json!(1001))),
            "/r: `staleness_bound` can't be 1001; give",
        ),
        (change(0, "c", "/r/p/j", "retry_budget_percent", Some(json!(1))), "set it on a level from"),
        (change(0, "c", "/r", "no_such_key", Some(json!(1))), "/r: there is no setting `no_such_key`"),
        (change(0, "c", "/r", "no_such_key", None), "the settings are staleness_bound"),
        (change(0, "", "/r", "staleness_bound", Some(json!(1))), "choose one of 1 to 128"),
    ];
    for (change, expected) in cases {
        let refused = change.check().expect_err("is refused").to_string();
        assert!(refused.contains(expected), "{refused}");
    }
}

#[test]
fn reused_change_id_is_refused() {
    let register = register(&[("/", "staleness_bound", json!(2))]);
    let same = change(0, "change-0", "/", "staleness_bound", Some(json!(2)));
    assert_eq!(register.find(&same), Ok(Some(Revision(1))));
    let other = change(0, "change-0", "/", "staleness_bound", Some(json!(3)));
    assert!(matches!(register.find(&other), Err(ChangeRefused::ChangeIdReused { .. })));
}

#[test]
fn unknown_entries_are_ignored() {
    let entries = [("/#staleness_bound", "3"), ("/#key_of_tomorrow", "1"), ("no path", "1")];
    let entries = entries.map(|(key, value)| (key.to_owned(), value.to_owned()));
    let tree = SettingsTree::from_document(&Document::new(Revision(1), BTreeMap::from(entries)));
    assert_eq!(tree.values().count(), 1);
}

#[test]
fn outdated_copies_get_a_delta_or_a_snapshot() {
    let mut document = Document::default();
    for revision in 1..=RETAINED_CHANGES as u64 + 10 {
        let entry = EntryChange { key: "key".to_owned(), value: Some(revision.to_string()) };
        document = document.with_changes(Revision(revision), vec![entry]);
    }
    assert!(matches!(document.update_after(Revision(9)), Some(Update::Snapshot(_))));
    assert!(matches!(document.update_after(Revision(10)), Some(Update::Delta { .. })));
    assert_eq!(document.update_after(document.revision()), None);
}

#[test]
fn delta_is_refused_by_a_different_copy() {
    let sender = Document::new(Revision(1), BTreeMap::from([("a".to_owned(), "1".to_owned())]));
    let entry = EntryChange { key: "b".to_owned(), value: Some("2".to_owned()) };
    let update = sender.with_changes(Revision(2), vec![entry]).update_after(Revision(1)).expect("behind");
    let other = Document::new(Revision(1), BTreeMap::from([("a".to_owned(), "9".to_owned())]));
    assert!(other.with_update(update.clone()).is_err());
    assert!(Document::default().with_update(update.clone()).is_err());
    assert!(sender.with_update(update).is_ok());
}

proptest! {
    /// After an update, an older copy has the same entries as the newest document.
    #[test]
    fn update_brings_any_older_copy_up_to_date(
        changes in prop::collection::vec((0_u8..6, prop::option::of(0_u8..4)), 1..100),
        at in 0_usize..100,
    ) {
        let mut versions = vec![Document::default()];
        for (revision, (key, value)) in (1..).zip(changes) {
            let entry = EntryChange { key: key.to_string(), value: value.map(|value| value.to_string()) };
            let next = versions.last().expect("one").with_changes(Revision(revision), vec![entry]);
            versions.push(next);
        }
        let newest = versions.last().expect("one");
        let copy = &versions[at % versions.len()];
        if let Some(update) = copy.update_after(newest.revision()) {
            prop_assert!(false, "an older copy returned an update for a newer revision: {update:?}");
        }
        let Some(update) = newest.update_after(copy.revision()) else {
            prop_assert_eq!(copy.revision(), newest.revision());
            return Ok(());
        };
        let updated = copy.with_update(update).expect("fits");
        prop_assert_eq!(updated.entries(), newest.entries());
        prop_assert_eq!(updated.digest(), newest.digest());
    }
}

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_millis(milliseconds)
}

fn writer() -> ChangeWriter {
    let change = change(0, "mine", "/", "staleness_bound", Some(json!(2)));
    ChangeWriter::new(change, Config::default(), at(0))
}

fn stored(version: Option<u64>, register: Register) -> Option<StoredRegister> {
    Some(StoredRegister { version: version.map(Revision), register })
}

/// Lets the writer read an empty register and start a write. Returns the written register.
fn begin_write(writer: &mut ChangeWriter) -> Register {
    assert_eq!(writer.poll(at(0)), Some(Action::Read));
    writer.read_finished(stored(None, Register::default()), at(1));
    match writer.poll(at(1)) {
        Some(Action::Write { base_version: None, register }) => register,
        other => panic!("not a write: {other:?}"),
    }
}

#[test]
fn unanswered_write_that_took_effect_is_accepted_after_the_next_read() {
    let mut writer = writer();
    let written = begin_write(&mut writer);
    writer.write_finished(WriteReply::NoReply, at(2));
    assert_eq!(writer.poll(at(1_000)), Some(Action::Read));
    writer.read_finished(stored(Some(1), written.clone()), at(1_001));
    let accepted = ChangeOutcome::Accepted { revision: Revision(1), register: written };
    assert_eq!(writer.poll(at(1_001)), Some(Action::Finish(accepted)));
}

#[test]
fn unanswered_write_is_refused_after_a_concurrent_change() {
    let mut writer = writer();
    begin_write(&mut writer);
    writer.write_finished(WriteReply::NoReply, at(2));
    assert_eq!(writer.poll(at(1_000)), Some(Action::Read));
    let other = register(&[("/", "staleness_bound", json!(9))]);
    writer.read_finished(stored(Some(1), other), at(1_001));
    let conflict = ChangeRefused::Conflict { base: Revision(0), current: Revision(1) };
    assert_eq!(writer.poll(at(1_001)), Some(Action::Finish(ChangeOutcome::Refused(conflict))));
}

#[test]
fn unanswered_write_ends_in_doubt_if_reads_fail() {
    let mut writer = writer();
    begin_write(&mut writer);
    writer.write_finished(WriteReply::NoReply, at(2));
    assert_eq!(writer.poll(at(4_000)), Some(Action::Read));
    writer.read_finished(None, at(4_000));
    assert!(
        matches!(writer.poll(at(4_000)), Some(Action::Wait(_))),
        "the in-doubt timeout is longer than the unavailable timeout"
    );
    assert_eq!(writer.poll(at(9_000)), Some(Action::Read));
    writer.read_finished(None, at(9_000));
    assert_eq!(writer.poll(at(9_000)), Some(Action::Finish(ChangeOutcome::InDoubt)));
}

#[test]
fn failed_reads_without_a_write_end_as_unavailable() {
    let mut writer = writer();
    assert_eq!(writer.poll(at(0)), Some(Action::Read));
    writer.read_finished(None, at(1));
    assert_eq!(writer.poll(at(2)), Some(Action::Wait(at(1) + Duration::from_millis(200))));
    assert_eq!(writer.poll(at(3_500)), Some(Action::Read));
    writer.read_finished(None, at(3_501));
    assert_eq!(writer.poll(at(3_501)), Some(Action::Finish(ChangeOutcome::Unavailable)));
}

#[test]
fn unanswered_write_is_repeated_on_the_same_base_version() {
    let mut writer = writer();
    let first = begin_write(&mut writer);
    writer.write_finished(WriteReply::NoReply, at(2));
    assert_eq!(writer.poll(at(1_000)), Some(Action::Read));
    writer.read_finished(stored(None, Register::default()), at(1_001));
    let again = writer.poll(at(1_001));
    assert_eq!(again, Some(Action::Write { base_version: None, register: first.clone() }));
    // The first write took effect later, so the second conflicts with it, which only a read can show.
    writer.write_finished(WriteReply::Conflict, at(1_002));
    assert_eq!(writer.poll(at(1_002)), Some(Action::Read));
    writer.read_finished(stored(Some(1), first.clone()), at(1_003));
    let accepted = ChangeOutcome::Accepted { revision: Revision(1), register: first };
    assert_eq!(writer.poll(at(1_003)), Some(Action::Finish(accepted)));
}
