//! Callers that send too much, too slowly or without end must not take a process's memory or descriptors, nor keep
//! ordinary callers out. Each test starts processes with the memory of the smallest machine.

mod clients;
mod processes;

use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use tokio::sync::{Mutex, MutexGuard};

use clients::crowd::{Crowd, Upload};
use clients::edge::{BODY_LIMIT_BYTES, Edge, head, job};
use clients::native::NativeNode;

/// Callers of a crowd. Their bodies are twice what the machine holds.
const CROWD: usize = 24;
/// Nine tenths of the longest body.
const BODY_BYTES: usize = BODY_LIMIT_BYTES / 10 * 9;
/// Longest body that an operator allows where none is named.
const LONGEST_BODY_BYTES: usize = 32 << 20;
/// Longest body of the project's own interface.
const NATIVE_BODY_BYTES: usize = 4 << 20;
const NATIVE_CROWD: usize = 40;
const SMALL_CHUNK_BYTES: usize = 256;
const DESCRIPTOR_LIMIT: usize = 160;
/// More than the process may have descriptors.
const DESCRIPTOR_CROWD: usize = 240;

/// Tests that measure memory run one at a time.
static TURN: Mutex<()> = Mutex::const_new(());

async fn turn() -> MutexGuard<'static, ()> {
    TURN.lock().await
}

fn body(bytes: usize) -> Arc<Vec<u8>> {
    Arc::new(vec![b'a'; bytes])
}

/// Has a crowd upload, and checks the gateway while the crowd stays and after it has left.
async fn bear(edge: &mut Edge, uploads: Vec<Upload>) {
    let crowd = Crowd::start(edge.callers(), uploads);
    crowd.settled().await;
    edge.assert_bears("while the crowd stays").await;
    drop(crowd);
    edge.assert_bears("after the crowd has left").await;
}

async fn bear_crowd(upload: impl Fn() -> Upload) {
    let _turn = turn().await;
    let mut edge = Edge::start().await;
    bear(&mut edge, (0..CROWD).map(|_| upload()).collect()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_that_wait_for_an_answer_stay_within_the_machine() {
    let body = body(BODY_BYTES);
    bear_crowd(|| Upload::announced(&head("/silent/x"), &body, 0)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_a_byte_short_stay_within_the_machine() {
    let body = body(BODY_BYTES);
    bear_crowd(|| Upload::announced(&head("/read/x"), &body, 1)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_sent_piece_by_piece_stay_within_the_machine() {
    let body = body(BODY_BYTES);
    let pause = Duration::from_millis(10);
    bear_crowd(|| Upload::announced(&head("/read/x"), &body, 1).with_pause(pause)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_of_streams_a_byte_short_stay_within_the_machine() {
    let body = body(BODY_BYTES);
    bear_crowd(|| Upload::announced(&head("/stream/x"), &body, 1)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unfinished_bodies_in_large_chunks_stay_within_the_machine() {
    let body = body(BODY_BYTES);
    bear_crowd(|| Upload::chunked(&head("/read/x"), &body, 1 << 20)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unfinished_bodies_in_small_chunks_stay_within_the_machine() {
    let body = body(BODY_BYTES);
    bear_crowd(|| Upload::chunked(&head("/read/x"), &body, SMALL_CHUNK_BYTES)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_announced_over_the_limit_stay_within_the_machine() {
    let body = body(BODY_LIMIT_BYTES * 3 / 2);
    bear_crowd(|| Upload::announced(&head("/read/x"), &body, 1)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn chunked_bodies_over_the_limit_stay_within_the_machine() {
    let body = body(BODY_LIMIT_BYTES * 3 / 2);
    bear_crowd(|| Upload::chunked(&head("/read/x"), &body, 64 << 10)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_longest_bodies_a_byte_short_stay_within_the_machine() {
    let _turn = turn().await;
    let mut edge = Edge::with_plan(LONGEST_BODY_BYTES, false).await;
    let body = body(LONGEST_BODY_BYTES);
    let upload = || Upload::announced(&head("/read/x"), &body, 1);
    bear(&mut edge, (0..CROWD / 4).map(|_| upload()).collect()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_single_longest_body_is_served_in_calm() {
    let _turn = turn().await;
    let mut edge = Edge::with_plan(LONGEST_BODY_BYTES, false).await;
    assert_eq!(edge.ordinary_request(LONGEST_BODY_BYTES).await, StatusCode::OK);
    edge.assert_within_machine("after a body of the longest size");
}

#[tokio::test(flavor = "multi_thread")]
async fn jobs_a_byte_short_stay_within_the_machine() {
    let _turn = turn().await;
    let mut edge = Edge::with_stores().await;
    let job = Arc::new(job(1, BODY_BYTES / 4 * 3));
    bear(&mut edge, (0..CROWD).map(|_| Upload::announced(&head("/rollouts/x"), &job, 1)).collect()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_jobs_stay_within_the_machine() {
    let _turn = turn().await;
    let mut edge = Edge::with_stores().await;
    let job = |_| Arc::new(job(4, BODY_BYTES / 16 * 3));
    let uploads = (0..CROWD).map(job).map(|job| Upload::announced(&head("/rollouts/x"), &job, 0)).collect();
    bear(&mut edge, uploads).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_single_long_job_is_taken_in_calm() {
    let _turn = turn().await;
    let mut edge = Edge::with_stores().await;
    assert_eq!(edge.post("/rollouts/x", &job(4, BODY_BYTES / 16 * 3)).await, Some(StatusCode::ACCEPTED));
    edge.assert_within_machine("after a long job");
}

/// A job whose items have neither names nor bodies, of about this length.
fn job_of_tiny_items(bytes: usize) -> Vec<u8> {
    let item = br#"{"id":"","path":""},"#;
    let mut job = br#"{"items":["#.to_vec();
    job.extend(item.repeat(bytes / item.len()));
    job.extend(br#"{"id":"","path":""}]}"#);
    job
}

/// Jobs that are short enough one by one stay at their owner once they are accepted.
#[tokio::test(flavor = "multi_thread")]
async fn many_jobs_of_tiny_items_stay_within_the_machine() {
    let _turn = turn().await;
    let mut edge = Edge::with_stores().await;
    let job = Arc::new(job_of_tiny_items(BODY_BYTES / 40));
    for _ in 0..CROWD {
        edge.post("/rollouts/x", &job).await;
    }
    edge.assert_bears("after the jobs").await;
}

/// A job of the allowed length may have so many items that what is read from it takes many times that length.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_of_tiny_items_stay_within_the_machine() {
    let _turn = turn().await;
    let mut edge = Edge::with_stores().await;
    let job = Arc::new(job_of_tiny_items(BODY_BYTES));
    bear(&mut edge, (0..CROWD / 8).map(|_| Upload::announced(&head("/rollouts/x"), &job, 0)).collect()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unfinished_bodies_leave_descriptors_to_ordinary_callers() {
    let _turn = turn().await;
    let mut edge = Edge::with_descriptors(DESCRIPTOR_LIMIT as u64).await;
    let body = body(1_000);
    let upload = || Upload::announced(&head("/read/x"), &body, 1);
    let crowd = Crowd::start(edge.callers(), (0..DESCRIPTOR_CROWD).map(|_| upload()));
    crowd.settled().await;
    edge.assert_bears("while the crowd stays").await;
    let descriptors = edge.descriptors();
    assert!(descriptors < DESCRIPTOR_LIMIT, "{descriptors} of {DESCRIPTOR_LIMIT} descriptors are taken");
    drop(crowd);
    edge.assert_bears("after the crowd has left").await;
}

async fn bear_native(uploads: Vec<Upload>) {
    let mut native = NativeNode::start().await;
    let crowd = Crowd::start(native.callers(), uploads);
    crowd.settled().await;
    native.assert_bears("while the crowd stays").await;
    drop(crowd);
    native.assert_bears("after the crowd has left").await;
}

fn native_head(path: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: node\r\ncontent-type: application/json")
}

#[tokio::test(flavor = "multi_thread")]
async fn completions_a_byte_short_stay_within_the_machine() {
    let _turn = turn().await;
    let body = body(NATIVE_BODY_BYTES);
    let upload = || Upload::announced(&native_head("/v1/completions"), &body, 1);
    bear_native((0..NATIVE_CROWD).map(|_| upload()).collect()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_long_completions_stay_within_the_machine() {
    let _turn = turn().await;
    let prompt = "a".repeat(NATIVE_BODY_BYTES / 10 * 9);
    let completion = serde_json::json!({"pool": "bench", "prompt": prompt, "max_tokens": 20_000,
        "priority": "rollout", "repeatable": true, "seed": 1, "deadline_ms": 600_000});
    let body = Arc::new(serde_json::to_vec(&completion).expect("JSON"));
    let upload = || Upload::announced(&native_head("/v1/completions"), &body, 0);
    bear_native((0..NATIVE_CROWD).map(|_| upload()).collect()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn submissions_of_rollout_jobs_a_byte_short_stay_within_the_machine() {
    let _turn = turn().await;
    let body = body(NATIVE_BODY_BYTES);
    let upload = || Upload::chunked(&native_head("/v1/jobs"), &body, 1 << 16);
    bear_native((0..NATIVE_CROWD).map(|_| upload()).collect()).await;
}

/// Guards the operators' address, which is to stay reachable beside a crowd of unfinished bodies.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_bodies_at_the_operators_address_stay_within_the_machine() {
    let _turn = turn().await;
    let mut edge = Edge::start().await;
    let body = body(64 << 10);
    let head = "PUT /v1/config HTTP/1.1\r\nhost: node";
    let uploads = (0..DESCRIPTOR_CROWD).map(|_| Upload::announced(head, &body, 1));
    let crowd = Crowd::start(edge.gateway.address("operators"), uploads);
    crowd.settled().await;
    edge.assert_bears("while the crowd stays").await;
    drop(crowd);
}

/// Guards the peers' address: a frame is announced with its length and has up to 16 MiB.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_frames_at_the_peers_address_stay_within_the_machine() {
    let _turn = turn().await;
    let mut edge = Edge::start().await;
    let frame_bytes: u32 = 12 << 20;
    let mut frame = frame_bytes.to_be_bytes().to_vec();
    frame.resize(frame_bytes as usize, 0);
    let frame = Arc::new(frame);
    let crowd = Crowd::start(edge.gateway.address("peers"), (0..CROWD / 2).map(|_| Upload::raw(&frame)));
    crowd.settled().await;
    edge.assert_bears("while the crowd stays").await;
    drop(crowd);
}
