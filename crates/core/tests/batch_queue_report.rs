//! The report of the waiting work that operators read.

mod batch_support;

use std::time::Duration;

use batch_support::load::Load;
use batch_support::{OwnerHarness, at, job, replica};
use lichenpulley_core::batch::ledger::Ledger;
use lichenpulley_core::ingress::replicas::ReplicaRecord;

#[test]
fn the_report_counts_items_and_groups_by_trainer() {
    let mut load = Load::new(&[0, 2], 1);
    assert_eq!(load.harness.controller.queue_report(batch_support::at(0)).services, []);
    load.submit(0, "warm-up", &[vec![500, 500]], 1);
    let report = load.harness.controller.queue_report(batch_support::at(0));
    assert_eq!(report.services[0].drain_ms, None, "nothing was measured");
    load.run_and_end(&["warm-up"], Duration::from_secs(1));
    // The first trainer's job takes all six slots; one of its three groups is more than it needs.
    load.submit(0, "first", &[vec![1_000; 4], vec![1_000; 4], vec![1_000; 4]], 2);
    load.submit(1, "second", &[vec![9_000; 2], vec![1_000; 2]], 2);
    (0..20).for_each(|_| load.step());
    let report = load.harness.controller.queue_report(batch_support::at(load.now_ms));
    assert_eq!(report.refused_jobs, 0);
    let service = &report.services[0];
    assert_eq!((service.service.as_str(), service.slots, service.used_slots), ("engines", 6, 6));
    // Two items of the first trainer's second group and all of the other trainer's wait: 22 s of work on six slots.
    let drain_ms = service.drain_ms.expect("an estimate");
    assert!((3_400..4_000).contains(&drain_ms), "{drain_ms}");
    assert!(service.is_short, "the work drains later than after a third of the time of the jobs");
    let [first, second] = service.trainers.as_slice() else { panic!("two trainers") };
    assert_eq!((first.priority, first.route.as_str(), first.jobs), (0, "trainer-0", 1));
    assert_eq!((first.running, first.waiting, first.groups_in_time, first.groups_surplus), (6, 6, 2, 1));
    assert_eq!((first.share_percent, first.oldest_waiting_ms), (100, 200));
    assert_eq!((second.running, second.waiting, second.share_percent), (0, 4, 0));
    assert_eq!((second.groups_in_time, second.groups_late), (1, 1), "a run of 9 s can't be in time");
}

#[test]
fn slots_of_all_replicas_together_do_not_overflow() {
    let replicas = ["r-0", "r-1"].map(|id| ReplicaRecord { slots: u32::MAX, ..replica(id, 6) });
    let mut harness = OwnerHarness::new(Ledger::default(), false, &replicas);
    harness.submit(at(0), job("a", 2, 6));
    let report = harness.controller.queue_report(at(0));
    assert_eq!(report.services[0].slots, u32::MAX);
}
