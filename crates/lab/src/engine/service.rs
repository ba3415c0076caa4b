//! Timers round the engine model: steps, weight fetches, freezes and crashes.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use lichenpulley_core::identity::{AttemptId, ReplicaId, WeightVersion};
use lichenpulley_core::time::Timestamp;
use lichenpulley_daemon::http::client::HttpClient;
use lichenpulley_protocol::engine::{
    CacheEvents, LoadReport, Order, OrderAccepted, OrderRefused, StreamRequest,
};
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

use super::EngineOptions;
use super::faults::{EngineCounters, EngineFault, WireFaults};
use super::model::{EngineModel, Submission, SubmitError};
use super::stream::Slice;

use crate::locked::lock;

/// How long the engine waits before it asks the weight store again.
const FETCH_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The longest that one fetch may take; the store's rate is shared by every engine.
const FETCH_TIMEOUT: Duration = Duration::from_secs(120);

/// What the handlers, the connections and the timers of one engine share.
pub struct Shared {
    options: EngineOptions,
    origin: Instant,
    state: Mutex<State>,
    steps: watch::Sender<u64>,
    thaw_at: watch::Sender<Option<tokio::time::Instant>>,
    wake: Notify,
    client: HttpClient,
}

struct State {
    /// `None` while the engine is down after a crash.
    model: Option<EngineModel>,
    incarnation: CancellationToken,
    wire_faults: WireFaults,
    step_percent: u32,
    counters: EngineCounters,
}

impl Shared {
    /// An engine that has just started.
    pub fn new(options: EngineOptions) -> Self {
        let first_incarnation = 1;
        let model = EngineModel::new(options.model.clone(), first_incarnation, options.weight_version);
        let state = State {
            model: Some(model),
            incarnation: CancellationToken::new(),
            wire_faults: WireFaults::default(),
            step_percent: 100,
            counters: EngineCounters { incarnation: first_incarnation, ..EngineCounters::default() },
        };
        Self {
            options,
            origin: Instant::now(),
            state: Mutex::new(state),
            steps: watch::Sender::new(0),
            thaw_at: watch::Sender::new(None),
            wake: Notify::new(),
            client: HttpClient::new(FETCH_TIMEOUT),
        }
    }

    /// The replica.
    pub fn replica(&self) -> &ReplicaId {
        &self.options.model.replica
    }

    /// Changes each time some stream may have new tokens.
    pub fn watch_steps(&self) -> watch::Receiver<u64> {
        self.steps.subscribe()
    }

    /// Cancelled when the present incarnation ends.
    pub fn incarnation_token(&self) -> CancellationToken {
        self.lock().incarnation.clone()
    }

    /// The harm to streams that is set now.
    pub fn wire_faults(&self) -> WireFaults {
        self.lock().wire_faults.clone()
    }

    /// Waits while the engine is frozen.
    pub async fn thawed(&self) {
        loop {
            let thaw_at = *self.thaw_at.borrow();
            match thaw_at.filter(|at| *at > tokio::time::Instant::now()) {
                Some(at) => tokio::time::sleep_until(at).await,
                None => return,
            }
        }
    }

    /// Starts a stream. `None` while the engine is down, and where the answer is lost by order.
    pub fn submit(&self, request: &StreamRequest) -> Option<Result<Submission, SubmitError>> {
        let now = self.now();
        let mut state = self.lock();
        let outcome = state.model.as_mut()?.submit(now, request);
        match &outcome {
            Ok(Submission::Admitted) => state.counters.admitted(request),
            Ok(Submission::Attached) => {}
            Err(_) => state.counters.refused += 1,
        }
        let answer_lost = outcome.is_ok() && state.wire_faults.drop_admissions > 0;
        if answer_lost {
            state.wire_faults.drop_admissions -= 1;
        }
        drop(state);
        self.wake.notify_one();
        if answer_lost { None } else { Some(outcome) }
    }

    /// Stops and forgets a stream.
    pub fn cancel(&self, attempt: &AttemptId) {
        let now = self.now();
        if let Some(model) = &mut self.lock().model {
            model.cancel(now, attempt);
        }
        self.steps.send_modify(|steps| *steps += 1);
    }

    /// Takes an order. `None` while the engine is down.
    pub fn order(&self, order: &Order) -> Option<Result<OrderAccepted, OrderRefused>> {
        let now = self.now();
        let outcome = self.lock().model.as_mut()?.order(now, order);
        self.wake.notify_one();
        Some(outcome)
    }

    /// A stream's tokens from a number on.
    pub fn read(&self, attempt: &AttemptId, from: u32) -> Option<Slice> {
        self.lock().model.as_ref()?.read(attempt, from)
    }

    /// The load of now.
    pub fn present_load(&self) -> LoadReport {
        let now = self.now();
        self.lock().model.as_ref().map_or_else(LoadReport::default, |model| model.present_load(now))
    }

    /// The lagging load. `None` while the engine is down.
    pub fn lagging_load(&self) -> Option<LoadReport> {
        let now = self.now();
        Some(self.lock().model.as_ref()?.lagging_load(now))
    }

    /// Published cache events. `None` while the engine is down.
    pub fn cache_events(&self, after: u64) -> Option<CacheEvents> {
        let now = self.now();
        Some(self.lock().model.as_ref()?.cache_events(now, after))
    }

    /// What the engine has done so far.
    pub fn counters(&self) -> EngineCounters {
        self.lock().counters.clone()
    }

    /// Brings a fault about.
    pub async fn inject(&self, fault: EngineFault) {
        log::info!(target: "engine", "{}: fault {fault:?}.", self.replica());
        match fault {
            EngineFault::Crash { down_ms, weight_version } => self.crash(down_ms, weight_version).await,
            EngineFault::Freeze { for_ms } => {
                let thaw_at = tokio::time::Instant::now() + Duration::from_millis(for_ms);
                self.thaw_at.send_replace(Some(thaw_at));
            }
            EngineFault::Wire(faults) => self.lock().wire_faults = faults,
            EngineFault::SlowSteps { percent } => {
                let mut state = self.lock();
                state.step_percent = percent;
                state.with_model(|model| model.set_step_percent(percent));
            }
            EngineFault::FailNextSwap => self.lock().with_model(EngineModel::fail_next_swap),
            EngineFault::RefuseAll { refuse } => {
                self.lock().with_model(|model| model.set_refusing(refuse));
            }
        }
    }

    async fn crash(&self, down_ms: u64, weight_version: Option<WeightVersion>) {
        self.lock().end_incarnation();
        tokio::time::sleep(Duration::from_millis(down_ms)).await;
        let version = weight_version.unwrap_or(self.options.weight_version);
        self.lock().begin_incarnation(&self.options, version);
        self.wake.notify_one();
    }

    /// Runs the engine's steps; never ends.
    pub async fn run_steps(&self) {
        loop {
            self.wait_for_wake().await;
            self.thawed().await;
            let now = self.now();
            let changed = match &mut self.lock().model {
                Some(model) => !model.advance(now).is_empty(),
                None => false,
            };
            if changed {
                self.steps.send_modify(|steps| *steps += 1);
            }
        }
    }

    async fn wait_for_wake(&self) {
        let wake = self.lock().model.as_ref().and_then(EngineModel::next_wake);
        let Some(wake) = wake else {
            return self.wake.notified().await;
        };
        let wake = self.origin + Duration::from_micros(wake.as_micros());
        if wake <= Instant::now() {
            // The timer would round up to its next millisecond.
            return tokio::task::yield_now().await;
        }
        tokio::select! {
            () = tokio::time::sleep_until(wake.into()) => {}
            () = self.wake.notified() => {}
        }
    }

    /// Fetches ordered weights from the weight store; never ends.
    pub async fn run_fetches(&self) {
        let mut poll = tokio::time::interval(FETCH_RETRY_DELAY);
        loop {
            poll.tick().await;
            self.thawed().await;
            let wanted = self.lock().model.as_ref().and_then(EngineModel::wanted_weights);
            let Some(version) = wanted else { continue };
            if !self.fetch(version).await {
                continue;
            }
            let now = self.now();
            self.lock().with_model(|model| model.weights_fetched(now, version));
            self.wake.notify_one();
        }
    }

    async fn fetch(&self, version: WeightVersion) -> bool {
        let Some(store) = self.options.weight_store else {
            return true;
        };
        let path = format!("/weights/{}/{version}", self.options.pool);
        match self.client.get_bytes(store, &path, FETCH_TIMEOUT).await {
            Ok(_) => true,
            Err(error) => {
                log::warn!(target: "engine", "{}: weights {version} not fetched: {error}.", self.replica());
                false
            }
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.origin.elapsed().as_micros() as u64)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

impl State {
    fn with_model(&mut self, change: impl FnOnce(&mut EngineModel)) {
        if let Some(model) = &mut self.model {
            change(model);
        }
    }

    fn end_incarnation(&mut self) {
        self.model = None;
        self.incarnation.cancel();
    }

    fn begin_incarnation(&mut self, options: &EngineOptions, weight_version: WeightVersion) {
        self.counters.incarnation += 1;
        let mut model = EngineModel::new(options.model.clone(), self.counters.incarnation, weight_version);
        model.set_step_percent(self.step_percent);
        self.model = Some(model);
        self.incarnation = CancellationToken::new();
    }
}

/// The shared state as handlers hold it.
pub type SharedEngine = Arc<Shared>;
