//! Calls to the platform that the owner of the batch jobs makes: usage reports and scaling orders.
//!
//! `usage::reporter` and `scaling` determine what is due, and `core::duties` defines the calls. This module
//! decides when a call may be sent.
//!
//! Invariants: a call is sent only after a record of it is committed and the lease of the previous holder has
//! expired; a usage window is reported exactly as the log holds it.

use std::collections::BTreeMap;

use super::{Action, Controller, ItemStage, LiveItem};
use crate::batch::record::Record;
use crate::decision::{Component, Decision};
use crate::duties::{DutyCall, DutyOutcome, USAGE_SUBJECT};
use crate::identity::BatchId;
use crate::ingress::routes::RouteTable;
use crate::scaling::ObservedService;
use crate::time::Timestamp;
use crate::usage::meter::UsageReport;
use crate::usage::reporter::ReportDelta;
use crate::usage::window::WallTime;

impl Controller {
    /// Adds the usage that a node counted. It is committed once
    /// [`crate::usage::account::UsageAccount::through`] has reached the end of the report.
    pub fn record_usage(&mut self, now: Timestamp, report: &UsageReport) {
        let Some(usage) = &mut self.duties.usage else { return };
        let Some(added) = usage.accept(self.ledger.usage(), report, now) else { return };
        let (source, through) = (report.source.clone(), report.through());
        let ReportDelta { counts, late, discarded } = added;
        for (requests, reason) in [(late, "counted_later"), (discarded, "left_out")] {
            if requests > 0 {
                let decision = Decision::new(Component::Duty, "usage_late", reason, &source);
                self.record_decision(decision.with("requests", requests));
            }
        }
        self.append(now, vec![Record::UsageCounted { source, through, counts }]);
    }

    /// Starts the calls to the platform that are due.
    pub fn tick_duties(&mut self, now: Timestamp, wall: WallTime) {
        if let Some(usage) = &mut self.duties.usage {
            usage.observe_own_clock(self.lease.holder.as_str(), wall, now);
        }
        if !self.is_confirmed {
            return;
        }
        self.close_windows(now);
        self.report_usage(now);
        self.order_replicas(now);
    }

    fn close_windows(&mut self, now: Timestamp) {
        let Some(usage) = &mut self.duties.usage else { return };
        let Some(window) = usage.close_next(self.ledger.usage(), now) else { return };
        self.append(now, vec![Record::UsageClosed(window)]);
    }

    fn report_usage(&mut self, now: Timestamp) {
        let clock_ms = self.clock_ms(now);
        let Some(usage) = &mut self.duties.usage else { return };
        if !self.lease.allows(self.ledger.last_order(USAGE_SUBJECT), clock_ms) {
            return;
        }
        let Some((window, counts)) = usage.next_unreported(self.ledger.usage(), now) else { return };
        let call = DutyCall::Usage { window, counts: counts.clone() };
        self.begin_duty(now, clock_ms, call, Vec::new());
    }

    fn order_replicas(&mut self, now: Timestamp) {
        if !self.duties.scaling.as_mut().is_some_and(|plan| plan.is_due(now)) {
            return;
        }
        let (Some(routes), Some(mut plan)) = (self.routes.clone(), self.duties.scaling.take()) else {
            return;
        };
        let clock_ms = self.clock_ms(now);
        for (service, bounds) in
            routes.services.iter().filter_map(|(name, service)| Some((name, service.scaling.as_ref()?)))
        {
            let Some(observed) = self.observed(&routes, service) else { continue };
            let earlier = |zone: &str| self.ledger.scaled().get(&(service.clone(), zone.to_owned())).copied();
            for order in plan.next(service, bounds, &observed, earlier, now) {
                let (service, zone, desired) = (order.service.clone(), order.zone.clone(), order.desired);
                let decision = Decision::new(Component::Duty, "replicas_ordered", "demand", &service);
                let ready = observed.ready.get(&zone).copied().unwrap_or(0);
                let decision = decision.with("zone", &zone).with("desired", desired).with("ready", ready);
                let renewable =
                    observed.renewable.map_or_else(|| "unknown".to_owned(), |count| count.to_string());
                self.record_decision(
                    decision
                        .with("demand", observed.demand)
                        .with("slots", observed.slots)
                        .with("renewable", renewable),
                );
                let call = DutyCall::Scale(order);
                if self.lease.allows(self.ledger.last_order(&call.subject()), clock_ms) {
                    self.begin_duty(now, clock_ms, call, vec![Record::Scaled { service, zone, desired }]);
                } else if let DutyCall::Scale(order) = call {
                    // The previous holder's order may still be in effect: this one is sent when its lease has
                    // expired.
                    plan.order_ended(&order, bounds.start_time, false, now);
                }
            }
        }
        self.duties.scaling = Some(plan);
    }

    fn begin_duty(&mut self, now: Timestamp, clock_ms: u64, call: DutyCall, mut records: Vec<Record>) {
        let (replica, holder) = (call.subject(), self.lease.holder.clone());
        self.pending_calls.insert(replica.clone(), call);
        records.push(Record::Ordered { replica, holder, at_ms: clock_ms });
        self.append(now, records);
    }

    /// Returns the replicas and the demand of a service, or `None` while no replica outside evacuated zones
    /// is listed. Evacuated zones are left out: their capacity is ordered in other zones where it is needed,
    /// and nothing is ordered in them.
    fn observed(&self, routes: &RouteTable, service: &str) -> Option<ObservedService> {
        let members = self.listed.records.values().filter(|record| record.service == service);
        let members = members.filter(|record| !self.gate.is_evacuated(record));
        let mut ready: BTreeMap<String, u32> = BTreeMap::new();
        let mut slots = 0;
        for record in members {
            slots = slots.max(record.slots);
            *ready.entry(record.zone.clone()).or_default() += u32::from(!record.is_draining);
        }
        if ready.is_empty() {
            return None;
        }
        for (of_service, zone) in self.ledger.scaled().keys() {
            if of_service == service && !self.gate.evacuated().zones.contains(zone) {
                ready.entry(zone.clone()).or_default();
            }
        }
        let is_generating = |live: &LiveItem| live.stage == ItemStage::Generating;
        let is_of_service = |batch: &BatchId| {
            let job = self.ledger.job(batch);
            let route = job.and_then(|job| routes.by_name(&job.job.route));
            route.is_some_and(|route| route.services.iter().any(|part| part.service == service))
        };
        let of_service: BTreeMap<&BatchId, bool> =
            self.tallies.keys().map(|batch| (batch, is_of_service(batch))).collect();
        let demand = self.items.iter().filter(|((batch, _), live)| {
            is_generating(live) && of_service.get(batch).copied().unwrap_or(false)
        });
        let demand = u32::try_from(demand.count()).unwrap_or(u32::MAX);
        let renewable = self
            .pools
            .get(service)
            .and_then(|pool| self.loads.renewable(service, &self.replicas, &self.gate, *pool));
        Some(ObservedService { ready, slots, demand, renewable })
    }

    /// Handles the end of a call.
    pub fn duty_ended(&mut self, now: Timestamp, call: &DutyCall, end: DutyOutcome) {
        let is_taken = end == DutyOutcome::Taken;
        match call {
            DutyCall::Usage { window, counts } => {
                let requests: u64 = counts.values().sum();
                let decision = Decision::new(Component::Duty, "usage_told", end.as_str(), window);
                self.record_decision(decision.with("tenants", counts.len()).with("requests", requests));
                if let Some(usage) = &mut self.duties.usage {
                    usage.report_answered(*window, is_taken, now);
                }
                if is_taken {
                    self.append(now, vec![Record::UsageDelivered(*window)]);
                }
            }
            DutyCall::Scale(order) => {
                let decision =
                    Decision::new(Component::Duty, "replicas_order_ended", end.as_str(), &order.service);
                self.record_decision(decision.with("zone", &order.zone).with("desired", order.desired));
                let bounds = self
                    .routes
                    .as_ref()
                    .and_then(|routes| routes.services.get(&order.service)?.scaling.as_ref());
                let start_time = bounds.map(|bounds| bounds.start_time).unwrap_or_default();
                if let Some(plan) = &mut self.duties.scaling {
                    plan.order_ended(order, start_time, is_taken, now);
                }
            }
        }
    }

    /// Sends a call whose record is committed.
    pub(super) fn call_duty(&mut self, subject: &str) {
        self.actions.extend(self.pending_calls.remove(subject).map(Action::Duty));
    }
}
