//! Proofs of the replicated log, the claims and changes of the replica set: the same schedules violate what must
//! hold with a mechanism switched off, and don't with all on.

use lichenpulley_lab::simulations::replication::{Changes, Mechanisms, simulate, simulate_changes};

/// Schedules tried with every mechanism on. `lichenpulley-lab simulate replication --seeds N` tries more.
const SEEDS: std::ops::Range<u64> = 0..10;

/// The first violation among the same schedules with some mechanism off.
fn violation_without(mechanisms: Mechanisms) -> String {
    let mut found = SEEDS.flat_map(|seed| simulate(seed, mechanisms).violations);
    let found = found.next().expect("some schedule must go wrong without a mechanism that is needed");
    println!("{found}");
    found
}

#[test]
fn nothing_is_violated_with_every_mechanism_on() {
    let mut replacements = 0;
    for seed in SEEDS {
        let report = simulate(seed, Mechanisms::default());
        assert_eq!(report.violations, Vec::<String>::new(), "seed {seed}");
        assert!(report.came_back, "seed {seed}: the log could not be taken over after all faults had ended");
        assert!(report.acknowledged > 0 && report.granted > 0, "seed {seed} got nothing done");
        replacements += report.replacements;
    }
    assert!(replacements > 0, "no replica set was replaced");
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let (first, second) = (simulate(3, Mechanisms::default()), simulate(3, Mechanisms::default()));
    assert_eq!(first.observations, second.observations);
    assert_eq!(first.claims, second.claims);
}

#[test]
fn without_refusing_lower_ballots_a_superseded_owner_does_harm() {
    let mut mechanisms = Mechanisms::default();
    mechanisms.acceptor.refuse_lower_ballots = false;
    violation_without(mechanisms);
}

#[test]
fn without_recovery_acknowledged_records_are_overwritten() {
    let mut mechanisms = Mechanisms::default();
    mechanisms.proposer.recover = false;
    violation_without(mechanisms);
}

#[test]
fn without_a_majority_acknowledged_records_are_lost() {
    let mut mechanisms = Mechanisms::default();
    mechanisms.proposer.wait_for_majority = false;
    violation_without(mechanisms);
}

#[test]
fn without_syncing_before_the_reply_a_crash_undoes_what_was_promised() {
    let mechanisms = Mechanisms { sync_before_reply: false, ..Mechanisms::default() };
    violation_without(mechanisms);
}

#[test]
fn without_refusing_forgotten_ids_a_request_is_granted_twice() {
    let mut mechanisms = Mechanisms::default();
    mechanisms.acceptor.refuse_expired_claims = false;
    violation_without(mechanisms);
}

/// Schedules in which the log's owner replaces stores, and is cut off while it does so more often than not.
/// `lichenpulley-lab simulate replication-by-owner --seeds N` tries more.
const OWNER_SEEDS: std::ops::Range<u64> = 0..30;

#[test]
fn an_owner_cut_off_while_it_replaces_a_store_gets_nothing_by_coming_back() {
    let mut continued = 0;
    for seed in OWNER_SEEDS {
        let report = simulate_changes(seed, Mechanisms::default(), Changes::ByOwner);
        assert_eq!(report.violations, Vec::<String>::new(), "seed {seed}");
        assert!(report.came_back, "seed {seed}: the log could not be taken over after all faults had ended");
        assert!(report.acknowledged > 0, "seed {seed} got nothing done");
        continued += report.continued;
    }
    assert!(continued > 0, "no owner went on in another set");
}

/// The first violation where owners change the stores with some mechanism off.
fn violation_of_owners_without(mechanisms: Mechanisms) -> String {
    let mut found =
        OWNER_SEEDS.flat_map(|seed| simulate_changes(seed, mechanisms, Changes::ByOwner).violations);
    found.next().expect("some schedule must go wrong without a mechanism that is needed")
}

#[test]
fn with_a_ballot_of_its_own_a_change_takes_the_log_from_the_successor() {
    let mut mechanisms = Mechanisms::default();
    mechanisms.proposer.keep_ballot = false;
    let found = violation_of_owners_without(mechanisms);
    assert!(found.contains("took the log by a change of the stores"), "{found}");
}
