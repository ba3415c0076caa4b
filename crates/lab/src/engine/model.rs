//! The engine as a state machine without I/O: continuous batching with a step time, a priority queue, a prefix
//! cache, resumable streams, fenced orders and weight swaps that take time.
//!
//! The caller hands in requests with the present time, calls [`EngineModel::advance`] when
//! [`EngineModel::next_wake`] has come, and reads streams by token number.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use lichenpulley_core::identity::{AttemptId, ReplicaId, WeightVersion};
use lichenpulley_core::time::Timestamp;
use lichenpulley_protocol::engine::{
    CacheEvents, Command, EngineRole, LoadReport, Order, OrderAccepted, OrderRefused, RefusalReason,
    StreamRequest,
};

use super::answer::Answer;
use super::batch::Batch;
use super::cache::{CacheLookup, PrefixCache};
use super::load::LoadHistory;
use super::stream::{Slice, Stage, Stream};
use super::weights::{Fences, Weights};

/// Tokens of a known answer that count as one block of prefill.
const PRIOR_TOKENS_PER_BLOCK: u32 = 16;

/// Uncached prompt blocks that a stream prefills in one step. Chosen, not measured: with too many, a cached prefix
/// would save nothing that a test can see.
const PREFILL_BLOCKS_PER_STEP: u64 = 4;

/// How long a stream that has ended can still be read. Chosen, not measured: a reader that comes back later finds
/// nothing and has to begin anew.
const RETENTION: Duration = Duration::from_secs(30);

/// How an engine behaves.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// The replica.
    pub replica: ReplicaId,
    /// Streams that run at once.
    pub capacity: u32,
    /// Streams that may wait.
    pub queue_limit: u32,
    /// Time of a step with an empty batch.
    pub step_time: Duration,
    /// Time of a weight swap, during which nothing is generated.
    pub swap_time: Duration,
}

impl EngineConfig {
    /// An engine of the size used in tests and demonstrations.
    pub fn new(replica: ReplicaId) -> Self {
        Self {
            replica,
            capacity: 16,
            queue_limit: 256,
            step_time: Duration::from_millis(5),
            swap_time: Duration::from_millis(200),
        }
    }
}

/// Why a stream was not started.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SubmitError {
    /// Refused before admission.
    #[error("not admitted: {0:?}; try another replica")]
    Refused(RefusalReason),
    /// The attempt ran here before and its stream is gone.
    #[error("attempt {0} ran here already; use a new attempt id")]
    AttemptUsed(AttemptId),
    /// The prior tokens are not the start of this answer.
    #[error("the prior tokens of attempt {0} are not the start of its answer; send those that were received")]
    WrongPriorTokens(AttemptId),
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Submission {
    /// A new stream.
    Admitted,
    /// The attempt has a stream already, to which the caller is attached.
    Attached,
}

/// An engine.
#[derive(Debug)]
pub struct EngineModel {
    config: EngineConfig,
    incarnation: u64,
    role: EngineRole,
    streams: HashMap<AttemptId, Option<Stream>>,
    ended: VecDeque<(Timestamp, AttemptId)>,
    batch: Batch,
    cache: PrefixCache,
    weights: Weights,
    fences: Fences,
    load: LoadHistory,
    step_due: Option<Timestamp>,
    changed: Vec<AttemptId>,
    slow_percent: u32,
    refusing: bool,
}

impl EngineModel {
    /// An idle engine with `weight_version` loaded.
    pub fn new(config: EngineConfig, incarnation: u64, weight_version: WeightVersion) -> Self {
        Self {
            incarnation,
            role: EngineRole::Serving,
            streams: HashMap::new(),
            ended: VecDeque::new(),
            batch: Batch::new(config.capacity as usize),
            cache: PrefixCache::default(),
            weights: Weights::new(weight_version),
            fences: Fences::default(),
            load: LoadHistory::default(),
            step_due: None,
            changed: Vec::new(),
            slow_percent: 100,
            refusing: false,
            config,
        }
    }

    /// Takes a request into the queue, or attaches to the stream that its attempt has already.
    ///
    /// # Errors
    /// See [`SubmitError`]; in each case no stream was started.
    pub fn submit(&mut self, now: Timestamp, request: &StreamRequest) -> Result<Submission, SubmitError> {
        // Never two streams for one attempt: a known id is recognised before anything else.
        match self.streams.get(&request.attempt) {
            Some(Some(_)) => return Ok(Submission::Attached),
            Some(None) => return Err(SubmitError::AttemptUsed(request.attempt.clone())),
            None => {}
        }
        self.check_admission().map_err(SubmitError::Refused)?;
        let answer = Answer::of(&request.prompt, request.seed);
        if !answer.starts_with(&request.prior_tokens) {
            return Err(SubmitError::WrongPriorTokens(request.attempt.clone()));
        }
        let mut stream = Stream::new(request, answer);
        let lookup = self.cache.admit(now, &request.prompt);
        stream.stage = Stage::Queued { prefill_steps: self.prefill_steps(lookup, stream.next_token()) };
        self.streams.insert(request.attempt.clone(), Some(stream));
        self.batch.enqueue(request.attempt.clone(), request.priority);
        self.schedule_step(now);
        self.record_load(now);
        Ok(Submission::Admitted)
    }

    /// Stops a stream and forgets it; false where there was none.
    pub fn cancel(&mut self, now: Timestamp, attempt: &AttemptId) -> bool {
        let Some(entry) = self.streams.get_mut(attempt) else {
            return false;
        };
        let existed = entry.take().is_some();
        self.ended.push_back((now, attempt.clone()));
        self.batch.remove(attempt);
        self.changed.push(attempt.clone());
        self.record_load(now);
        existed
    }

    /// Takes an order, if its epoch is not below the highest seen for its shard.
    ///
    /// # Errors
    /// The highest epoch seen, where the order's is lower.
    pub fn order(&mut self, now: Timestamp, order: &Order) -> Result<OrderAccepted, OrderRefused> {
        self.fences.admit(order)?;
        match order.command {
            Command::LoadWeights { weight_version } => self.weights.begin_fetch(weight_version),
            Command::ChangeRole { role } => self.role = role,
        }
        Ok(OrderAccepted { replica: self.config.replica.clone(), load: self.present_load(now) })
    }

    /// The version that was ordered and must be fetched from the weight store.
    pub fn wanted_weights(&self) -> Option<WeightVersion> {
        self.weights.wanted()
    }

    /// The wanted version is on this machine: the swap begins.
    pub fn weights_fetched(&mut self, now: Timestamp, weight_version: WeightVersion) {
        self.weights.begin_swap(weight_version, now + self.config.swap_time);
    }

    /// When [`Self::advance`] is to be called next.
    pub fn next_wake(&self) -> Option<Timestamp> {
        [self.step_due, self.weights.swap_ends()].into_iter().flatten().min()
    }

    /// Does what is due, and returns the attempts whose streams changed.
    pub fn advance(&mut self, now: Timestamp) -> Vec<AttemptId> {
        self.finish_swap(now);
        if self.step_due.is_some_and(|due| due <= now) {
            self.step_due = None;
            self.step(now);
            self.schedule_step(now);
        }
        self.forget_ended(now);
        std::mem::take(&mut self.changed)
    }

    /// A stream's tokens from number `from` on; `None` where the stream or these tokens are unknown.
    pub fn read(&self, attempt: &AttemptId, from: u32) -> Option<Slice> {
        self.streams.get(attempt)?.as_ref()?.read(from)
    }

    /// The load now, as it rides on a stream's events.
    pub fn present_load(&self, now: Timestamp) -> LoadReport {
        LoadReport {
            role: self.role,
            running: self.batch.running().len() as u32,
            queued: self.batch.waiting() as u32,
            capacity: self.config.capacity,
            tokens_per_second: self.load.tokens_in_last_second(now),
            weight_version: self.weights.loaded(),
            incarnation: self.incarnation,
            age_ms: 0,
        }
    }

    /// The lagging load report. Only the counts lag; role, weights and incarnation are those of now.
    pub fn lagging_load(&self, now: Timestamp) -> LoadReport {
        self.load.lagging(now, self.present_load(now))
    }

    /// Published cache events after a sequence number.
    pub fn cache_events(&self, now: Timestamp, after: u64) -> CacheEvents {
        self.cache.events(now, after)
    }

    /// Makes steps take `percent` of their usual time.
    pub const fn set_step_percent(&mut self, percent: u32) {
        self.slow_percent = percent;
    }

    /// Makes the engine refuse everything new as overloaded.
    pub const fn set_refusing(&mut self, refusing: bool) {
        self.refusing = refusing;
    }

    /// Makes the next swap fail partway, which leaves the engine without weights.
    pub const fn fail_next_swap(&mut self) {
        self.weights.fail_next_swap();
    }

    fn check_admission(&self) -> Result<(), RefusalReason> {
        if self.role == EngineRole::Draining {
            return Err(RefusalReason::Draining);
        }
        if self.weights.lost() {
            return Err(RefusalReason::NoWeights);
        }
        let full = self.batch.waiting() >= self.config.queue_limit as usize;
        if self.refusing || full {
            return Err(RefusalReason::Overloaded);
        }
        Ok(())
    }

    fn prefill_steps(&self, lookup: CacheLookup, prior_tokens: u32) -> u32 {
        let prior_blocks = prior_tokens.div_ceil(PRIOR_TOKENS_PER_BLOCK);
        let missing = lookup.blocks - lookup.cached + u64::from(prior_blocks);
        let steps = missing.div_ceil(PREFILL_BLOCKS_PER_STEP);
        u32::try_from(steps).unwrap_or(u32::MAX)
    }

    /// One step of the batch: each running stream prefills or generates one token.
    fn step(&mut self, now: Timestamp) {
        let Some(weight_version) = self.weights.loaded() else {
            return;
        };
        let mut generated = 0;
        let mut batch = std::mem::take(&mut self.batch);
        batch.retain_running(|attempt| {
            let Some(Some(stream)) = self.streams.get_mut(attempt) else {
                return false;
            };
            if stream.prefill() {
                return true;
            }
            self.changed.push(attempt.clone());
            let before = stream.next_token();
            let whole = stream.generate(weight_version);
            generated += stream.next_token() - before;
            if whole {
                stream.finish();
                self.ended.push_back((now, attempt.clone()));
            }
            !whole
        });
        self.batch = batch;
        self.load.count_tokens(now, generated);
        self.record_load(now);
    }

    /// Fills the batch and sets the time of the next step, unless one is set or nothing can run.
    fn schedule_step(&mut self, now: Timestamp) {
        if self.step_due.is_some() || self.weights.loaded().is_none() {
            return;
        }
        while let Some(attempt) = self.batch.fill_one() {
            if let Some(Some(stream)) = self.streams.get_mut(&attempt) {
                stream.start();
            }
        }
        if self.batch.is_empty() {
            return;
        }
        self.step_due = Some(now + self.config.step_time * self.slow_percent / 100);
    }

    fn finish_swap(&mut self, now: Timestamp) {
        if !self.weights.finish_swap(now) {
            return;
        }
        self.cache.clear(now);
        if self.weights.lost() {
            self.fail_all(now, "its weights were lost in a swap that failed");
        }
        self.schedule_step(now);
    }

    fn fail_all(&mut self, now: Timestamp, reason: &str) {
        for attempt in self.batch.take_all() {
            if let Some(Some(stream)) = self.streams.get_mut(&attempt) {
                stream.fail(reason);
            }
            self.ended.push_back((now, attempt.clone()));
            self.changed.push(attempt);
        }
        self.record_load(now);
    }

    /// Drops streams that ended long ago. Their ids stay for as long again, so that a late repeat starts nothing.
    fn forget_ended(&mut self, now: Timestamp) {
        while let Some((at, _)) = self.ended.front()
            && *at + RETENTION <= now
        {
            if let Some((_, attempt)) = self.ended.pop_front() {
                self.forget(now, attempt);
            }
        }
    }

    fn forget(&mut self, now: Timestamp, attempt: AttemptId) {
        match self.streams.get_mut(&attempt) {
            Some(entry @ Some(_)) => {
                *entry = None;
                self.ended.push_back((now, attempt));
            }
            Some(None) => {
                self.streams.remove(&attempt);
            }
            None => {}
        }
    }

    fn record_load(&mut self, now: Timestamp) {
        let running = self.batch.running().len() as u32;
        let queued = self.batch.waiting() as u32;
        self.load.record(now, running, queued);
    }
}
