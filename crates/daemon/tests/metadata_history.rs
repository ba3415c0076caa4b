//! Whatever a follower holds, an update of a copy's history gives it the later copy.

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
    /// Whatever copy of an earlier revision a follower holds, and whichever revisions the reader saw, an update gives it
    /// the reader's copy.
    #[test]
    fn an_update_gives_the_later_copy(
        changes in prop::collection::vec((0_u8..6, prop::option::of(0_u8..4)), 1..60),
        seen in prop::collection::vec(any::<bool>(), 60),
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
        let mut history = CopyHistory::begin(copy(0, &states[0]));
        for revision in 1..states.len() {
            if seen[revision % seen.len()] {
                history = history.followed_by(copy(revision as u64, &states[revision]));
            }
        }
        let held_at = held_at % states.len();
        let latest = history.copy.revision as usize;
        match history.update_since(Some(held_at as u64)) {
            Some(update) => prop_assert_eq!(apply(states[held_at].clone(), update), states[latest].clone()),
            None => prop_assert!(held_at >= latest),
        }
        let whole = history.update_since(None).expect("a whole copy");
        prop_assert_eq!(apply(states[held_at].clone(), whole), states[latest].clone());
    }
}

#[test]
fn a_follower_from_before_the_history_gets_the_whole_copy() {
    let objects = BTreeMap::from([("a".to_owned(), "1".to_owned())]);
    let history = CopyHistory::begin(copy(10, &objects));
    let update = history.update_since(Some(4)).expect("an update");
    assert!(update.is_whole);
    assert_eq!(history.update_since(Some(10)), None);
}

/// Found by the property above: an object that came and went between two revisions of the reader.
#[test]
fn a_follower_of_a_revision_that_the_reader_never_held_gets_the_whole_copy() {
    let nothing = BTreeMap::new();
    let passing = BTreeMap::from([("passing".to_owned(), "1".to_owned())]);
    let history = CopyHistory::begin(copy(0, &nothing)).followed_by(copy(2, &nothing));
    let update = history.update_since(Some(1)).expect("an update");
    assert!(update.is_whole);
    assert_eq!(apply(passing, update), nothing);
}

#[test]
fn a_follower_that_was_here_gets_what_changed_alone() {
    let first = BTreeMap::from([("a".to_owned(), "1".to_owned()), ("b".to_owned(), "1".to_owned())]);
    let second = BTreeMap::from([("a".to_owned(), "1".to_owned()), ("c".to_owned(), "1".to_owned())]);
    let history = CopyHistory::begin(copy(3, &first)).followed_by(copy(5, &second));
    let update = history.update_since(Some(3)).expect("an update");
    assert!(!update.is_whole);
    assert_eq!((update.objects.len(), update.removed.clone()), (1, vec!["b".to_owned()]));
    assert_eq!(apply(first, update), second);
}
