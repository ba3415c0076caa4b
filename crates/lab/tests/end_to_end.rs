//! The whole path, every part a process of its own.

mod processes;

use lichenpulley_protocol::caller::JobSpecification;
use lichenpulley_protocol::engine::EngineRole;
use processes::system::{
    POOL, System, assert_exactly_once, complete, completion, counters, finished_report, load, replica,
};
use processes::{command_json, wait_for};

const KEY: &str = "request_deadline_ms";

fn job() -> JobSpecification {
    JobSpecification {
        job: "end-to-end".into(),
        pool: POOL.into(),
        prompts: (0..4).map(|number| format!("Fault {number}: no sound.")).collect(),
        samples_per_prompt: 4,
        steps: 3,
        max_tokens: 64,
        staleness_bound: 1,
        idle_weight_percent: 50,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_live_requests_settings_a_drain_and_a_planned_stop() {
    let mut system = System::start().await;
    live_requests_are_answered_whole(&system).await;
    samples_reach_the_trainer_once(&system).await;
    a_setting_is_in_force_on_every_node(&system).await;
    a_drained_replica_gets_nothing_new(&system).await;
    a_planned_stop_ends_well(&mut system).await;
}

async fn live_requests_are_answered_whole(system: &System) {
    for number in 0..12 {
        let gateway = system.nodes[number as usize % system.nodes.len()].address("callers");
        let answer = complete(gateway, &completion(number)).await;
        answer.unwrap_or_else(|error| panic!("request {number}: {error}"));
    }
}

async fn samples_reach_the_trainer_once(system: &System) {
    let job = job();
    system.submit(1, &job).await;
    let trainer = system.start_trainer(&job, 50).await;
    assert_exactly_once(&finished_report(&trainer).await, &job);
    let callers = system.nodes[2].address("callers").to_string();
    wait_for("the job's status says that it is finished", || async {
        let status = command_json(&["job", "status", "end-to-end", "-c", &callers]).await.ok()?;
        (status["finished"] == true).then_some(())
    })
    .await;
}

async fn a_setting_is_in_force_on_every_node(system: &System) {
    let first = system.operators(0);
    let changed = command_json(&["config", "set", "/", KEY, "30000", "-o", &first]).await.expect("accepted");
    let accepted = changed["revision"].as_u64().expect("a revision");
    for number in 0..system.nodes.len() {
        let operators = system.operators(number);
        wait_for(&format!("node {number} holds the setting"), || async {
            let explained = command_json(&["config", "explain", "/", KEY, "-o", &operators]).await.ok()?;
            let in_force = explained["value"] == 30_000 && explained["revision"].as_u64()? >= accepted;
            in_force.then_some(())
        })
        .await;
    }
}

async fn a_drained_replica_gets_nothing_new(system: &System) {
    let drained = &system.engines[0];
    let operators = system.operators(2);
    wait_for("the drain is ordered", || async {
        command_json(&["drain", &replica(0), "-o", &operators]).await.ok()
    })
    .await;
    assert_eq!(load(drained).await.role, EngineRole::Draining);
    let before = counters(drained).await.streams_admitted;
    live_requests_are_answered_whole(system).await;
    assert_eq!(counters(drained).await.streams_admitted, before);
}

async fn a_planned_stop_ends_well(system: &mut System) {
    for node in &system.nodes {
        node.terminate();
    }
    for node in &mut system.nodes {
        let status = node.ended().await;
        assert!(status.success(), "{status}");
    }
}
