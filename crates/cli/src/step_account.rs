//! Where the time of a trainer's steps went, from the owner's decisions.
//!
//! A trainer waits for a number of whole groups. The last item of the group that completes this number decides how long the
//! step took; its way through the system is the account of the step.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::log_lines::{LogLine, text, time_ms};

/// One run of an item at a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RunAccount {
    /// The replica.
    pub replica: String,
    /// How long it ran, in milliseconds.
    pub run_ms: u64,
    /// How it ended; empty where the logs don't say.
    pub end: String,
}

/// The account of one step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct StepAccount {
    /// The trainer's step.
    pub step: String,
    /// The batch job.
    pub batch: String,
    /// When it was taken, in milliseconds since the first step in the logs.
    pub taken_ms: u64,
    /// The item that decided; empty where too few groups became whole.
    pub item: String,
    /// Groups that the trainer waited for, and those that became whole.
    pub desired: u64,
    /// Groups that became whole.
    pub whole: u64,
    /// From the taking of the step to the item's first run.
    pub wait_ms: u64,
    /// The item's runs.
    pub run_ms: u64,
    /// Between its runs: it broke off, was moved, or its owner was lost.
    pub gap_ms: u64,
    /// From its last event to its score.
    pub score_ms: u64,
    /// From its score to its place in the list.
    pub list_ms: u64,
    /// From there to the trainer's end of the step.
    pub read_ms: u64,
    /// From the taking to the end.
    pub total_ms: u64,
    /// The runs of the item.
    pub runs: Vec<RunAccount>,
    /// Owners that took over meanwhile.
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
    /// The last item of the group that made enough groups whole, and when.
    decided: Option<(String, u64)>,
    items: BTreeMap<String, ItemTimes>,
}

/// The accounts of all steps in the logs, in the order in which they were taken.
pub fn account(lines: &[LogLine]) -> Vec<StepAccount> {
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
                    batch.note(line, at);
                }
            }
        }
    }
    let first = batches.values().map(|batch| batch.taken_at).min().unwrap_or(0);
    let mut accounts: Vec<StepAccount> =
        batches.into_iter().map(|(id, batch)| batch.account(id, first, &takeovers)).collect();
    accounts.sort_by_key(|account| account.taken_ms);
    accounts
}

impl BatchTimes {
    fn note(&mut self, line: &LogLine, at: u64) {
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
                // A line without the number is of another release: it completes no step.
                let number = |field: &str| text(line, field).parse().unwrap_or(0);
                self.desired = number("desired");
                self.whole = self.whole.max(number("whole"));
                if self.decided.is_none() && self.whole >= self.desired {
                    self.decided = Some((item, at));
                }
            }
            _ => {}
        }
    }

    fn account(self, batch: String, first: u64, takeovers: &[u64]) -> StepAccount {
        let ended_at = self.ended_at.or(self.decided.as_ref().map(|(_, at)| *at));
        let until = ended_at.unwrap_or(self.taken_at);
        let meanwhile = takeovers.iter().filter(|at| (self.taken_at..=until).contains(*at)).count();
        let mut account = StepAccount {
            step: self.step,
            batch,
            taken_ms: self.taken_at - first,
            desired: self.desired,
            whole: self.whole,
            total_ms: until - self.taken_at,
            takeovers: meanwhile as u64,
            ..StepAccount::default()
        };
        let Some((item, decided_at)) = self.decided else { return account };
        account.read_ms = until.saturating_sub(decided_at);
        if let Some(times) = self.items.get(&item) {
            times.split(&mut account, self.taken_at, decided_at);
        }
        account.item = item;
        account
    }
}

impl ItemTimes {
    fn split(&self, account: &mut StepAccount, taken_at: u64, decided_at: u64) {
        let mut ends = self.ends.iter().peekable();
        let mut last_end = taken_at;
        for (number, (began, replica)) in self.starts.iter().enumerate() {
            while ends.peek().is_some_and(|(at, _)| at < began) {
                ends.next();
            }
            // A run without an end in the logs went on until the next one, or until its owner was lost.
            let next = self.starts.get(number + 1).map_or(decided_at, |(at, _)| *at);
            let end = ends.peek().filter(|(at, _)| *at <= next);
            let (ended, reason) = end.map_or((next, String::new()), |(at, reason)| (*at, reason.clone()));
            let pause = began.saturating_sub(last_end);
            if number == 0 {
                account.wait_ms = pause
            } else {
                account.gap_ms += pause
            }
            account.run_ms += ended.saturating_sub(*began);
            last_end = ended;
            account.runs.push(RunAccount {
                replica: replica.clone(),
                run_ms: ended.saturating_sub(*began),
                end: reason,
            });
        }
        let scored_at = self.scored_at.unwrap_or(last_end).clamp(last_end, decided_at.max(last_end));
        account.score_ms = scored_at - last_end;
        account.list_ms = decided_at.saturating_sub(scored_at);
    }
}
