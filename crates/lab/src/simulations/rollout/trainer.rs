//! The trainer: pulls, trains, saves its cursor with its state, and publishes weights. Holds the checks.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lichenpulley_core::identity::WeightVersion;
use lichenpulley_core::rollout::{PullRefusal, PullRequest, PullResponse, Sample, Slot};
use lichenpulley_core::time::Timestamp;
use lichenpulley_simulation::{Outbox, Process, ProcessId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::message::{ENGINES, FIRST_ENGINE, FIRST_OWNER, Message, OWNERS, true_version};
use super::violation::Violation;

/// A pull without an answer is sent again after this time.
const PULL_TIMEOUT: Duration = Duration::from_millis(120);
/// Pause after an empty answer.
const EMPTY_PAUSE: Duration = Duration::from_millis(20);
/// Time to train on a batch.
const TRAINING: Duration = Duration::from_millis(60);
/// How often the published version is sent to all engines again.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(50);
/// At most this many samples in a pull.
const MAX_SAMPLES: u32 = 4;

/// What the trainer saves, all at once.
#[derive(Clone, Default)]
struct Saved {
    cursor: u64,
    version: WeightVersion,
    slots: BTreeSet<Slot>,
    finished: bool,
}

enum Activity {
    Pulling { request_id: u64, until: Timestamp },
    Pausing { until: Timestamp },
    Training { batch: PullResponse, until: Timestamp },
}

/// What the trainer observed, kept over its crashes.
#[derive(Clone, Default)]
struct Observed {
    violations: Vec<Violation>,
    answers: BTreeMap<(u64, WeightVersion), Vec<Sample>>,
    asked: BTreeMap<u64, PullRequest>,
    last_request: u64,
}

/// The trainer.
pub(super) struct Trainer {
    random: Pcg64Mcg,
    staleness_bound: u64,
    /// While set, the version also goes up without a batch, and pulls go to any owner.
    restless: bool,
    saved: Saved,
    observed: Observed,
    activity: Activity,
    owner: usize,
    next_publish: Timestamp,
}

impl Trainer {
    pub(super) fn new(seed: u64, staleness_bound: u64) -> Self {
        Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            staleness_bound,
            restless: true,
            saved: Saved::default(),
            observed: Observed::default(),
            activity: Activity::Pausing { until: Timestamp::ORIGIN },
            owner: 0,
            next_publish: Timestamp::ORIGIN,
        }
    }

    /// The trainer after a restart: nothing but what it saved is left.
    pub(super) fn restarted(&self) -> Self {
        let mut random = self.random.clone();
        Self {
            random: Pcg64Mcg::seed_from_u64(random.random()),
            staleness_bound: self.staleness_bound,
            restless: self.restless,
            saved: self.saved.clone(),
            observed: self.observed.clone(),
            activity: Activity::Pausing { until: Timestamp::ORIGIN },
            owner: self.owner,
            next_publish: Timestamp::ORIGIN,
        }
    }

    /// From now on the trainer keeps to one owner and publishes only after a batch.
    pub(super) fn settle(&mut self) {
        self.restless = false;
    }

    pub(super) fn is_finished(&self) -> bool {
        self.saved.finished
    }

    pub(super) fn violations(&self) -> &[Violation] {
        &self.observed.violations
    }

    pub(super) fn saved_slots(&self) -> &BTreeSet<Slot> {
        &self.saved.slots
    }

    fn pull(&mut self, now: Timestamp, outbox: &mut Outbox<Message>) {
        if self.restless && self.random.random_bool(0.1) {
            self.saved.version = self.saved.version.next();
        }
        if self.restless && self.random.random_bool(0.2) {
            self.owner = self.random.random_range(0..OWNERS);
        }
        self.observed.last_request += 1;
        let request_id = self.observed.last_request;
        let request = PullRequest {
            cursor: self.saved.cursor,
            max_samples: MAX_SAMPLES,
            trainer_version: self.saved.version,
        };
        self.observed.asked.insert(request_id, request.clone());
        outbox.send(ProcessId(FIRST_OWNER + self.owner), Message::Pull { request_id, request });
        self.activity = Activity::Pulling { request_id, until: now + PULL_TIMEOUT };
    }

    /// Also answers to pulls that were given up are compared: the same question has one answer.
    fn compare(&mut self, request_id: u64, answer: &Result<PullResponse, PullRefusal>) {
        let Some(request) = self.observed.asked.get(&request_id) else { return };
        let Ok(PullResponse { samples, .. }) = answer else { return };
        if samples.is_empty() {
            return;
        }
        let key = (request.cursor, request.trainer_version);
        let first = self.observed.answers.entry(key).or_insert_with(|| samples.clone());
        if first != samples {
            let violation = Violation::OtherBytes(format!("cursor {} version {}", key.0, key.1));
            self.observed.violations.push(violation);
        }
    }

    fn handle_answer(&mut self, now: Timestamp, request_id: u64, answer: Result<PullResponse, PullRefusal>) {
        self.compare(request_id, &answer);
        if !matches!(self.activity, Activity::Pulling { request_id: waited, .. } if waited == request_id) {
            return;
        }
        match answer {
            Err(refusal) => {
                self.observed.violations.push(Violation::Refused(refusal.to_string()));
                self.activity = Activity::Pausing { until: now + PULL_TIMEOUT };
            }
            Ok(response) if response.finished && response.samples.is_empty() => {
                self.saved.finished = true;
                self.activity = Activity::Pausing { until: now + Duration::from_secs(3_600) };
            }
            Ok(response) if response.samples.is_empty() => {
                self.activity = Activity::Pausing { until: now + EMPTY_PAUSE };
            }
            Ok(batch) => self.activity = Activity::Training { batch, until: now + TRAINING },
        }
    }

    /// Saves the batch, the cursor and the next version at once.
    fn save(&mut self, batch: &PullResponse) {
        for sample in &batch.samples {
            self.check(sample);
        }
        self.saved.slots.extend(batch.samples.iter().map(|sample| sample.slot));
        self.saved.cursor = batch.next_cursor;
        self.saved.version = self.saved.version.next();
    }

    fn check(&mut self, sample: &Sample) {
        let slot = sample.slot;
        let mut found = Vec::new();
        if self.saved.slots.contains(&slot) {
            found.push(Violation::Doubled(slot.to_string()));
        }
        let truths = sample.tokens.iter().map(|token| true_version(*token));
        let oldest = truths.clone().min().unwrap_or_default();
        let staleness = self.saved.version.0.saturating_sub(oldest.0);
        if staleness > self.staleness_bound {
            found.push(Violation::TooOld(format!("{slot} is {staleness} versions old")));
        }
        let named = sample
            .spans
            .iter()
            .flat_map(|span| std::iter::repeat_n(span.weight_version, span.token_count as usize));
        if !truths.eq(named) {
            found.push(Violation::WrongVersions(slot.to_string()));
        }
        self.observed.violations.extend(found);
    }
}

impl Process for Trainer {
    type Message = Message;

    fn start(&mut self, now: Timestamp, _outbox: &mut Outbox<Message>) {
        self.activity = Activity::Pausing { until: now };
        self.next_publish = now;
    }

    fn receive(&mut self, now: Timestamp, _from: ProcessId, message: Message, _outbox: &mut Outbox<Message>) {
        if let Message::PullAnswer { request_id, answer } = message {
            self.handle_answer(now, request_id, answer);
        }
    }

    fn wake(&mut self, now: Timestamp, outbox: &mut Outbox<Message>) {
        if self.next_publish <= now {
            self.next_publish = now + PUBLISH_INTERVAL;
            let version = self.saved.version;
            (0..ENGINES).for_each(|engine| {
                outbox.send(ProcessId(FIRST_ENGINE + engine), Message::Load { version });
            });
        }
        let idle = Activity::Pausing { until: now };
        match std::mem::replace(&mut self.activity, idle) {
            Activity::Training { batch, until } if until <= now => {
                self.save(&batch);
                self.pull(now, outbox);
            }
            Activity::Pulling { until, .. } | Activity::Pausing { until } if until <= now => {
                self.pull(now, outbox);
            }
            waiting => self.activity = waiting,
        }
    }

    fn next_wake(&self) -> Option<Timestamp> {
        if self.saved.finished {
            return None;
        }
        let until = match &self.activity {
            Activity::Pulling { until, .. }
            | Activity::Pausing { until }
            | Activity::Training { until, .. } => *until,
        };
        Some(until.min(self.next_publish))
    }
}
