//! The stand-in trainer against a gateway of a few lines, with crashes at each point.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use lichenpulley_core::identity::{JobId, PoolName, WeightVersion};
use lichenpulley_daemon::http::client::HttpClient;
use lichenpulley_lab::http::ANY_PORT;
use lichenpulley_lab::http::{self, Reply, Server, json, not_found, read_json};
use lichenpulley_lab::trainer::{
    CrashPoint, StateFile, Trainer, TrainerFault, TrainerOptions, TrainerReport, start,
};
use lichenpulley_lab::weight_store;
use lichenpulley_protocol::caller::{PublishWeights, PullRequest, PullResponse, Sample, Slot, VersionSpan};

const DEADLINE: Duration = Duration::from_secs(30);
const SAMPLES: u64 = 24;
const SAMPLES_PER_STEP: u32 = 8;

/// Samples by position, and the versions that were published.
struct Gateway {
    samples: Vec<Sample>,
    published: Mutex<Vec<WeightVersion>>,
}

fn sample(step: u32, index: u32, version: u64) -> Sample {
    let span = VersionSpan { weight_version: WeightVersion(version), first_token: 0, token_count: 2 };
    Sample {
        slot: Slot { step, prompt: 0, index },
        prompt: "prompt".to_owned(),
        tokens: vec![1, 2],
        spans: vec![span],
        reward: 0.5,
    }
}

/// Each step's samples come from the weights that are trained further in it.
fn fresh_samples() -> Vec<Sample> {
    let steps = 0..SAMPLES as u32 / SAMPLES_PER_STEP;
    let of_step = |step| (0..SAMPLES_PER_STEP).map(move |index| sample(step, index, u64::from(step) + 1));
    steps.flat_map(of_step).collect()
}

async fn answer(gateway: Arc<Gateway>, request: Request<Incoming>) -> Reply {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/jobs/job/pull") => {
            let pull: PullRequest = read_json(request).await.expect("a pull");
            // Three at most, so that one step takes several pulls.
            let rest = &gateway.samples[pull.cursor as usize..];
            let count = rest.len().min(pull.max_samples as usize).min(3);
            let next_cursor = pull.cursor + count as u64;
            let finished = next_cursor as usize == gateway.samples.len();
            let samples = rest[..count].to_vec();
            json(StatusCode::OK, &PullResponse { samples, next_cursor, finished }).into()
        }
        (&Method::POST, "/v1/pools/pool/weights") => {
            let publish: PublishWeights = read_json(request).await.expect("a version");
            gateway.published.lock().expect("not poisoned").push(publish.weight_version);
            json(StatusCode::OK, &publish).into()
        }
        _ => not_found(&path).into(),
    }
}

async fn start_gateway(samples: Vec<Sample>) -> (Arc<Gateway>, Server) {
    let gateway = Arc::new(Gateway { samples, published: Mutex::default() });
    let serving = Arc::clone(&gateway);
    let any_port = ANY_PORT;
    let server = http::serve(any_port, move |request| answer(Arc::clone(&serving), request)).await;
    (gateway, server.expect("loopback ports are free"))
}

fn options(gateway: &Server, state: StateFile) -> TrainerOptions {
    TrainerOptions {
        address: ANY_PORT,
        gateways: vec![gateway.address],
        weight_store: None,
        job: JobId::new("job"),
        pool: PoolName::new("pool"),
        samples_per_step: SAMPLES_PER_STEP,
        expected_samples: SAMPLES,
        staleness_bound: 0,
        weight_version: WeightVersion(1),
        train_time: Duration::from_millis(1),
        state,
    }
}

async fn finish(trainer: &Trainer) -> TrainerReport {
    tokio::time::timeout(DEADLINE, trainer.finished()).await.expect("the job ends");
    trainer.report()
}

fn assert_each_sample_once(report: &TrainerReport) {
    assert_eq!((report.samples, report.lost, report.doubled), (SAMPLES, 0, 0), "{report:?}");
    assert_eq!((report.stale, report.without_versions), (0, 0), "{report:?}");
}

#[tokio::test]
async fn a_trainer_that_crashes_anywhere_trains_each_sample_once() {
    let points = [
        CrashPoint::BeforeSavingCursor,
        CrashPoint::AfterSavingCursor,
        CrashPoint::BeforeSavingStep,
        CrashPoint::AfterSavingStep,
    ];
    let folder = tempfile::tempdir().expect("a folder for temporary files");
    for (number, crash) in points.into_iter().enumerate() {
        let (gateway, server) = start_gateway(fresh_samples()).await;
        let state = StateFile::File(folder.path().join(format!("{number}.json")));
        let trainer = start(options(&server, state)).await.expect("it starts");
        trainer.inject(TrainerFault { crash, down_ms: 1 });
        let report = finish(&trainer).await;
        assert_eq!(report.crashes, 1, "{crash:?}");
        assert_each_sample_once(&report);
        let published = gateway.published.lock().expect("not poisoned").last().copied();
        assert_eq!(published, Some(WeightVersion(4)), "{crash:?}");
    }
}

#[tokio::test]
async fn a_trainer_started_anew_goes_on_from_its_file() {
    let folder = tempfile::tempdir().expect("a folder for temporary files");
    let state = StateFile::File(folder.path().join("state.json"));
    let (_gateway, server) = start_gateway(fresh_samples()).await;
    let first = start(options(&server, state.clone())).await.expect("it starts");
    while first.report().steps == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    drop(first);
    let second = start(options(&server, state)).await.expect("it starts");
    assert_each_sample_once(&finish(&second).await);
}

#[tokio::test]
async fn the_report_finds_doubled_lost_stale_and_unversioned_samples() {
    let mut samples = fresh_samples();
    samples[1] = samples[0].clone();
    samples[SAMPLES as usize - 1].spans[0].weight_version = WeightVersion(1);
    samples[2].spans.clear();
    let (_gateway, server) = start_gateway(samples).await;
    let trainer = start(options(&server, StateFile::in_memory())).await.expect("it starts");
    let report = finish(&trainer).await;
    assert_eq!((report.doubled, report.lost), (1, 1), "{report:?}");
    assert_eq!((report.stale, report.without_versions), (1, 1), "{report:?}");
}

#[tokio::test]
async fn weights_are_read_at_the_stores_rate_once_they_exist() {
    let store = weight_store::start(ANY_PORT).await.expect("loopback ports are free");
    let client = HttpClient::new(DEADLINE);
    assert!(client.get_bytes(store.address(), "/weights/pool/2", DEADLINE).await.is_err());
    let stored: Result<u64, _> = client.put_json(store.address(), "/weights/pool/2", &2, DEADLINE).await;
    assert_eq!(stored.expect("taken"), 2);
    let bytes = client.get_bytes(store.address(), "/weights/pool/2", DEADLINE).await.expect("given");
    assert_eq!(bytes.len(), 1024 * 1024);
    assert_eq!(store.counters().reads, 1);
}
