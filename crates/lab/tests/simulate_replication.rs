//! Proofs of the replicated log, the claims and changes of the replica set: the same schedules violate what must
//! hold with a mechanism switched off, and don't with all on.

use lichenpulley_lab::simulate_replication::{Mechanisms, simulate};

/// Schedules tried with every mechanism on. `lichenpulley-lab simulate-replication --seeds N` tries more.
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
    mechanisms.acceptor.refuse_forgotten_claims = false;
    violation_without(mechanisms);
}
