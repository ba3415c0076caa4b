//! Processes are killed in the middle of their work and started again; nothing is lost, doubled or run twice.

mod processes;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use lichenpulley_core::identity::RequestId;
use lichenpulley_daemon::decisions::unix_milliseconds;
use lichenpulley_protocol::caller::{CompletionRequest, JobSpecification};
use lichenpulley_protocol::error::{ErrorBody, Execution};
use processes::system::{POOL, System, assert_exactly_once, complete, completion, counters, finished_report};
use processes::wait_for;

/// Requests that each caller brings to an end for each node that is killed.
const COMPLETED_PER_KILL: u64 = 10;
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(20);

fn job() -> JobSpecification {
    JobSpecification {
        job: "through-kills".into(),
        pool: POOL.into(),
        prompts: (0..4).map(|number| format!("Fault {number}: no sound.")).collect(),
        samples_per_prompt: 8,
        steps: 6,
        max_tokens: 128,
        staleness_bound: 2,
        idle_weight_percent: 50,
    }
}

/// Each node is killed in turn, so the owner of the job is among them, whichever it is.
#[tokio::test(flavor = "multi_thread")]
async fn samples_are_neither_lost_nor_doubled_through_kills() {
    let mut system = System::start().await;
    let job = job();
    system.submit(0, &job).await;
    let mut trainer = system.start_trainer(&job, 100).await;

    system.wait_until_delivered(&job, 16).await;
    system.replace_node(0).await;

    system.wait_until_delivered(&job, 48).await;
    system.engines[0].kill();
    system.engines[0] = system.start_engine(0, 1).await;
    system.replace_node(1).await;

    system.wait_until_delivered(&job, 80).await;
    trainer.kill();
    trainer = system.start_trainer(&job, 100).await;
    system.wait_until_delivered(&job, 112).await;
    system.replace_node(2).await;

    assert_exactly_once(&finished_report(&trainer).await, &job);
}

/// A caller of requests that may run once only, and what it was told of each.
struct Caller {
    first_number: u64,
    told: BTreeMap<String, Told>,
}

/// What a caller was told last of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    Completed,
    NotRun,
    Unknown,
}

impl Caller {
    /// Sends requests to the gateways in turn until `count` more are completed; what is in doubt is sent again to
    /// the next one, under the same id.
    async fn send(&mut self, gateways: &[SocketAddr], count: u64, completed: &AtomicU64) {
        let mut wanted = count;
        while wanted > 0 {
            let number = self.first_number;
            self.first_number += 1;
            let request = at_most_once(number);
            let first = gateways[number as usize % gateways.len()];
            let second = gateways[(number as usize + 1) % gateways.len()];
            let mut told = ask(first, &request).await;
            if told == Told::Unknown {
                told = match ask(second, &request).await {
                    // It says that the repeat did not run; the first may have.
                    Told::NotRun => Told::Unknown,
                    told => told,
                };
            }
            match told {
                Told::Completed => {
                    wanted -= 1;
                    completed.fetch_add(1, Ordering::Relaxed);
                }
                Told::NotRun | Told::Unknown => tokio::time::sleep(PAUSE_AFTER_FAILURE).await,
            }
            self.told.insert(request.prompt, told);
        }
    }
}

fn at_most_once(number: u64) -> CompletionRequest {
    CompletionRequest {
        repeatable: false,
        request_id: Some(RequestId::new(format!("once-{number}"))),
        issued_at_unix_ms: Some(unix_milliseconds()),
        deadline_ms: Some(5_000),
        prompt: format!("Charge the card of ticket {number}."),
        ..completion(number)
    }
}

async fn ask(gateway: SocketAddr, request: &CompletionRequest) -> Told {
    let error = match complete(gateway, request).await {
        Ok(_) => return Told::Completed,
        Err(error) => error,
    };
    let execution = error.body::<ErrorBody>().and_then(|body| body.execution);
    if error.nothing_sent() || execution == Some(Execution::NotRun) { Told::NotRun } else { Told::Unknown }
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_that_may_run_once_run_at_most_once_through_kills() {
    let mut system = System::start().await;
    let mut callers: Vec<Caller> =
        (0..4).map(|caller| Caller { first_number: caller * 1_000, told: BTreeMap::new() }).collect();
    let completed = Arc::new(AtomicU64::new(0));
    for killed in 0..system.nodes.len() {
        let gateways: Vec<SocketAddr> = system.nodes.iter().map(|node| node.address("callers")).collect();
        let before = completed.load(Ordering::Relaxed);
        let mut sending = tokio::task::JoinSet::new();
        for mut caller in callers.drain(..) {
            let (gateways, completed) = (gateways.clone(), Arc::clone(&completed));
            sending.spawn(async move {
                caller.send(&gateways, COMPLETED_PER_KILL, &completed).await;
                caller
            });
        }
        // The kill comes in the middle: some are completed, and every caller has more to send.
        wait_for("requests are completed", || async {
            (completed.load(Ordering::Relaxed) > before).then_some(())
        })
        .await;
        system.replace_node(killed).await;
        callers.extend(sending.join_all().await);
    }
    let told: BTreeMap<String, Told> = callers.into_iter().flat_map(|caller| caller.told).collect();
    let admitted = admissions_by_prompt(&system).await;
    for (prompt, told) in &told {
        let runs = admitted.get(prompt).copied().unwrap_or(0);
        assert!(runs <= 1, "`{prompt}` ran {runs} times, and its caller was told {told:?}");
        assert!(*told != Told::NotRun || runs == 0, "`{prompt}` ran and its caller was told that it did not");
        assert!(*told != Told::Completed || runs == 1, "`{prompt}` was answered and ran nowhere");
    }
}

async fn admissions_by_prompt(system: &System) -> BTreeMap<String, u64> {
    let mut admitted = BTreeMap::new();
    for engine in &system.engines {
        for (prompt, count) in counters(engine).await.by_prompt {
            *admitted.entry(prompt).or_default() += count;
        }
    }
    admitted
}
