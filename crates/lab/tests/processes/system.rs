//! Three nodes, engines and the platform, each a process of its own.

#![allow(dead_code, reason = "each test file uses a part")]

use std::net::SocketAddr;
use std::time::Duration;

use lichenpulley_daemon::http::client::{ClientError, HttpClient};
use lichenpulley_lab::engine::answer::is_whole_answer;
use lichenpulley_lab::engine::faults::EngineCounters;
use lichenpulley_lab::trainer::TrainerReport;
use lichenpulley_protocol::caller::{
    CompletionRequest, CompletionResponse, JobSpecification, JobStatus, Priority,
};
use lichenpulley_protocol::engine::LoadReport;
use tempfile::TempDir;

use super::{Process, command_json, wait_for};

pub const POOL: &str = "bench";
const ANY_PORT: &str = "127.0.0.1:0";
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// How long one call may take.
const CALL_LIMIT: Duration = Duration::from_secs(30);

/// A whole system; its processes end with it.
pub struct System {
    pub nodes: Vec<Process>,
    pub engines: Vec<Process>,
    pub object_api: Process,
    pub machine_list: Process,
    pub weight_store: Process,
    pub scorer: Process,
    folder: TempDir,
}

fn words(line: &str) -> Vec<String> {
    line.split_whitespace().map(str::to_owned).collect()
}

impl System {
    /// Starts everything, and waits until each node answers a completion.
    pub async fn start() -> Self {
        let mut system = Self::without_nodes().await;
        for number in 0..ZONES.len() {
            let engine = system.start_engine(number, 1).await;
            system.engines.push(engine);
        }
        for number in 0..ZONES.len() {
            let node = system.start_node(number).await;
            system.nodes.push(node);
        }
        system.wait_until_answered().await;
        system
    }

    /// Starts the platform alone.
    pub async fn without_nodes() -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let at = folder.path();
        let object_api = Process::start(at, "object-api", "lichenpulley-lab", &words("object-api")).await;
        let machine_list =
            Process::start(at, "machine-list", "lichenpulley-lab", &words("machine-list")).await;
        let weight_store =
            Process::start(at, "weight-store", "lichenpulley-lab", &words("weight-store")).await;
        let scorer = Process::start(at, "scorer", "lichenpulley-lab", &words("scorer")).await;
        Self {
            nodes: Vec::new(),
            engines: Vec::new(),
            object_api,
            machine_list,
            weight_store,
            scorer,
            folder,
        }
    }

    /// Starts the engine of a zone with these weights.
    pub async fn start_engine(&self, number: usize, weight_version: u64) -> Process {
        self.start_engine_with(number, weight_version, "").await
    }

    /// Starts the engine of a zone with these weights and further flags.
    pub async fn start_engine_with(&self, number: usize, weight_version: u64, flags: &str) -> Process {
        let zone = ZONES[number];
        let line = format!(
            "engine --replica {} --pool {POOL} --zone {zone} --weight-version {weight_version} \
             --weight-store {} --machine-list {} {flags}",
            replica(number),
            self.weight_store.address("http"),
            self.machine_list.address("http")
        );
        Process::start(self.folder.path(), &replica(number), "lichenpulley-lab", &words(&line)).await
    }

    /// Starts the node of a zone on free ports, with the data that an earlier one of its name has left.
    pub async fn start_node(&self, number: usize) -> Process {
        self.start_node_with(number, "").await
    }

    /// Starts the node of a zone like [`Self::start_node`], with further flags.
    pub async fn start_node_with(&self, number: usize, flags: &str) -> Process {
        let name = format!("node-{number}");
        let mut line = format!(
            "--node {name} --zone {} --role gateway --role coordinator --role store --data-folder {} \
             --callers {ANY_PORT} --operators {ANY_PORT} --peers {ANY_PORT} \
             --object-api {} --machine-list {} --weight-store {} --scorer {} {flags}",
            ZONES[number],
            self.folder.path().join(format!("{name}.data")).display(),
            self.object_api.address("http"),
            self.machine_list.address("http"),
            self.weight_store.address("http"),
            self.scorer.address("http")
        );
        for (other, node) in self.nodes.iter().enumerate() {
            if other != number {
                line.push_str(&format!(" --seed {}", node.address("peers")));
            }
        }
        Process::start(self.folder.path(), &name, "lichenpulleyd", &words(&line)).await
    }

    /// Kills the node of a zone and starts it again.
    pub async fn replace_node(&mut self, number: usize) {
        self.nodes[number].kill();
        self.nodes[number] = self.start_node(number).await;
    }

    /// Starts the trainer of a job; its state outlives it.
    pub async fn start_trainer(&self, job: &JobSpecification, train_ms: u64) -> Process {
        let samples_per_step = job.prompts.len() as u64 * u64::from(job.samples_per_prompt);
        let mut line = format!(
            "trainer --job {} --pool {POOL} --samples-per-step {samples_per_step} --expected-samples {} \
             --staleness-bound {} --train-ms {train_ms} --weight-store {} --state-file {}",
            job.job,
            samples_per_step * u64::from(job.steps),
            job.staleness_bound,
            self.weight_store.address("http"),
            self.folder.path().join("trainer.state").display()
        );
        for node in &self.nodes {
            line.push_str(&format!(" --gateway {}", node.address("callers")));
        }
        Process::start(self.folder.path(), "trainer", "lichenpulley-lab", &words(&line)).await
    }

    /// An operators' address as text.
    pub fn operators(&self, number: usize) -> String {
        self.nodes[number].address("operators").to_string()
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.folder.path().join(name);
        std::fs::write(&path, text).expect("written");
        path.display().to_string()
    }

    /// How a job stands, from the first node that says so.
    pub async fn job_status(&self, job: &JobSpecification) -> Option<JobStatus> {
        for node in &self.nodes {
            let path = format!("/v1/jobs/{}", job.job);
            let status = client().get_json(node.address("callers"), &path, CALL_LIMIT).await;
            if status.is_ok() {
                return status.ok();
            }
        }
        None
    }

    /// Waits until so many samples of a job were handed over.
    pub async fn wait_until_delivered(&self, job: &JobSpecification, samples: u64) {
        wait_for(&format!("{samples} samples are delivered"), || async {
            let status = self.job_status(job).await?;
            (status.delivered >= samples).then_some(())
        })
        .await;
    }

    /// Submits a job through the command, at the node of a zone, until it is taken.
    pub async fn submit(&self, number: usize, job: &JobSpecification) {
        let file = self.file("job.json", &serde_json::to_string(job).expect("JSON"));
        let callers = self.nodes[number].address("callers").to_string();
        wait_for("the job is taken", || async {
            command_json(&["job", "submit", &file, "-c", &callers]).await.ok()
        })
        .await;
    }

    /// Waits until each node answers a completion.
    pub async fn wait_until_answered(&self) {
        for (number, node) in self.nodes.iter().enumerate() {
            wait_for(&format!("node {number} answers a completion"), || async {
                complete(node.address("callers"), &completion(0)).await.ok()
            })
            .await;
        }
    }
}

fn client() -> HttpClient {
    HttpClient::new(CALL_LIMIT)
}

/// The name of the replica of a zone.
pub fn replica(number: usize) -> String {
    format!("{POOL}-{number}")
}

/// A live, repeatable request.
pub fn completion(number: u64) -> CompletionRequest {
    CompletionRequest {
        pool: POOL.into(),
        prompt: format!("Ticket {number}: is the phone ready?"),
        max_tokens: 64,
        priority: Priority::Live,
        deadline_ms: Some(20_000),
        repeatable: true,
        request_id: None,
        issued_at_unix_ms: None,
        seed: number,
        stream: false,
    }
}

/// Sends a completion and checks that a success is whole and right, versions included.
pub async fn complete(
    gateway: SocketAddr,
    request: &CompletionRequest,
) -> Result<CompletionResponse, ClientError> {
    let answer: CompletionResponse =
        client().post_json(gateway, "/v1/completions", request, CALL_LIMIT).await?;
    assert!(
        is_whole_answer(&request.prompt, request.seed, request.max_tokens, &answer.tokens),
        "{request:?} was answered with {answer:?}"
    );
    let covered: u32 = answer.spans.iter().map(|span| span.token_count).sum();
    assert_eq!(covered as usize, answer.tokens.len(), "spans name the weights of every token");
    Ok(answer)
}

/// What an engine has done.
pub async fn counters(engine: &Process) -> EngineCounters {
    client().get_json(engine.address("faults"), "/faults/counters", CALL_LIMIT).await.expect("counters")
}

/// What an engine says of its load.
pub async fn load(engine: &Process) -> LoadReport {
    client().get_json(engine.address("http"), "/v1/load", CALL_LIMIT).await.expect("a load report")
}

/// What a trainer has seen once its job has given everything.
pub async fn finished_report(trainer: &Process) -> TrainerReport {
    wait_for("the trainer has trained every sample", || async {
        let report: Result<TrainerReport, _> =
            client().get_json(trainer.address("http"), "/report", CALL_LIMIT).await;
        report.ok().filter(|report| report.finished)
    })
    .await
}

/// Asserts that each expected sample was trained once, with its versions, within the bound.
pub fn assert_exactly_once(report: &TrainerReport, job: &JobSpecification) {
    let expected = job.prompts.len() as u64 * u64::from(job.samples_per_prompt) * u64::from(job.steps);
    assert_eq!(
        (report.samples, report.lost, report.doubled, report.stale, report.without_versions),
        (expected, 0, 0, 0, 0),
        "{report:?}"
    );
}
