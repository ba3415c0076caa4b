//! The owner's report of waiting work for operators.

use lichenpulley_core::batch::queue_report::{QueueReport, ServiceQueue, TrainerQueue};

use super::Owner;

/// Stands for a service or a route that the controller does not name.
const UNNAMED: &str = "-";

impl Owner {
    /// Returns the waiting work of this shard. The controller only counts all items, so the report has one entry
    /// without a service.
    pub(super) fn queue_report(&self) -> QueueReport {
        let (running, waiting) = self.controller.item_counts();
        if running + waiting == 0 {
            return QueueReport::default();
        }
        let [running, waiting] = [running, waiting].map(|count| u32::try_from(count).unwrap_or(u32::MAX));
        let trainer = TrainerQueue { route: UNNAMED.to_owned(), running, waiting, ..TrainerQueue::default() };
        let service = ServiceQueue {
            service: UNNAMED.to_owned(),
            used_slots: running,
            trainers: vec![trainer],
            ..ServiceQueue::default()
        };
        QueueReport { services: vec![service], refused_jobs: 0 }
    }
}
