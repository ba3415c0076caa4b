//! Tests that an update from a copy's history brings a follower from any revision to the latest copy.

use std::collections::BTreeMap;

use lichenpulley_daemon::metadata::history::CopyHistory;
use lichenpulley_protocol::internal::{MetadataCopy, MetadataUpdate};
use proptest::prelude::*;

fn copy(revision: u64, objects: &BTreeMap<String, String>) -> MetadataCopy {
    let objects = objects.iter().map(|(name, text)| (name.clone(), text.clone())).collect();
    MetadataCopy { revision, objects }
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
        for revision in 1..states.len() {
            if held_by_reader[revision % held_by_reader.len()] {
                history = history.with_copy(copy(revision as u64, &states[revision]));
            }
        }
        let held_at = held_at % states.len();
        let latest = history.copy.revision as usize;
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
    let history = CopyHistory::new(copy(0, &nothing)).with_copy(copy(2, &nothing));
    let update = history.update_since(Some(1)).expect("an update");
    assert!(update.is_whole);
    assert_eq!(apply(transient, update), nothing);
}

#[test]
fn follower_at_a_known_revision_gets_only_the_changes() {
    let first = BTreeMap::from([("a".to_owned(), "1".to_owned()), ("b".to_owned(), "1".to_owned())]);
    let second = BTreeMap::from([("a".to_owned(), "1".to_owned()), ("c".to_owned(), "1".to_owned())]);
    let history = CopyHistory::new(copy(3, &first)).with_copy(copy(5, &second));
    let update = history.update_since(Some(3)).expect("an update");
    assert!(!update.is_whole);
    assert_eq!((update.objects.len(), update.removed.clone()), (1, vec!["b".to_owned()]));
    assert_eq!(apply(first, update), second);
}
