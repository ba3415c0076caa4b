//! The trainer's loop.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use lichenpulley_core::identity::WeightVersion;
use lichenpulley_daemon::http::client::HttpClient;
use lichenpulley_protocol::caller::{PublishWeights, PullRequest, PullResponse};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::TrainerOptions;
use super::faults::{CrashPoint, TrainerFault};
use super::report::{Clock, TrainerReport, report};
use super::state::{TakenSample, TrainedStep, TrainerState};
use crate::error::LabError;
use crate::locked::lock;

/// The longest that one call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// How long the trainer waits before it pulls again after it got nothing.
const PULL_DELAY: Duration = Duration::from_millis(20);

/// A trainer's work.
pub(super) struct Training {
    options: TrainerOptions,
    client: HttpClient,
    gateway: AtomicUsize,
    saved: Mutex<TrainerState>,
    clock: Mutex<Clock>,
    fault: Mutex<Option<TrainerFault>>,
}

/// How one incarnation of the trainer ended.
enum IncarnationEnd {
    Finished,
    Crashed(TrainerFault),
}

/// Stops an incarnation: a crash by order, or an error that no retry mends.
enum Interruption {
    Crash(TrainerFault),
    Error(LabError),
}

impl From<LabError> for Interruption {
    fn from(error: LabError) -> Self {
        Self::Error(error)
    }
}

impl Training {
    /// A trainer that starts from the saved state, if there is one.
    pub fn new(options: TrainerOptions) -> Result<Self, LabError> {
        let saved = options.state.load()?.unwrap_or(TrainerState::new(options.weight_version));
        Ok(Self {
            options,
            client: HttpClient::new(CALL_TIMEOUT),
            gateway: AtomicUsize::new(0),
            saved: Mutex::new(saved),
            clock: Mutex::default(),
            fault: Mutex::new(None),
        })
    }

    /// What was trained and saved so far.
    pub fn report(&self) -> TrainerReport {
        let saved = lock(&self.saved).clone();
        let clock = lock(&self.clock).clone();
        report(&saved, &clock, self.options.staleness_bound, self.options.expected_samples)
    }

    /// The trainer crashes the next time it comes to that point.
    pub fn inject(&self, fault: TrainerFault) {
        *lock(&self.fault) = Some(fault);
    }

    /// Trains until the job has given everything.
    pub async fn run(&self) -> Result<(), LabError> {
        loop {
            match self.live().await? {
                IncarnationEnd::Finished => {
                    lock(&self.clock).finished = true;
                    return Ok(());
                }
                IncarnationEnd::Crashed(fault) => {
                    log::info!(target: "trainer", "Crashed {:?} by order.", fault.crash);
                    lock(&self.clock).crashes += 1;
                    tokio::time::sleep(Duration::from_millis(fault.down_ms)).await;
                }
            }
        }
    }

    /// One incarnation: begins with the saved state and ends with the job or in a crash.
    async fn live(&self) -> Result<IncarnationEnd, LabError> {
        let loaded = self.options.state.load()?;
        let mut state = loaded.unwrap_or(TrainerState::new(self.options.weight_version));
        // A crash may have come between saving a step and publishing its weights.
        if !state.trained.is_empty() {
            self.publish(&state).await;
        }
        match self.train_steps(&mut state).await {
            Ok(()) => Ok(IncarnationEnd::Finished),
            Err(Interruption::Crash(fault)) => Ok(IncarnationEnd::Crashed(fault)),
            Err(Interruption::Error(error)) => Err(error),
        }
    }

    async fn train_steps(&self, state: &mut TrainerState) -> Result<(), Interruption> {
        loop {
            let finished = self.take_step(state).await?;
            if !state.taken.is_empty() {
                self.train(state).await?;
                self.publish(state).await;
            }
            if finished {
                return Ok(());
            }
        }
    }

    /// Takes samples until a step is whole; true where the job has nothing more.
    async fn take_step(&self, state: &mut TrainerState) -> Result<bool, Interruption> {
        let begin = Instant::now();
        let finished = self.take_samples(state).await;
        lock(&self.clock).idle += begin.elapsed();
        finished
    }

    async fn take_samples(&self, state: &mut TrainerState) -> Result<bool, Interruption> {
        while state.taken.len() < self.options.samples_per_step as usize {
            let pulled = self.pull(state).await;
            if pulled.samples.is_empty() {
                if pulled.finished {
                    return Ok(true);
                }
                tokio::time::sleep(PULL_DELAY).await;
                continue;
            }
            state.taken.extend(pulled.samples.iter().map(TakenSample::of));
            state.cursor = pulled.next_cursor;
            self.crash_at(CrashPoint::BeforeSavingCursor)?;
            self.save(state)?;
            self.crash_at(CrashPoint::AfterSavingCursor)?;
        }
        Ok(false)
    }

    async fn train(&self, state: &mut TrainerState) -> Result<(), Interruption> {
        tokio::time::sleep(self.options.train_time).await;
        lock(&self.clock).training += self.options.train_time;
        let samples = std::mem::take(&mut state.taken);
        state.trained.push(TrainedStep { trainer_version: state.version, samples });
        state.version = state.version.next();
        self.crash_at(CrashPoint::BeforeSavingStep)?;
        self.save(state)?;
        self.crash_at(CrashPoint::AfterSavingStep)
    }

    fn save(&self, state: &TrainerState) -> Result<(), LabError> {
        self.options.state.save(state)?;
        *lock(&self.saved) = state.clone();
        Ok(())
    }

    fn crash_at(&self, point: CrashPoint) -> Result<(), Interruption> {
        let due = lock(&self.fault).take_if(|fault| fault.crash == point);
        due.map_or(Ok(()), |fault| Err(Interruption::Crash(fault)))
    }

    /// Pulls until some gateway answers.
    async fn pull(&self, state: &TrainerState) -> PullResponse {
        let wanted = self.options.samples_per_step as usize - state.taken.len();
        let request = PullRequest {
            cursor: state.cursor,
            max_samples: u32::try_from(wanted).unwrap_or(u32::MAX),
            trainer_version: state.version,
        };
        let path = format!("/v1/jobs/{}/pull", self.options.job);
        self.post_until_answered(&path, &request).await
    }

    /// Stores the weights and says so, until both have worked.
    async fn publish(&self, state: &TrainerState) {
        let pool = &self.options.pool;
        let version = state.version;
        if let Some(store) = self.options.weight_store {
            let path = format!("/weights/{pool}/{version}");
            self.put_until_stored(store, &path, version).await;
        }
        let request = PublishWeights { weight_version: version };
        let path = format!("/v1/pools/{pool}/weights");
        let _: PublishWeights = self.post_until_answered(&path, &request).await;
    }

    async fn put_until_stored(&self, store: SocketAddr, path: &str, version: WeightVersion) {
        loop {
            let stored = self.client.put_json(store, path, &version, CALL_TIMEOUT).await;
            let stored: Result<WeightVersion, _> = stored;
            let Err(error) = stored else { return };
            log::warn!(target: "trainer", "Weights {version} not stored yet: {error}.");
            tokio::time::sleep(PULL_DELAY).await;
        }
    }

    async fn post_until_answered<Request, Answer>(&self, path: &str, request: &Request) -> Answer
    where
        Request: Serialize + Sync,
        Answer: DeserializeOwned,
    {
        loop {
            let gateway = self.present_gateway();
            match self.client.post_json(gateway, path, request, CALL_TIMEOUT).await {
                Ok(answer) => return answer,
                Err(error) => log::warn!(target: "trainer", "{path}: {error}."),
            }
            self.gateway.fetch_add(1, Ordering::Relaxed);
            tokio::time::sleep(PULL_DELAY).await;
        }
    }

    fn present_gateway(&self) -> SocketAddr {
        let gateways = &self.options.gateways;
        gateways[self.gateway.load(Ordering::Relaxed) % gateways.len()]
    }
}
