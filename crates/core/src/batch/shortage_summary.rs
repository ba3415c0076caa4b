//! Summarises the shortages of a batch shard for operators: one decision when a shortage begins, one every five
//! seconds while it lasts, and one when it ends.
//!
//! Load pattern: in a shortage the owner starts and ends hundreds of runs in a second, and the decisions about single
//! runs show neither that there is a shortage nor whom it delays.

use std::collections::BTreeMap;
use std::time::Duration;

use super::queue_report::{QueueReport, ServiceQueue};
use crate::decision::{Component, Decision};
use crate::time::{Timestamp, whole_millis};

/// Interval of the decisions while a shortage lasts.
const REPEAT_INTERVAL: Duration = Duration::from_secs(5);
/// Time without a shortage after which it has ended. Around the threshold a service is short and not short in turns,
/// from one job's end to the next one's submission; each turn is not a shortage of its own.
const END_DELAY: Duration = Duration::from_secs(2);

/// A shortage of one service.
#[derive(Clone, Copy, Debug)]
struct Shortage {
    began_at: Timestamp,
    told_at: Timestamp,
    last_seen_at: Timestamp,
}

/// The shortages of a shard that are under way. A new owner starts without any, and tells those that last as begun.
#[derive(Clone, Debug, Default)]
pub struct ShortageSummaries {
    by_service: BTreeMap<String, Shortage>,
}

impl ShortageSummaries {
    /// Returns the decisions that follow from a report made at `now`.
    pub fn observe(&mut self, now: Timestamp, report: &QueueReport) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for queue in report.services.iter().filter(|queue| queue.is_short) {
            let begun = Shortage { began_at: now, told_at: now, last_seen_at: now };
            match self.by_service.get_mut(&queue.service) {
                None => {
                    self.by_service.insert(queue.service.clone(), begun);
                    decisions.push(summary("begun", report, queue, begun, now));
                }
                Some(shortage) => {
                    shortage.last_seen_at = now;
                    if now.saturating_since(shortage.told_at) >= REPEAT_INTERVAL {
                        shortage.told_at = now;
                        decisions.push(summary("lasts", report, queue, *shortage, now));
                    }
                }
            }
        }
        self.by_service.retain(|service, shortage| {
            if now.saturating_since(shortage.last_seen_at) < END_DELAY {
                return true;
            }
            let queue = report.services.iter().find(|queue| queue.service == *service);
            let idle = ServiceQueue { service: service.clone(), ..ServiceQueue::default() };
            decisions.push(summary("ended", report, queue.unwrap_or(&idle), *shortage, now));
            false
        });
        decisions
    }
}

fn summary(
    reason: &str,
    report: &QueueReport,
    queue: &ServiceQueue,
    shortage: Shortage,
    now: Timestamp,
) -> Decision {
    let lasted = whole_millis(now.saturating_since(shortage.began_at));
    let drain = queue.drain_ms.map_or_else(|| "unknown".to_owned(), |drain| drain.to_string());
    let decision = Decision::new(Component::Rollout, "shortage", reason, &queue.service)
        .with("lasted_ms", lasted)
        .with("slots", queue.slots)
        .with("used_slots", queue.used_slots)
        .with("drain_ms", drain)
        .with("refused_jobs", report.refused_jobs);
    queue.levels().into_iter().fold(decision, |decision, (priority, level)| {
        let text = format!(
            "running {}, waiting {}, in time {}, late {}, surplus {}, oldest {} ms",
            level.running,
            level.waiting,
            level.groups_in_time,
            level.groups_late,
            level.groups_surplus,
            level.oldest_waiting_ms,
        );
        decision.with(&format!("priority_{priority}"), text)
    })
}
