//! What is checked after every step of a run: revisions never go back, accepted changes spread in time, readers are few.

use std::collections::BTreeMap;
use std::time::Duration;

use lichenpulley_core::configuration::dissemination::region_of;
use lichenpulley_core::identity::Revision;
use lichenpulley_core::time::Timestamp;
use lichenpulley_simulation::ProcessId;

use super::{Spreading, World};
use crate::simulations::configuration::checks::Violation;
use crate::simulations::configuration::node::Node;
use crate::simulations::configuration::operator::{ChangeEnd, ChangeRecord, Operator};
use crate::simulations::configuration::packet::{PLATFORM, node_process};
use crate::simulations::configuration::platform::Platform;

/// Time between two updates of the failure detector.
const VIEW_STEP: Duration = Duration::from_millis(250);
/// Readers are counted once no node and no cut has come or gone within this time.
const VIEWS_SETTLED: Duration = Duration::from_secs(10);

impl World {
    /// Observes every node and operator, and checks what must hold at any time.
    pub(super) fn observe(&mut self) {
        let now = self.simulation.now();
        for number in 0..self.options.nodes {
            let process = node_process(number);
            let running = self.simulation.is_alive(process) && !self.simulation.is_frozen(process);
            if std::mem::replace(&mut self.reachability.running[number], running) != running {
                self.last_change = now;
            }
            let connected = self.reachability.is_connected(number);
            let since = self.healthy_since[number].or(Some(now));
            self.healthy_since[number] = since.filter(|_| connected);
            self.observe_log(number);
        }
        if self.views_due <= now {
            self.views_due = now + VIEW_STEP;
            self.update_views(now);
        }
        self.take_new_records(now);
        self.check_spreading(now);
        self.count_readers(now);
    }

    fn update_views(&mut self, now: Timestamp) {
        self.views.update(&self.reachability, now);
        for number in 0..self.options.nodes {
            let members = self.views.of(number);
            self.simulation.interact_as(node_process(number), |node: &mut Node, now, outbox| {
                node.set_members(members, now, outbox);
            });
        }
    }

    fn observe_log(&mut self, number: usize) {
        let Some(node) = self.node(number) else { return };
        let incarnation = node.incarnation();
        let (seen_incarnation, seen) = self.seen_log[number];
        let seen = if incarnation == seen_incarnation { seen } else { 0 };
        let revisions: Vec<Revision> =
            node.in_force_log()[seen..].iter().map(|(_, revision)| *revision).collect();
        self.seen_log[number] = (incarnation, seen + revisions.len());
        for revision in revisions {
            let highest = self.highest[number];
            if let Some((from, highest_incarnation)) = highest.filter(|(from, _)| *from > revision) {
                let restarted = highest_incarnation != incarnation;
                self.violate(Violation::WentBack { node: number, from, to: revision, restarted });
            }
            if highest.is_none_or(|(from, _)| from <= revision) {
                self.highest[number] = Some((revision, incarnation));
            }
        }
    }

    pub(super) fn violate(&mut self, violation: Violation) {
        self.report.violations.push((self.seed, violation));
    }

    /// Changes that were answered as accepted begin to be watched.
    fn take_new_records(&mut self, now: Timestamp) {
        let operators: Vec<ProcessId> = self.operator_processes().collect();
        for (number, process) in operators.into_iter().enumerate() {
            let Some(operator) = self.simulation.process_as::<Operator>(process) else { continue };
            let records: Vec<ChangeRecord> = operator.records()[self.seen_records[number]..].to_vec();
            self.seen_records[number] += records.len();
            for record in records {
                let report = &mut self.report;
                match record.end {
                    ChangeEnd::Accepted(revision) => {
                        report.accepted += 1;
                        self.begin_spreading(revision, now);
                    }
                    ChangeEnd::Conflict(_) => report.conflicts += 1,
                    ChangeEnd::NotWritten => report.not_written += 1,
                    ChangeEnd::Unknown => report.unknown += 1,
                }
            }
        }
    }

    fn begin_spreading(&mut self, revision: Revision, now: Timestamp) {
        let has = |number: &usize| self.has(*number, revision);
        let sources = (0..self.options.nodes).filter(has).collect();
        let platform = self.simulation.process_as::<Platform>(PLATFORM);
        let platform_up = platform.is_some_and(|platform| !platform.faults().down);
        self.spreading.push(Spreading { revision, accepted_at: now, sources, platform_up });
    }

    fn has(&self, number: usize, revision: Revision) -> bool {
        self.node(number).and_then(Node::revision).is_some_and(|in_force| in_force >= revision)
    }

    fn check_spreading(&mut self, now: Timestamp) {
        let within = self.options.in_force_within;
        let spreading = std::mem::take(&mut self.spreading);
        let due = |change: &Spreading| now.saturating_since(change.accepted_at) >= within;
        let (due, rest): (Vec<Spreading>, Vec<Spreading>) = spreading.into_iter().partition(due);
        self.spreading = rest;
        for change in due {
            self.check_in_force(&change);
        }
    }

    /// Invariant: an accepted change is in force on every node that has been running and connected since it was
    /// accepted, if it could come from somewhere: a node that had it has been so too, or the platform has been up.
    fn check_in_force(&mut self, change: &Spreading) {
        let whole =
            |number: &usize| self.healthy_since[*number].is_some_and(|since| since <= change.accepted_at);
        let has_source = change.platform_up || change.sources.iter().any(whole);
        if !has_source {
            return;
        }
        let missing =
            (0..self.options.nodes).filter(whole).filter(|number| !self.has(*number, change.revision));
        let missing: Vec<usize> = missing.collect();
        for node in missing {
            let in_force = self.node(node).and_then(Node::revision);
            self.violate(Violation::NotInForce { node, revision: change.revision, in_force });
        }
    }

    fn count_readers(&mut self, now: Timestamp) {
        let mut readers: BTreeMap<String, usize> = BTreeMap::new();
        for number in 0..self.options.nodes {
            let reads = self.node(number).is_some_and(Node::is_reading);
            if reads && self.reachability.is_connected(number) {
                let region = region_of(self.views.zone(number)).to_owned();
                *readers.entry(region).or_default() += 1;
            }
        }
        let settled =
            now.saturating_since(self.last_change) >= VIEWS_SETTLED && self.reachability.cuts.is_empty();
        let allowed = self.options.dissemination.readers_per_region;
        for (region, count) in readers {
            self.report.most_readers = self.report.most_readers.max(count);
            if settled && count > allowed {
                self.violate(Violation::Readers { region, count });
            }
        }
    }
}
