//! The owner's reports of waiting work: metrics and the decisions about shortages.

use std::time::Duration;

use lichenpulley_core::batch::queue_report::QueueReport;
use lichenpulley_core::batch::shortage_summary::ShortageSummaries;
use lichenpulley_core::time::Timestamp;

use super::Owner;

/// Interval between two reports. A report looks at every item, of which there may be thousands, so it is not made for
/// each event; a shortage lasts for seconds.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// When the last report was made, and the shortages that it showed.
#[derive(Default)]
pub(super) struct QueueReporter {
    reported_at: Option<Timestamp>,
    shortages: ShortageSummaries,
}

impl Owner {
    /// Reports the waiting work if a report is due.
    pub(super) fn report_queue(&mut self) {
        let now = self.now();
        let last = self.queue_reporter.reported_at;
        if last.is_some_and(|last| now.saturating_since(last) < REPORT_INTERVAL) {
            return;
        }
        self.queue_reporter.reported_at = Some(now);
        let report = self.controller.queue_report(now);
        self.context.metrics.set_batch_queue(self.scope.metric_label(), &report);
        for decision in self.queue_reporter.shortages.observe(now, &report) {
            self.context.decisions.record(decision);
        }
    }

    /// Removes the metrics of the waiting work, which another owner reports from now on.
    pub(super) fn clear_queue_metrics(&self) {
        self.context.metrics.set_batch_queue(self.scope.metric_label(), &QueueReport::default());
    }
}
