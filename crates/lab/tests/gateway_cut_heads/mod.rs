//! Streams of engines whose answers end within their heads, at each byte.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::StreamExt;
use lichenpulley_lab::engine::answer::is_whole_answer;
use lichenpulley_protocol::caller::CompletionRequest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::{Rig, SEED, directory, request};

/// Bytes of an answer that are cut one after the other: its head, its first event, and parts of the next.
const CUT_BYTES: usize = 400;
const TOKENS: u32 = 4;
const CONCURRENCY: usize = 8;
/// Begins the prompt of a request whose first answer is cut; the number of its bytes follows.
const PROMPT_PREFIX: &str = "cut after ";

/// The prompts whose answers were cut.
type CutPrompts = Arc<Mutex<HashSet<String>>>;

/// Passes connections to an engine on, and closes them after so many bytes of the first answer as the prompt says.
async fn start_proxy(engine: SocketAddr, is_reset: bool, cut: CutPrompts) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((caller, _)) = listener.accept().await {
            let cut = Arc::clone(&cut);
            tokio::spawn(async move { relay(caller, engine, is_reset, &cut).await });
        }
    });
    address
}

async fn relay(mut caller: TcpStream, engine: SocketAddr, is_reset: bool, cut: &CutPrompts) -> Option<()> {
    let mut engine = TcpStream::connect(engine).await.ok()?;
    caller.set_nodelay(true).ok()?;
    engine.set_nodelay(true).ok()?;
    let (mut request, mut answer) = (Vec::new(), Vec::new());
    let mut left = None;
    loop {
        tokio::select! {
            read = caller.read_buf(&mut request) => {
                let count = read.ok().filter(|count| *count > 0)?;
                engine.write_all(&request[request.len() - count..]).await.ok()?;
                if let Some(prompt) = cut_prompt(&request) {
                    request.clear();
                    let bytes: usize = prompt.strip_prefix(PROMPT_PREFIX)?.parse().ok()?;
                    left = cut.lock().expect("no panic").insert(prompt).then_some(bytes);
                }
            }
            read = engine.read_buf(&mut answer) => {
                read.ok().filter(|count| *count > 0)?;
                let count = left.map_or(answer.len(), |left: usize| left.min(answer.len()));
                caller.write_all(&answer[..count]).await.ok()?;
                left = left.map(|left| left - count);
                answer.clear();
                if left == Some(0) {
                    break;
                }
            }
        }
    }
    if is_reset {
        // A reset discards what has not been read.
        tokio::time::sleep(Duration::from_millis(5)).await;
        caller.set_zero_linger().ok()?;
    }
    Some(())
}

/// Returns the prompt of a request that begins a stream.
fn cut_prompt(request: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(request);
    let prompt = text.split_once("\"prompt\":\"")?.1.split_once('"')?.0;
    Some(prompt.to_owned())
}

async fn answers_whole_after_each_cut(is_reset: bool) {
    let rig = Rig::with_engines(2).await;
    let cut = CutPrompts::default();
    let mut listed = directory(&rig.engines);
    for entry in listed.pools.values_mut().flatten() {
        entry.address = start_proxy(entry.address, is_reset, Arc::clone(&cut)).await;
    }
    rig.context.directory.store(Arc::new(listed));
    let rig = &rig;
    let complete = |bytes: usize| async move {
        let prompt = format!("{PROMPT_PREFIX}{bytes}");
        let request = CompletionRequest { max_tokens: TOKENS, ..request(&prompt) };
        (prompt, rig.complete(&request).await)
    };
    let mut answers = futures::stream::iter(0..=CUT_BYTES).map(complete).buffer_unordered(CONCURRENCY);
    while let Some((prompt, answer)) = answers.next().await {
        let answer = answer.unwrap_or_else(|error| panic!("{prompt}: {error}"));
        assert!(is_whole_answer(&prompt, SEED, TOKENS, &answer.tokens), "{prompt}: {answer:?}");
    }
    assert_eq!(cut.lock().expect("no panic").len(), CUT_BYTES + 1);
}

#[tokio::test]
async fn completions_are_whole_where_the_answer_of_the_engine_ends_within_its_head() {
    answers_whole_after_each_cut(false).await;
}

#[tokio::test]
async fn completions_are_whole_where_the_answer_of_the_engine_is_reset_within_its_head() {
    answers_whole_after_each_cut(true).await;
}
