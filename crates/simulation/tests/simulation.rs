//! Tests that simulations are reproducible from their seed and that injected faults have their documented effect.

use std::time::Duration;

use lichenpulley_core::time::Timestamp;
use lichenpulley_simulation::{
    Fault, FaultPlan, FaultRates, LinkQuality, Outbox, Process, ProcessId, Simulation,
};

/// Sends consecutive numbers to its peer every 10 ms and records the received numbers with their times.
struct Counter {
    peer: ProcessId,
    next: u32,
    wake_at: Timestamp,
    received: Vec<(Timestamp, u32)>,
}

const PERIOD: Duration = Duration::from_millis(10);

impl Counter {
    fn new(peer: usize) -> Self {
        Self { peer: ProcessId(peer), next: 0, wake_at: Timestamp::ORIGIN, received: Vec::new() }
    }
}

impl Process for Counter {
    type Message = u32;

    fn start(&mut self, now: Timestamp, _outbox: &mut Outbox<u32>) {
        self.wake_at = now + PERIOD;
    }

    fn receive(&mut self, now: Timestamp, _from: ProcessId, message: u32, _outbox: &mut Outbox<u32>) {
        self.received.push((now, message));
    }

    fn wake(&mut self, now: Timestamp, outbox: &mut Outbox<u32>) {
        outbox.send(self.peer, self.next);
        self.next += 1;
        self.wake_at = now + PERIOD;
    }

    fn next_wake(&self) -> Option<Timestamp> {
        Some(self.wake_at)
    }
}

fn counter_pair(seed: u64, link: LinkQuality) -> Simulation<Counter> {
    let mut simulation = Simulation::new(seed, link);
    simulation.add(Counter::new(1));
    simulation.add(Counter::new(0));
    simulation
}

fn received(simulation: &Simulation<Counter>, id: usize) -> Vec<(Timestamp, u32)> {
    simulation.process(ProcessId(id)).received.clone()
}

#[test]
fn runs_are_reproducible_from_the_seed() {
    let run = |seed| {
        let mut simulation = counter_pair(seed, LinkQuality::POOR);
        simulation.run_for(Duration::from_secs(5));
        received(&simulation, 0)
    };
    assert_eq!(run(7), run(7));
    assert_ne!(run(7), run(8));
}

#[test]
fn a_poor_link_loses_duplicates_and_reorders_messages() {
    let mut simulation = counter_pair(1, LinkQuality::POOR);
    simulation.run_for(Duration::from_secs(10));
    let numbers: Vec<u32> = received(&simulation, 0).iter().map(|(_, number)| *number).collect();
    let sent = simulation.process(ProcessId(1)).next;
    let mut distinct = numbers.clone();
    distinct.sort_unstable();
    distinct.dedup();
    assert!(distinct.len() < sent as usize, "no message was lost");
    assert!(distinct.len() < numbers.len(), "no message was duplicated");
    assert!(!numbers.is_sorted(), "no messages were reordered");
}

#[test]
fn a_frozen_process_receives_messages_and_wake_ups_late() {
    let mut simulation = counter_pair(1, LinkQuality::GOOD);
    simulation.run_for(Duration::from_millis(15));
    simulation.freeze(ProcessId(0), Duration::from_millis(100));
    simulation.run_for(Duration::from_millis(99));
    assert_eq!(received(&simulation, 0).len(), 1);
    assert!(simulation.interact(ProcessId(0), |_, _, _| ()).is_none());
    simulation.run_for(Duration::from_millis(2));
    assert_eq!(received(&simulation, 0).len(), 11);
    assert_eq!(simulation.process(ProcessId(0)).next, 2, "a deferred wake-up must run once");
}

#[test]
fn a_killed_process_receives_nothing_until_its_restart() {
    let mut simulation = counter_pair(1, LinkQuality::GOOD);
    simulation.run_for(Duration::from_millis(35));
    simulation.kill(ProcessId(0));
    let before = received(&simulation, 0).len();
    simulation.run_for(Duration::from_millis(100));
    assert_eq!(received(&simulation, 0).len(), before);
    simulation.restart(ProcessId(0), |dead| Counter { next: dead.next, ..Counter::new(1) });
    simulation.run_for(Duration::from_millis(50));
    assert!(!received(&simulation, 0).is_empty());
    assert_eq!(simulation.process(ProcessId(0)).next, 8);
}

#[test]
fn a_cut_drops_messages_in_both_directions_until_healed() {
    let mut simulation = counter_pair(1, LinkQuality::GOOD);
    simulation.cut_off(&[ProcessId(0)]);
    simulation.run_for(Duration::from_millis(95));
    assert_eq!(simulation.delivered(), 0);
    simulation.heal();
    simulation.run_for(Duration::from_millis(20));
    assert!(!received(&simulation, 0).is_empty());
    assert!(!received(&simulation, 1).is_empty());
}

#[test]
fn a_fault_plan_is_reproducible_and_ends_every_outage() {
    let targets = [ProcessId(0), ProcessId(1), ProcessId(2)];
    let rates =
        FaultRates { mean_interval: Duration::from_millis(500), longest_outage: Duration::from_secs(2) };
    let draw = |seed| FaultPlan::draw(seed, &targets, Duration::from_secs(60), rates);
    assert_eq!(draw(3), draw(3));
    assert_ne!(draw(3), draw(4));
    let plan = draw(3);
    let count = |wanted: fn(&Fault) -> bool| plan.faults().iter().filter(|(_, fault)| wanted(fault)).count();
    let kills = count(|fault| matches!(fault, Fault::Kill(_)));
    let cuts = count(|fault| matches!(fault, Fault::CutOff(_)));
    assert!(kills > 0 && cuts > 0);
    assert_eq!(kills, count(|fault| matches!(fault, Fault::Restart(_))));
    assert_eq!(cuts, count(|fault| matches!(fault, Fault::Heal)));
    assert!(plan.faults().is_sorted_by_key(|(at, _)| *at));
}
