//! Tests that an update from a copy's history brings a follower from any revision to the latest copy.

use std::collections::BTreeMap;

use lichenpulley_daemon::metadata::history::{CopyChange, CopyHistory};
use lichenpulley_protocol::internal::MetadataUpdate;
use proptest::prelude::*;

/// Returns a change to a whole copy of these objects.
fn copy(revision: u64, objects: &BTreeMap<String, String>) -> CopyChange {
    let objects = objects.iter().map(|(name, text)| (name.as_str().into(), text.as_str().into())).collect();
    CopyChange { revision, is_whole: true, objects, ..CopyChange::default() }
}

/// Returns the change from one state to the next, as the platform's events state it.
fn difference(revision: u64, from: &BTreeMap<String, String>, to: &BTreeMap<String, String>) -> CopyChange {
    let changed = to.iter().filter(|(name, text)| from.get(*name) != Some(*text));
    let objects = changed.map(|(name, text)| (name.as_str().into(), text.as_str().into())).collect();
    let removed =
        from.keys().filter(|name| !to.contains_key(*name)).map(|name| name.as_str().into()).collect();
    CopyChange { revision, objects, removed, ..CopyChange::default() }
}

fn apply(mut held: BTreeMap<String, String>, update: MetadataUpdate) -> BTreeMap<String, String> {
    if update.is_whole {
        held.clear();
    }
    for name in update.removed {
        held.remove(&name);
    }
    held.extend(update.objects);
    held
}

proptest! {
    /// An update turns the copy of any earlier revision into the reader's copy, whichever revisions the
    /// reader has held.
    #[test]
    fn update_yields_the_latest_copy(
        changes in prop::collection::vec((0_u8..6, prop::option::of(0_u8..4)), 1..60),
        held_by_reader in prop::collection::vec(any::<bool>(), 60),
        held_at in 0_usize..60,
        by_events in any::<bool>(),
    ) {
        let mut states = vec![BTreeMap::new()];
        for (name, text) in changes {
            let mut state = states[states.len() - 1].clone();
            match text {
                Some(text) => state.insert(format!("object-{name}"), format!("text-{text}")),
                None => state.remove(&format!("object-{name}")),
            };
            states.push(state);
        }
        let mut history = CopyHistory::new(copy(0, &states[0]));
        let mut read = 0;
        for revision in 1..states.len() {
            if held_by_reader[revision % held_by_reader.len()] {
                let change = if by_events {
                    difference(revision as u64, &states[read], &states[revision])
                } else {
                    copy(revision as u64, &states[revision])
                };
                history = history.with_change(change).0;
                read = revision;
            }
        }
        let held_at = held_at % states.len();
        let latest = history.revision() as usize;
        match history.update_since(Some(held_at as u64)) {
            Some(update) => prop_assert_eq!(apply(states[held_at].clone(), update), states[latest].clone()),
            None => prop_assert!(held_at >= latest),
        }
        let full = history.update_since(None).expect("a full copy");
        prop_assert_eq!(apply(states[held_at].clone(), full), states[latest].clone());
    }
}

#[test]
fn follower_older_than_the_history_gets_a_full_copy() {
    let objects = BTreeMap::from([("a".to_owned(), "1".to_owned())]);
    let history = CopyHistory::new(copy(10, &objects));
    let update = history.update_since(Some(4)).expect("an update");
    assert!(update.is_whole);
    assert_eq!(history.update_since(Some(10)), None);
}

/// Guards against an object that is added and removed between two revisions of the reader and stays at the
/// follower.
#[test]
fn follower_at_a_revision_unknown_to_the_reader_gets_a_full_copy() {
    let nothing = BTreeMap::new();
    let transient = BTreeMap::from([("passing".to_owned(), "1".to_owned())]);
    let history = CopyHistory::new(copy(0, &nothing)).with_change(copy(2, &nothing)).0;
    let update = history.update_since(Some(1)).expect("an update");
    assert!(update.is_whole);
    assert_eq!(apply(transient, update), nothing);
}

#[test]
fn follower_at_a_known_revision_gets_only_the_changes() {
    let first = BTreeMap::from([("a".to_owned(), "1".to_owned()), ("b".to_owned(), "1".to_owned())]);
    let second = BTreeMap::from([("a".to_owned(), "1".to_owned()), ("c".to_owned(), "1".to_owned())]);
    let history = CopyHistory::new(copy(3, &first)).with_change(copy(5, &second)).0;
    let update = history.update_since(Some(3)).expect("an update");
    assert!(!update.is_whole);
    assert_eq!((update.objects.len(), update.removed.clone()), (1, vec!["b".to_owned()]));
    assert_eq!(apply(first, update), second);
}

/// A release of thousands of replicas must not grow the history of a node without bound.
#[test]
fn history_forgets_old_revisions_after_many_changes() {
    let mut objects = BTreeMap::new();
    let mut history = CopyHistory::new(copy(0, &objects));
    for revision in 1..100_u64 {
        for number in 0..100 {
            objects.insert(format!("replica-{number}"), format!("text-{revision}"));
        }
        history = history.with_change(copy(revision, &objects)).0;
    }
    let recent = history.update_since(Some(98)).expect("an update");
    assert!(!recent.is_whole);
    let old = history.update_since(Some(1)).expect("an update");
    assert!(old.is_whole, "10,000 changes are not kept");
}

/// A subset of another layout is another set of objects, to which earlier updates don't apply.
#[test]
fn copy_with_another_layout_begins_a_new_history() {
    let first = BTreeMap::from([("a".to_owned(), "1".to_owned()), ("b".to_owned(), "1".to_owned())]);
    let second = BTreeMap::from([("a".to_owned(), "1".to_owned()), ("c".to_owned(), "1".to_owned())]);
    let subset = CopyChange { layout: Some(7), ..copy(5, &second) };
    let (history, changed) = CopyHistory::new(copy(3, &first)).with_change(subset);
    let changed: Vec<&str> = changed.iter().map(|name| &**name).collect();
    assert_eq!(changed, ["c", "b"]);
    assert_eq!(history.layout(), Some(7));
    assert!(history.update_since(Some(3)).expect("an update").is_whole);
}
