//! `watch`: prints the stream of decisions of one or more nodes.
//!
//! Reads one stream for each node, reconnects with backoff, and reports gaps that `sequence` detects.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use lichenpulley_core::retry::backoff::Backoff;
use lichenpulley_protocol::operator::DecisionEvent;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::client::Client;
use crate::error::CliError;
use crate::event_stream::EventDecoder;
use crate::output::Output;
use crate::sequence::{Gap, SequenceTracker};

/// Pause before reconnecting to a node after its stream ended or could not be opened.
const RECONNECT_BACKOFF: Backoff = Backoff::new(Duration::from_millis(100), Duration::from_secs(5));

/// Capacity of the channel of notices; stream readers wait while it is full.
const NOTICE_CAPACITY: usize = 1_024;

/// Filters and limits of `watch`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatchOptions {
    /// Component of the decisions to show, such as `routing`.
    pub component: Option<String>,
    /// Action of the decisions to show, such as `refused`.
    pub action: Option<String>,
    /// Reason of the decisions to show.
    pub reason: Option<String>,
    /// Text that the subject must contain.
    pub subject: Option<String>,
    /// Number of decisions after which the command ends.
    pub count: Option<u64>,
    /// Time after which the command ends.
    pub duration: Option<Duration>,
}

impl WatchOptions {
    fn selects(&self, event: &DecisionEvent) -> bool {
        let decision = &event.decision;
        let equals =
            |wanted: &Option<String>, actual: &str| wanted.as_ref().is_none_or(|wanted| wanted == actual);
        equals(&self.component, decision.component.as_str())
            && equals(&self.action, &decision.action)
            && equals(&self.reason, &decision.reason)
            && self.subject.as_ref().is_none_or(|part| decision.subject.contains(part.as_str()))
    }
}

/// Message from the reader of a node's stream to the printer.
enum Notice {
    Decision(Box<DecisionEvent>),
    Disconnected { address: SocketAddr, cause: String },
    Connected { address: SocketAddr },
}

/// Shows the decisions of all configured nodes as they are made. Reconnects until the command ends.
///
/// # Errors
/// Returns [`CliError::Output`] if the output can't be written.
pub async fn watch(client: &Client, options: &WatchOptions, output: &mut Output<'_>) -> Result<(), CliError> {
    let (sender, mut notices) = mpsc::channel(NOTICE_CAPACITY);
    let mut readers = tokio::task::JoinSet::new();
    for &address in client.addresses() {
        readers.spawn(follow(client.clone(), address, sender.clone()));
    }
    drop(sender);
    let mut printer = Printer { options, tracker: SequenceTracker::default(), shown: 0 };
    let deadline = options.duration.map(|duration| Instant::now() + duration);
    while !printer.is_done() {
        let Some(notice) = next_notice(&mut notices, deadline).await else { break };
        printer.print(notice, output)?;
    }
    Ok(())
}

async fn next_notice(notices: &mut mpsc::Receiver<Notice>, deadline: Option<Instant>) -> Option<Notice> {
    match deadline {
        Some(deadline) => tokio::time::timeout_at(deadline, notices.recv()).await.ok().flatten(),
        None => notices.recv().await,
    }
}

struct Printer<'a> {
    options: &'a WatchOptions,
    tracker: SequenceTracker,
    shown: u64,
}

impl Printer<'_> {
    fn is_done(&self) -> bool {
        self.options.count.is_some_and(|count| self.shown >= count)
    }

    fn print(&mut self, notice: Notice, output: &mut Output<'_>) -> Result<(), CliError> {
        match notice {
            Notice::Decision(event) => self.print_decision(&event, output),
            Notice::Disconnected { address, cause } => {
                output.note(&format!("lost the stream from {address}: {cause}; connecting again"))
            }
            Notice::Connected { address } => output.note(&format!("watching {address}")),
        }
    }

    fn print_decision(&mut self, event: &DecisionEvent, output: &mut Output<'_>) -> Result<(), CliError> {
        // Gaps are detected before filtering, so that a hidden decision doesn't count as lost.
        match self.tracker.observe(event) {
            Some(Gap::Lost { node, count }) => {
                output.note(&format!("{count} decisions of {node} were lost"))?
            }
            Some(Gap::Restarted { node }) => {
                output.note(&format!("{node} was started again; decisions may have been lost"))?;
            }
            None => {}
        }
        if !self.options.selects(event) {
            return Ok(());
        }
        self.shown += 1;
        output.result(event, || describe(event))
    }
}

/// Formats a decision as one line: time of day in UTC, node, component, action, reason, subject and inputs.
fn describe(event: &DecisionEvent) -> String {
    let decision = &event.decision;
    let inputs: Vec<String> =
        decision.inputs.iter().map(|input| format!("{}={}", input.name, input.value)).collect();
    let line = format!(
        "{} {:10} {:13} {:16} {:24} {}  {}",
        time_of_day(event.unix_ms),
        event.node.as_str(),
        decision.component.as_str(),
        decision.action,
        decision.reason,
        decision.subject,
        inputs.join(" ")
    );
    line.trim_end().to_owned()
}

fn time_of_day(unix_ms: u64) -> String {
    let milliseconds = unix_ms % 1_000;
    let seconds = unix_ms / 1_000 % 60;
    let minutes = unix_ms / 60_000 % 60;
    let hours = unix_ms / 3_600_000 % 24;
    format!("{hours:02}:{minutes:02}:{seconds:02}.{milliseconds:03}")
}

async fn follow(client: Client, address: SocketAddr, notices: mpsc::Sender<Notice>) {
    let mut failures = 0;
    loop {
        let cause = match client.open_stream(address, "/v1/decisions").await {
            Ok(body) => {
                failures = 0;
                if notices.send(Notice::Connected { address }).await.is_err() {
                    return;
                }
                read_stream(body, &notices).await
            }
            Err(error) => error.to_string(),
        };
        if notices.send(Notice::Disconnected { address, cause }).await.is_err() {
            return;
        }
        failures += 1;
        tokio::time::sleep(RECONNECT_BACKOFF.pause(failures)).await;
    }
}

/// Reads the stream until it ends and returns the cause.
async fn read_stream(mut body: Incoming, notices: &mpsc::Sender<Notice>) -> String {
    let mut decoder = EventDecoder::default();
    while let Some(frame) = body.frame().await {
        let frame = match frame {
            Ok(frame) => frame,
            Err(error) => return error.to_string(),
        };
        let Some(bytes) = frame.data_ref() else { continue };
        for event in decoder.push(bytes) {
            let decision = match serde_json::from_str(&event.data) {
                Ok(decision) => decision,
                Err(error) => return format!("an event can't be decoded: {error}"),
            };
            if notices.send(Notice::Decision(decision)).await.is_err() {
                return "the command has ended".to_owned();
            }
        }
    }
    "the node closed the stream".to_owned()
}
