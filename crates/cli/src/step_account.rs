//! Time breakdown of a trainer's steps, computed from the decisions that the owner logs.
//!
//! A trainer waits for a number of complete groups. The last item of the group that completes this number determines the
//! duration of the step, so the phases of this item are the time breakdown of the step.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::log_lines::{LogLine, text, time_ms};

/// One run of an item at a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RunAccount {
    /// The replica.
    pub replica: String,
    /// Duration of the run, in milliseconds.
    pub run_ms: u64,
    /// Reason of its end; empty if the logs don't contain it.
    pub end: String,
}

/// Time breakdown of one step. Durations are in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct StepAccount {
    /// The trainer's step.
    pub step: String,
    /// The batch job.
    pub batch: String,
    /// Time at which the batch job was taken, in milliseconds since the first step in the logs.
    pub taken_ms: u64,
    /// The item that completed the step; empty if too few groups were completed.
    pub item: String,
    /// Number of groups that the trainer waited for.
    pub desired: u64,
    /// Number of groups that were completed.
    pub whole: u64,
    /// From the time the batch job was taken to the item's first run.
    pub wait_ms: u64,
    /// Total duration of the item's runs.
    pub run_ms: u64,
    /// Time between its runs, after a failure, a move to another replica or the loss of the owner.
    pub gap_ms: u64,
    /// From the end of its last run to its score.
    pub score_ms: u64,
    /// From its score to the completion of its group.
    pub list_ms: u64,
    /// From the completion of its group until the trainer ended the step.
    pub read_ms: u64,
    /// From the time the batch job was taken to its end.
    pub total_ms: u64,
    /// The runs of the item.
    pub runs: Vec<RunAccount>,
    /// Number of takeovers by another owner during the step.
    pub takeovers: u64,
}

#[derive(Default)]
struct ItemTimes {
    starts: Vec<(u64, String)>,
    ends: Vec<(u64, String)>,
    scored_at: Option<u64>,
}

#[derive(Default)]
struct BatchTimes {
    step: String,
    taken_at: u64,
    ended_at: Option<u64>,
    desired: u64,
    whole: u64,
    /// The last item of the group that completed the desired number of groups, and the time.
    completed: Option<(String, u64)>,
    items: BTreeMap<String, ItemTimes>,
}

/// Returns the time breakdown of every step in the logs, ordered by the time it was taken.
pub fn account_steps(lines: &[LogLine]) -> Vec<StepAccount> {
    let mut batches: BTreeMap<String, BatchTimes> = BTreeMap::new();
    let mut takeovers = Vec::new();
    for line in lines {
        let Some(at) = time_ms(line) else { continue };
        match text(line, "message") {
            "taken_over" => takeovers.push(at),
            "batch_taken" => {
                let batch = batches.entry(text(line, "id").to_owned()).or_default();
                batch.step = text(line, "step").to_owned();
                batch.taken_at = at;
            }
            "batch_ended" => {
                if let Some(batch) = batches.get_mut(text(line, "id")) {
                    batch.ended_at.get_or_insert(at);
                }
            }
            _ => {
                if let Some(batch) = batches.get_mut(text(line, "batch")) {
                    batch.record(line, at);
                }
            }
        }
    }
    let first_taken_at = batches.values().map(|batch| batch.taken_at).min().unwrap_or(0);
    let mut accounts: Vec<StepAccount> =
        batches.into_iter().map(|(id, batch)| batch.into_account(id, first_taken_at, &takeovers)).collect();
    accounts.sort_by_key(|account| account.taken_ms);
    accounts
}

impl BatchTimes {
    fn record(&mut self, line: &LogLine, at: u64) {
        let item = text(line, "id").to_owned();
        let replica = text(line, "replica").to_owned();
        let reason = text(line, "reason").to_owned();
        match text(line, "message") {
            "run_started" => self.items.entry(item).or_default().starts.push((at, replica)),
            "run_ended" | "run_stopped" => self.items.entry(item).or_default().ends.push((at, reason)),
            "score_ended" if reason == "scored" => {
                let item = text(line, "item").to_owned();
                self.items.entry(item).or_default().scored_at = Some(at);
            }
            "group_whole" => {
                // Other releases log no numbers here; such a line doesn't complete a step.
                let number = |field: &str| text(line, field).parse().unwrap_or(0);
                self.desired = number("desired");
                self.whole = self.whole.max(number("whole"));
                if self.completed.is_none() && self.whole >= self.desired {
                    self.completed = Some((item, at));
                }
            }
            _ => {}
        }
    }

    fn into_account(self, batch: String, first_taken_at: u64, takeovers: &[u64]) -> StepAccount {
        let ended_at = self.ended_at.or(self.completed.as_ref().map(|(_, at)| *at));
        let step_end = ended_at.unwrap_or(self.taken_at);
        let takeover_count = takeovers.iter().filter(|at| (self.taken_at..=step_end).contains(*at)).count();
        let mut account = StepAccount {
            step: self.step,
            batch,
            taken_ms: self.taken_at - first_taken_at,
            desired: self.desired,
            whole: self.whole,
            total_ms: step_end - self.taken_at,
            takeovers: takeover_count as u64,
            ..StepAccount::default()
        };
        let Some((item, completed_at)) = self.completed else { return account };
        account.read_ms = step_end.saturating_sub(completed_at);
        if let Some(times) = self.items.get(&item) {
            times.fill_account(&mut account, self.taken_at, completed_at);
        }
        account.item = item;
        account
    }
}

impl ItemTimes {
    fn fill_account(&self, account: &mut StepAccount, taken_at: u64, completed_at: u64) {
        let mut ends = self.ends.iter().peekable();
        let mut last_end = taken_at;
        for (number, (started, replica)) in self.starts.iter().enumerate() {
            while ends.peek().is_some_and(|(at, _)| at < started) {
                ends.next();
            }
            // A run without a logged end counts up to the start of the next run, or to the completion of the step.
            let next = self.starts.get(number + 1).map_or(completed_at, |(at, _)| *at);
            let end = ends.peek().filter(|(at, _)| *at <= next);
            let (ended, reason) = end.map_or((next, String::new()), |(at, reason)| (*at, reason.clone()));
            let idle_ms = started.saturating_sub(last_end);
            if number == 0 {
                account.wait_ms = idle_ms
            } else {
                account.gap_ms += idle_ms
            }
            account.run_ms += ended.saturating_sub(*started);
            last_end = ended;
            account.runs.push(RunAccount {
                replica: replica.clone(),
                run_ms: ended.saturating_sub(*started),
                end: reason,
            });
        }
        let scored_at = self.scored_at.unwrap_or(last_end).clamp(last_end, completed_at.max(last_end));
        account.score_ms = scored_at - last_end;
        account.list_ms = completed_at.saturating_sub(scored_at);
    }
}
